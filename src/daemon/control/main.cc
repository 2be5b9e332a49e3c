// graniteseam-control: a member of the control group.
#include <iostream>
#include <sstream>

#include "src/daemon/control/control_process.h"
#include "src/runtime/log.h"
#include "src/runtime/settings.h"
#include "src/runtime/settings_watch.h"
#include "src/runtime/stop_signals.h"

namespace {

namespace daemon = graniteseam::daemon;
namespace runtime = graniteseam::runtime;

constexpr int kExitFailure = 1;

/// @param[out] file the settings file; empty for none.
/// @return nullopt when the settings were read, otherwise the program's exit code.
std::optional<int> ReadSettings(int argc, char** argv, daemon::ControlSettings& settings,
                                std::string& file, std::ostream& errors) {
  runtime::SettingsReader reader("graniteseam-control",
                                 "Decides which server owns each key, as one of a group that keeps "
                                 "its decisions in a replicated log.");
  daemon::DeclareControlSettings(reader, settings);
  const std::optional<int> exit_code = reader.Read(argc, argv, std::cout, errors);
  file = reader.settings_file();
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  using graniteseam::Attempt;
  using graniteseam::ErrorOf;

  daemon::ControlSettings settings;
  std::string file;
  if (const auto exit_code = ReadSettings(argc, argv, settings, file, std::cerr)) return *exit_code;

  runtime::StopSignals stop;
  const runtime::Logger log("control");
  daemon::ControlProcess process(settings, stop);
  const auto started = Attempt([&] { return process.Start(); });
  if (const graniteseam::Error* error = ErrorOf(started)) {
    log.Error(*error);
    return error->kind == graniteseam::ErrorKind::kInvalidSettings ? runtime::kExitInvalidSettings
                                                                   : kExitFailure;
  }
  log.Info("Ready.");
  runtime::ReloadHooks reloads;
  reloads.wanted = [&] { return process.LacksLeader(); };
  reloads.reload = [&] {
    daemon::ControlSettings changed;
    std::ostringstream faults;
    if (ReadSettings(argc, argv, changed, file, faults)) {
      log.Warning("The changed settings are ignored: {}", faults.str());
    } else {
      process.Reload(changed);
    }
  };
  runtime::WaitWithReloads(stop, file, reloads);
  process.Stop();
  return process.failed() ? kExitFailure : 0;
}
