/// @file
/// graniteseam-testbed-caller: an open-loop load of callers' requests.
#include <atomic>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "src/runtime/clock.h"
#include "src/runtime/log.h"
#include "src/runtime/settings.h"
#include "src/runtime/stop_signals.h"
#include "testbed/caller/load.h"
#include "testbed/support/program_run.h"

namespace graniteseam::testbed {

namespace {

constexpr Duration kProgressPeriod{5'000'000};

struct CallerOptions {
  std::vector<runtime::SocketAddress> routers;
  std::string traffic;
  double rate = 100.0;
  double duration_s = 10.0;
  std::int64_t senders = 64;
  std::int64_t sendings_maximum = 4;
  std::string report;
  std::string record;
  std::int64_t seed = 1;
};

std::optional<int> ReadOptions(int argc, char** argv, CallerOptions& options) {
  using runtime::SettingsReader;
  constexpr double kRateMaximum = 100'000.0;
  constexpr double kSecondsMaximum = 86'400.0;
  constexpr std::int64_t kSendersMaximum = 4'096;
  constexpr std::int64_t kSendingsMaximum = 100;
  SettingsReader reader("graniteseam-testbed-caller",
                        "Sends requests as the users' callers do and checks each answer.");
  reader.AddAddressList("router", "Routers to send to.", options.routers,
                        SettingsReader::kRequired);
  reader.AddText("traffic", "TOML file of streams.", options.traffic, SettingsReader::kRequired);
  reader.AddNumber("rate", "Requests a second.", options.rate, 0.001, kRateMaximum);
  reader.AddNumber("duration_s", "How long requests become due.", options.duration_s, 0.0,
                   kSecondsMaximum);
  reader.AddInteger("senders", "Requests in flight at most.", options.senders, 1, kSendersMaximum);
  reader.AddInteger("sendings_maximum", "How often one request is sent at most.",
                    options.sendings_maximum, 1, kSendingsMaximum);
  reader.AddText("report", "File for the report as JSON; empty: standard output.", options.report);
  reader.AddText("record", "Append-only file of answers.", options.record);
  reader.AddInteger("seed", "Seed of the requests.", options.seed, 0,
                    std::numeric_limits<std::int64_t>::max());
  reader.AddLogSettings();
  return reader.Read(argc, argv);
}

nlohmann::json Report(const Load& load) {
  nlohmann::json report = {{"crossed_answers", load.crossed()}, {"torn_answers", load.torn()}};
  for (const auto& [service, summary] : load.Summaries()) {
    const auto& latencies = summary.latencies();
    report["services"][service.empty() ? "all" : service] = {
        {"requests", summary.requests()},           {"answered", summary.answered()},
        {"failures", summary.failures()},           {"p50_ms", latencies.QuantileMs(0.5)},
        {"p99_ms", latencies.QuantileMs(0.99)},     {"p999_ms", latencies.QuantileMs(0.999)},
        {"unavailable_ms", summary.UnavailableMs()}};
  }
  return report;
}

void LogProgress(const runtime::Logger& log, const Load& load) {
  const auto summaries = load.Summaries();
  const auto all = summaries.find("");
  if (all == summaries.end()) return;
  const auto& summary = all->second;
  log.Info("{} requests, {} answered, {} failed, p50 {:.1f} ms, p99 {:.1f} ms.", summary.requests(),
           summary.answered(), summary.failed(), summary.latencies().QuantileMs(0.5),
           summary.latencies().QuantileMs(0.99));
}

Result<void> RunLoad(const CallerOptions& options, runtime::StopSignals& stop,
                     const runtime::Logger& log) {
  BOOST_LEAF_AUTO(streams, ReadTraffic(options.traffic));
  BOOST_LEAF_AUTO(records, RecordFile::Open(options.record));
  TrafficSource source(std::move(streams), options.rate, static_cast<std::uint64_t>(options.seed),
                       runtime::BootTimeNow());
  constexpr double kMicrosPerSecond = 1e6;
  LoadOptions load_options;
  load_options.routers = options.routers;
  load_options.senders = static_cast<std::size_t>(options.senders);
  load_options.duration =
      Duration(static_cast<std::int64_t>(options.duration_s * kMicrosPerSecond));
  load_options.resend.sendings_maximum = static_cast<std::uint32_t>(options.sendings_maximum);
  Load load(load_options, std::move(source), records);

  std::atomic<bool> stop_asked = false;
  std::thread runner([&] {
    load.Run([&] { return stop_asked.load(); });
    stop.RequestStop();
  });
  log.Info("Ready.");
  while (!stop.WaitFor(kProgressPeriod)) LogProgress(log, load);
  stop_asked = true;
  runner.join();
  LogProgress(log, load);

  const std::string report = Report(load).dump(2) + "\n";
  if (options.report.empty()) {
    std::cout << report;
  } else {
    std::ofstream(options.report) << report;
  }
  return {};
}

}  // namespace

}  // namespace graniteseam::testbed

int main(int argc, char** argv) {
  graniteseam::testbed::CallerOptions options;
  if (const auto code = graniteseam::testbed::ReadOptions(argc, argv, options)) return *code;
  return graniteseam::testbed::run_program("testbed-caller", [&](auto& stop, const auto& log) {
    return graniteseam::testbed::RunLoad(options, stop, log);
  });
}
