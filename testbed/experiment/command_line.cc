#include "testbed/experiment/command_line.h"

#include <fmt/format.h>
#include <getopt.h>

#include <charconv>
#include <filesystem>
#include <map>

namespace graniteseam::testbed {

namespace {

enum Flag {
  kSeed = 1000,
  kBaseline,
  kJson,
  kPlot,
  kVirtual,
  kRepetitions,
  kNodes,
  kShards,
  kDuration,
  kPrograms,
  kQuiet,
  kHelpFlag,
  kVersionFlag,
};

constexpr option kFlags[] = {
    {"seed", required_argument, nullptr, kSeed},
    {"baseline", no_argument, nullptr, kBaseline},
    {"json", required_argument, nullptr, kJson},
    {"plot", required_argument, nullptr, kPlot},
    {"virtual", no_argument, nullptr, kVirtual},
    {"repetitions", required_argument, nullptr, kRepetitions},
    {"nodes", required_argument, nullptr, kNodes},
    {"shards", required_argument, nullptr, kShards},
    {"duration-s", required_argument, nullptr, kDuration},
    {"programs", required_argument, nullptr, kPrograms},
    {"quiet", no_argument, nullptr, kQuiet},
    {"help", no_argument, nullptr, kHelpFlag},
    {"version", no_argument, nullptr, kVersionFlag},
    {nullptr, 0, nullptr, 0},
};

boost::leaf::error_id Misused(const std::string& message) {
  return Fail(ErrorKind::kInvalidArgument, message, "See graniteseam-experiment --help.");
}

template <class Number>
Result<void> ParseNumber(const std::string& flag, const char* text, Number& value) {
  const std::string_view digits = text;
  const auto [rest, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (fault != std::errc() || rest != digits.data() + digits.size()) {
    return Misused(fmt::format("--{} takes a whole number, not \"{}\".", flag, digits));
  }
  return {};
}

Result<void> ApplyFlag(int flag, CommandLine& line) {
  switch (flag) {
    case kSeed:
      return ParseNumber("seed", optarg, line.options.seed);
    case kRepetitions:
      return ParseNumber("repetitions", optarg, line.options.repetitions);
    case kNodes:
      return ParseNumber("nodes", optarg, line.options.nodes);
    case kShards:
      return ParseNumber("shards", optarg, line.options.shards);
    case kDuration:
      return ParseNumber("duration-s", optarg, line.options.duration_s);
    case kBaseline:
      line.baseline = true;
      return {};
    case kJson:
      line.json_file = optarg;
      return {};
    case kPlot:
      line.plot_folder = optarg;
      return {};
    case kVirtual:
      line.driver = Driver::kVirtual;
      return {};
    case kPrograms:
      line.options.program_folder = optarg;
      return {};
    case kQuiet:
      line.quiet = true;
      return {};
    case kHelpFlag:
      line.subcommand = Subcommand::kHelp;
      return {};
    case kVersionFlag:
      line.subcommand = Subcommand::kVersion;
      return {};
    default:
      return Misused("A flag is not known or lacks its value.");
  }
}

Result<void> ApplyWords(const std::vector<std::string>& words, CommandLine& line) {
  struct Form {
    Subcommand subcommand;
    std::size_t arguments;
  };
  static const std::map<std::string, Form> forms = {
      {"run", {Subcommand::kRun, 1}},
      {"list", {Subcommand::kList, 0}},
      {"compare", {Subcommand::kCompare, 2}},
  };
  if (words.empty()) return Misused("No subcommand was given.");
  const auto form = forms.find(words.front());
  if (form == forms.end()) {
    return Misused(fmt::format("There is no subcommand \"{}\".", words.front()));
  }
  if (words.size() - 1 != form->second.arguments) {
    return Misused(fmt::format("{} takes {} arguments, not {}.", words.front(),
                               form->second.arguments, words.size() - 1));
  }
  line.subcommand = form->second.subcommand;
  line.arguments.assign(words.begin() + 1, words.end());
  return {};
}

std::string CommandText(int argument_count, char** arguments) {
  std::string text = "graniteseam-experiment";
  for (int index = 1; index < argument_count; ++index) {
    text += ' ';
    text += arguments[index];
  }
  return text;
}

}  // namespace

Result<CommandLine> ParseCommandLine(int argument_count, char** arguments) {
  CommandLine line;
  line.command_text = CommandText(argument_count, arguments);
  line.options.program_folder = std::filesystem::path(arguments[0]).parent_path().string();
  bool told = false;  // --help and --version need no subcommand.
  optind = 1;
  opterr = 0;
  for (int flag = 0; (flag = getopt_long(argument_count, arguments, "", kFlags, nullptr)) != -1;) {
    BOOST_LEAF_CHECK(ApplyFlag(flag, line));
    told = told || flag == kHelpFlag || flag == kVersionFlag;
  }
  if (told) return line;
  const std::vector<std::string> words(arguments + optind, arguments + argument_count);
  BOOST_LEAF_CHECK(ApplyWords(words, line));
  return line;
}

std::string_view HelpText() {
  return R"(Usage: graniteseam-experiment run NAME [FLAG...]
       graniteseam-experiment list
       graniteseam-experiment compare FIRST.json SECOND.json

Measures how graniteseam behaves and prints each figure beside its bound.

  --virtual           run the decision code in virtual time instead of real processes
  --baseline          measure the simple way too and print the ratio to it
  --seed N            seed of all random choices (1)
  --json FILE         write the report as JSON
  --plot FOLDER       draw the series with gnuplot into FOLDER
  --repetitions N     faults or changes to induce (the experiment's own number)
  --nodes N           size of the fleet (the experiment's own)
  --shards N          shards of the keyed service (the experiment's own)
  --duration-s N      length of the load (the experiment's own)
  --programs FOLDER   where the programs are (this program's folder)
  --quiet             no progress
  --help, --version

Exit codes: 0 measured and every bound kept, 1 measured and a bound missed, 2 wrong use,
3 the experiment could not be run.
)";
}

}  // namespace graniteseam::testbed
