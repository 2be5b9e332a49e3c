#include "src/runtime/settings.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace runtime = graniteseam::runtime;
using graniteseam::runtime::SettingsReader;

namespace {

/// A settings file that is removed with this object.
class SettingsFile {
 public:
  SettingsFile(const std::string& name, const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              (name + "." + std::to_string(::getpid()) + ".toml")) {
    std::ofstream(path_) << text;
  }
  ~SettingsFile() { std::filesystem::remove(path_); }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

/// What one program would declare, and what reading came to.
struct Program {
  std::int64_t id = 0;
  std::string zone;
  runtime::SocketAddress address{"127.0.0.1", 1};
  std::vector<runtime::SocketAddress> control;
  runtime::TextTable operators;
  graniteseam::Duration interval{250'000};
  double ratio = 0.5;
  bool initialise = false;
  std::optional<int> exit_code;
  std::vector<runtime::SettingFault> faults;
  std::string out;
  std::string errors;

  void Read(std::vector<std::string> arguments) {
    SettingsReader reader("program", "Tests settings.");
    reader.AddInteger("id", "Id.", id, 1, 1000, SettingsReader::kRequired);
    reader.AddText("zone", "Zone.", zone, SettingsReader::kRequired);
    reader.AddAddress("http_address", "Address.", address);
    reader.AddAddressList("control", "Addresses.", control);
    reader.AddTextTable("operators", "Credentials.", operators);
    reader.AddMilliseconds("interval_ms", "Interval.", interval, std::chrono::milliseconds(1),
                           std::chrono::seconds(1));
    reader.AddNumber("ratio", "Ratio.", ratio, 0, 1);
    reader.AddSwitch("initialise", "Creates the group.", initialise);
    reader.AddLogSettings();
    arguments.insert(arguments.begin(), "program");
    std::vector<char*> pointers;
    for (std::string& argument : arguments) pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    std::ostringstream out_stream;
    std::ostringstream error_stream;
    exit_code =
        reader.Read(static_cast<int>(arguments.size()), pointers.data(), out_stream, error_stream);
    faults = reader.faults();
    out = out_stream.str();
    errors = error_stream.str();
  }
};

}  // namespace

Test(settings, reads_every_form_and_lets_flags_override) {
  const SettingsFile file("graniteseam-settings-forms",
                          "id = 3\nzone = \"istanbul-1\"\nhttp_address = \"[::1]:80\"\n"
                          "control = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]\n"
                          "interval_ms = 20\nratio = 1\ninitialise = true\n"
                          "log_format = \"json\"\n[operators]\nana = \"00ff\"\n");
  Program program;
  program.Read({"--settings", file.path(), "--zone", "istanbul-2", "--interval-ms=30"});
  cr_assert(!program.exit_code, "%s", program.errors.c_str());
  cr_assert(program.id == 3);
  cr_assert(program.zone == "istanbul-2");
  cr_assert(program.address == runtime::SocketAddress({"::1", 80}));
  cr_assert(program.control.size() == 2 && program.control[1].port == 7002);
  cr_assert(program.operators.at("ana") == "00ff");
  cr_assert(program.interval == std::chrono::milliseconds(30));
  cr_assert(program.ratio == 1.0);
  cr_assert(program.initialise);
}

Test(settings, reports_all_faults_at_once_with_place_key_and_remedy) {
  const SettingsFile file("graniteseam-settings-faults",
                          "id = 0\nzone = 4\nhttp_adress = \"x\"\ncontrol = [\"localhost:1\"]\n"
                          "log_level = \"loud\"\nratio = 1979-05-27\n");
  Program program;
  program.Read({"--settings", file.path(), "--interval-ms", "soon", "--nonsense", "stray"});
  cr_assert(program.exit_code == runtime::kExitInvalidSettings);
  const std::vector<std::pair<std::string, std::string>> expected = {
      {"flag", "--nonsense"},
      {"flag", "stray"},
      {file.path() + ":1", "id"},
      {file.path() + ":2", "zone"},
      {file.path() + ":3", "http_adress"},
      {file.path() + ":4", "control"},
      {file.path() + ":5", "log_level"},
      {file.path() + ":6", "ratio"},
      {"flag", "interval_ms"}};
  cr_assert(program.faults.size() == expected.size(), "%s", program.errors.c_str());
  for (std::size_t index = 0; index < expected.size(); ++index) {
    cr_assert(program.faults[index].place == expected[index].first);
    cr_assert(program.faults[index].key == expected[index].second);
    cr_assert(!program.faults[index].message.empty() && !program.faults[index].remedy.empty());
  }
}

Test(settings, names_what_is_missing) {
  Program program;
  program.Read({"--id", "7"});
  cr_assert(program.exit_code == runtime::kExitInvalidSettings);
  cr_assert(program.faults.size() == 1 && program.faults[0].key == "zone");
  cr_assert(program.errors.find("--zone") != std::string::npos);
}

Test(settings, names_the_line_of_a_syntax_error) {
  const SettingsFile file("graniteseam-settings-syntax", "id = 3\nzone = \n");
  Program program;
  program.Read({"--settings", file.path()});
  cr_assert(program.exit_code == runtime::kExitInvalidSettings);
  cr_assert(program.errors.find(file.path() + ":2") != std::string::npos, "%s",
            program.errors.c_str());
}

Test(settings, refuses_a_missing_and_an_endless_file) {
  for (const char* path : {"/nonexistent/settings.toml", "/dev/zero"}) {
    Program program;
    program.Read({"--settings", path, "--id", "1", "--zone", "z"});
    cr_assert(program.exit_code == runtime::kExitInvalidSettings);
    cr_assert(program.faults.size() == 1);
  }
}

Test(settings, checks_without_running_and_prints_help_and_version) {
  Program checked;
  checked.Read({"--id", "7", "--zone", "z", "--check-settings"});
  cr_assert(checked.exit_code == 0);
  Program helped;
  helped.Read({"--help"});
  cr_assert(helped.exit_code == 0);
  cr_assert(helped.out.find("--http-address") != std::string::npos);
  cr_assert(helped.out.find("default 127.0.0.1:1") != std::string::npos);
  Program version;
  version.Read({"--version"});
  cr_assert(version.exit_code == 0 && version.out.starts_with("program "));
}
