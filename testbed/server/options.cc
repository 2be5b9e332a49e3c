#include "testbed/server/options.h"

#include "src/runtime/settings.h"

namespace graniteseam::testbed {

namespace {

constexpr Duration kLongest = std::chrono::hours(1);
constexpr std::int64_t kMany = 100'000;

}  // namespace

std::optional<int> ReadServerOptions(int argc, char** argv, ServerOptions& options) {
  using runtime::SettingsReader;
  SettingsReader reader(
      "graniteseam-testbed-server",
      "Stands in for a user's server: takes leases, runs requests, keeps record.");
  reader.AddText("id", "This server's id.", options.id, SettingsReader::kRequired);
  reader.AddText("service", "The service that it serves.", options.service,
                 SettingsReader::kRequired);
  reader.AddText("zone", "The zone that it runs in.", options.zone);
  reader.AddAddress("http_address", "Where it listens.", options.http_address);
  reader.AddSwitch("keyed", "Serves a keyed service; otherwise a pooled one.", options.keyed);
  reader.AddInteger("slots", "Requests run at once.", options.slots, 1, kMany);
  reader.AddInteger("queue", "Requests that may wait for a slot.", options.queue, 0, kMany);
  reader.AddInteger("connections", "Live connections served at once.", options.connections, 1,
                    kMany);
  reader.AddMilliseconds("work_ms", "Mean time of one request.", options.work, Duration(0),
                         kLongest);
  reader.AddMilliseconds("cold_start_ms", "How long it works slowly after its start.",
                         options.cold_start, Duration(0), kLongest);
  reader.AddNumber("cold_factor", "How much slower it works then.", options.cold_factor, 1.0,
                   1'000.0);
  reader.AddMilliseconds("hint_lag_ms", "Age of what health and load tell.", options.hint_lag,
                         Duration(0), kLongest);
  reader.AddInteger("claimed_load_percent", "Claims this load, whatever is true; -1: the truth.",
                    options.claimed_load_percent, -1, 100);
  reader.AddSwitch("always_healthy", "Claims to be healthy, whatever is true.",
                   options.always_healthy);
  reader.AddMilliseconds("drain_limit_ms", "Longest wait for its work to go elsewhere at a stop.",
                         options.drain_limit, Duration(0), kLongest);
  reader.AddText("record", "Append-only file of runs and leases.", options.record);
  reader.AddInteger("seed", "Seed of the spread of work times.", options.seed, 0,
                    std::numeric_limits<std::int64_t>::max());
  reader.AddLogSettings();
  return reader.Read(argc, argv);
}

}  // namespace graniteseam::testbed
