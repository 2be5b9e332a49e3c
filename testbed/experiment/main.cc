// graniteseam-experiment: measures the fleet's conduct under load and faults.

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

#include "testbed/experiment/command_line.h"
#include "testbed/experiment/registry.h"
#include "testbed/measurement/plot.h"
#include "testbed/measurement/report.h"
#include "testbed/support/text_file.h"

namespace graniteseam::testbed {

namespace {

enum ExitCode { kBoundsKept = 0, kBoundMissed = 1, kWrongUse = 2, kNotRun = 3 };

Progress TerminalProgress(bool quiet) {
  if (quiet) return [](const std::string&, double) {};
  const bool terminal = isatty(STDERR_FILENO) == 1;
  return [terminal](const std::string& what, double fraction) {
    constexpr double kPercent = 100.0;
    fmt::print(stderr, "{}{:3.0f} % {}{}", terminal ? "\r\033[K" : "", kPercent * fraction, what,
               terminal && fraction < 1.0 ? "" : "\n");
  };
}

Result<ExitCode> List() {
  const ExperimentList list = AllExperiments();
  for (const auto& experiment : list) {
    fmt::print("{:<24} {:<8} {}\n", experiment->name(), DriverName(experiment->driver()),
               experiment->question());
  }
  return kBoundsKept;
}

Result<ExperimentReport> LoadReport(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadTextFile(path));
  return ParseReport(text, path);
}

Result<ExitCode> Compare(const CommandLine& line) {
  BOOST_LEAF_AUTO(first, LoadReport(line.arguments[0]));
  BOOST_LEAF_AUTO(second, LoadReport(line.arguments[1]));
  if (first.experiment != second.experiment || first.driver != second.driver) {
    return Fail(ErrorKind::kInvalidArgument,
                fmt::format("The reports are of {} ({}) and {} ({}).", first.experiment,
                            first.driver, second.experiment, second.driver),
                "Compare two reports of one experiment under one driver.");
  }
  fmt::print("{}", CompareTable(first, second));
  return kBoundsKept;
}

Result<ExitCode> Run(const CommandLine& line) {
  const ExperimentList list = AllExperiments();
  const Experiment* experiment = FindExperiment(list, line.arguments[0], line.driver);
  if (experiment == nullptr) {
    return Fail(ErrorKind::kNotFound,
                fmt::format("There is no experiment \"{}\" under the driver \"{}\".",
                            line.arguments[0], DriverName(line.driver)),
                "Pick one of graniteseam-experiment list; --virtual switches the driver.");
  }
  ExperimentReport report{std::string(experiment->name()),
                          std::string(DriverName(line.driver)),
                          line.options.seed,
                          line.command_text,
                          GRANITESEAM_VERSION,
                          DescribeMachine(),
                          LoadAverage(),
                          0.0,
                          {}};
  const auto started = std::chrono::steady_clock::now();
  BOOST_LEAF_AUTO(measurement, RunExperiment(*experiment, line.options, line.baseline,
                                             TerminalProgress(line.quiet)));
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - started;
  report.duration_s = took.count();
  report.measurement = std::move(measurement);
  fmt::print("{}", ToTable(report));
  if (!line.json_file.empty()) {
    BOOST_LEAF_CHECK(WriteTextFile(line.json_file, ToJson(report)));
  }
  if (!line.plot_folder.empty()) {
    BOOST_LEAF_AUTO(drawn,
                    DrawPlots(report.experiment, report.measurement.series, line.plot_folder));
    for (const std::string& path : drawn) fmt::print("Drawn: {}\n", path);
  }
  const auto& figures = report.measurement.figures;
  const bool met = std::all_of(figures.begin(), figures.end(),
                               [](const Figure& figure) { return figure.Met(); });
  return met ? kBoundsKept : kBoundMissed;
}

Result<ExitCode> Dispatch(const CommandLine& line) {
  switch (line.subcommand) {
    case Subcommand::kRun:
      return Run(line);
    case Subcommand::kList:
      return List();
    case Subcommand::kCompare:
      return Compare(line);
    case Subcommand::kHelp:
      fmt::print("{}", HelpText());
      return kBoundsKept;
    case Subcommand::kVersion:
      fmt::print("graniteseam-experiment {}\n", GRANITESEAM_VERSION);
      return kBoundsKept;
  }
  return kWrongUse;
}

}  // namespace

}  // namespace graniteseam::testbed

int main(int argument_count, char** arguments) {
  using namespace graniteseam;  // NOLINT(google-build-using-namespace)
  const auto outcome = Attempt([&]() -> Result<testbed::ExitCode> {
    BOOST_LEAF_AUTO(line, testbed::ParseCommandLine(argument_count, arguments));
    return testbed::Dispatch(line);
  });
  if (const Error* error = ErrorOf(outcome)) {
    fmt::print(stderr, "{}\n", ToString(*error));
    return error->kind == ErrorKind::kInvalidArgument ? testbed::kWrongUse : testbed::kNotRun;
  }
  return std::get<testbed::ExitCode>(outcome);
}
