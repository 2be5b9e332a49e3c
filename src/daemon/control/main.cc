// graniteseam-control: a member of the control group.
#include "src/daemon/control/control_process.h"
#include "src/runtime/log.h"
#include "src/runtime/settings.h"
#include "src/runtime/stop_signals.h"

namespace {

constexpr int kExitFailure = 1;

}  // namespace

int main(int argc, char** argv) {
  using graniteseam::Attempt;
  using graniteseam::ErrorOf;
  namespace daemon = graniteseam::daemon;
  namespace runtime = graniteseam::runtime;

  daemon::ControlSettings settings;
  runtime::SettingsReader reader("graniteseam-control",
                                 "Decides which server owns each key, as one of a group that keeps "
                                 "its decisions in a replicated log.");
  daemon::DeclareControlSettings(reader, settings);
  if (const std::optional<int> exit_code = reader.Read(argc, argv)) return *exit_code;

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
  stop.Wait();
  process.Stop();
  return process.failed() ? kExitFailure : 0;
}
