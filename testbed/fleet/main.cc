/// @file
/// graniteseam-fleet: runs a whole fleet on this machine from a scenario file.
#include <stdlib.h>

#include <filesystem>
#include <iostream>

#include "src/runtime/log.h"
#include "src/runtime/settings.h"
#include "src/runtime/stop_signals.h"
#include "testbed/fleet/run.h"
#include "testbed/support/text_file.h"

namespace graniteseam::testbed {

namespace {

/// Exit code for a fleet that ran and broke what must always hold.
constexpr int kExitViolation = 3;

struct FleetOptions {
  std::string scenario;
  std::string source_folder;
  std::string programs;
  std::string folder;
  std::string report;
  bool keep = false;
  double rate_factor = 0.0;
};

std::optional<int> ReadOptions(int argc, char** argv, FleetOptions& options) {
  using runtime::SettingsReader;
  constexpr double kFactorMaximum = 1'000.0;
  SettingsReader reader("graniteseam-fleet",
                        "Runs a whole fleet on this machine, disturbs it, and checks its history.");
  reader.AddText("scenario", "Scenario file.", options.scenario, SettingsReader::kRequired);
  reader.AddText("source_folder", "Folder of the repository; default: beside the build folder.",
                 options.source_folder);
  reader.AddText("programs", "Folder of the programs; default: that of this one.",
                 options.programs);
  reader.AddText("folder", "Empty folder for all files; default: a temporary one.", options.folder);
  reader.AddSwitch("keep", "Keeps the folder also when all was well.", options.keep);
  reader.AddText("report", "File for the report as JSON.", options.report);
  reader.AddNumber("rate_factor", "Multiplies the traffic; 0: as the scenario says.",
                   options.rate_factor, 0.0, kFactorMaximum);
  reader.AddLogSettings();
  return reader.Read(argc, argv);
}

Result<std::string> MakeFolder(const std::string& wanted) {
  if (!wanted.empty()) return std::filesystem::absolute(wanted).string();
  std::string pattern = std::filesystem::temp_directory_path() / "graniteseam-fleet-XXXXXX";
  if (::mkdtemp(pattern.data()) != nullptr) return pattern;
  return Fail(ErrorKind::kStorageIo, "No temporary folder can be made.",
              "Name a folder with --folder.");
}

Result<FleetReport> Run(FleetOptions options, runtime::StopSignals& stop,
                        const runtime::Logger& log) {
  const std::filesystem::path own = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  if (options.programs.empty()) options.programs = own;
  // build/bin/graniteseam-fleet
  if (options.source_folder.empty()) options.source_folder = own.parent_path().parent_path();
  BOOST_LEAF_AUTO(scenario, ReadScenario(options.scenario, options.source_folder));
  if (options.rate_factor > 0.0) scenario.rate_factor = options.rate_factor;
  BOOST_LEAF_AUTO(folder, MakeFolder(options.folder));
  const FleetPaths paths{options.programs, folder};
  BOOST_LEAF_AUTO(report,
                  RunScenario(scenario, paths, log, [&] { return stop.WaitFor(Duration(0)); }));
  BOOST_LEAF_CHECK(WriteTextFile(folder + "/report.json", ToJson(report)));
  if (!options.report.empty()) {
    BOOST_LEAF_CHECK(WriteTextFile(options.report, ToJson(report)));
  }
  if (report.Good() && !options.keep) {
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  } else {
    log.Info("Logs and records are in {}.", folder);
  }
  return report;
}

int Main(const FleetOptions& options) {
  const runtime::Logger log("fleet");
  runtime::StopSignals stop;
  const auto outcome = Attempt([&] { return Run(options, stop, log); });
  if (const auto* error = ErrorOf(outcome)) {
    log.Error(*error);
    return EXIT_FAILURE;
  }
  const auto& report = std::get<FleetReport>(outcome);
  std::cout << ToText(report);
  return report.Good() ? EXIT_SUCCESS : kExitViolation;
}

}  // namespace

}  // namespace graniteseam::testbed

int main(int argc, char** argv) {
  graniteseam::testbed::FleetOptions options;
  if (const auto code = graniteseam::testbed::ReadOptions(argc, argv, options)) return *code;
  return graniteseam::testbed::Main(options);
}
