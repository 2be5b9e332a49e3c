/// @file
/// graniteseam-testbed-platform: stands in for the platform's list of machines; the list lags.
#include <httplib.h>

#include <deque>
#include <fstream>
#include <mutex>
#include <sstream>
#include <string>

#include "src/runtime/clock.h"
#include "src/runtime/log.h"
#include "src/runtime/settings.h"
#include "src/runtime/stop_signals.h"
#include "testbed/support/http_listener.h"

namespace graniteseam::testbed {

namespace {

constexpr Duration kFileCheckPeriod{20'000};
constexpr std::size_t kConnections = 32;
constexpr int kUnavailable = 503;

struct PlatformOptions {
  runtime::SocketAddress http_address{"127.0.0.1", 0};
  std::string machines;
  Duration lag{1'000'000};
};

std::optional<int> ReadOptions(int argc, char** argv, PlatformOptions& options) {
  using runtime::SettingsReader;
  SettingsReader reader("graniteseam-testbed-platform",
                        "Stands in for the platform's list of machines; the list lags.");
  reader.AddAddress("http_address", "Where it listens.", options.http_address);
  reader.AddText("machines", "JSON file with the true list, read again when it changes.",
                 options.machines, SettingsReader::kRequired);
  reader.AddMilliseconds("lag_ms", "How much later than the file the list changes.", options.lag,
                         Duration(0), std::chrono::hours(1));
  reader.AddLogSettings();
  return reader.Read(argc, argv);
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// The list as it was `lag` ago. Thread safe.
class LaggingList {
 public:
  explicit LaggingList(Duration lag) : lag_(lag) {}

  /// Takes the true list in. The first one is told at once.
  void Observe(std::string list, Instant now) {
    const std::lock_guard lock(mutex_);
    if (list.empty()) return;
    if (versions_.empty()) {
      versions_.push_back({now - lag_, std::move(list)});
    } else if (versions_.back().list != list) {
      versions_.push_back({now, std::move(list)});
    }
  }

  /// Empty until the first list came in.
  std::string Told(Instant now) {
    const std::lock_guard lock(mutex_);
    while (versions_.size() > 1 && versions_[1].seen + lag_ <= now) versions_.pop_front();
    return versions_.empty() ? std::string() : versions_.front().list;
  }

 private:
  struct Version {
    Instant seen;
    std::string list;
  };

  const Duration lag_;
  std::mutex mutex_;  ///< Guards versions_.
  std::deque<Version> versions_;
};

int Run(const PlatformOptions& options) {
  const runtime::Logger log("testbed-platform");
  runtime::StopSignals stop;
  LaggingList list(options.lag);
  HttpListener listener(kConnections);
  listener.server().Get("/v1/machines", [&](const auto&, auto& response) {
    const std::string told = list.Told(runtime::BootTimeNow());
    if (told.empty()) {
      response.status = kUnavailable;
    } else {
      response.set_content(told, "application/json");
    }
  });
  const auto started = Attempt([&] { return listener.Start(options.http_address); });
  if (const auto* error = ErrorOf(started)) {
    log.Error(*error);
    return EXIT_FAILURE;
  }
  log.Info("Ready.");
  do {
    list.Observe(ReadFile(options.machines), runtime::BootTimeNow());
  } while (!stop.WaitFor(kFileCheckPeriod));
  return EXIT_SUCCESS;
}

}  // namespace

}  // namespace graniteseam::testbed

int main(int argc, char** argv) {
  graniteseam::testbed::PlatformOptions options;
  if (const auto code = graniteseam::testbed::ReadOptions(argc, argv, options)) return *code;
  return graniteseam::testbed::Run(options);
}
