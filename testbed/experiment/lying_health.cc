// lying-health in virtual time: a fifth of the servers say that they are idle while they are slow
// or fail, and recover later.

#include <fmt/format.h>

#include "testbed/experiment/experiments.h"
#include "testbed/virtual_fleet/pool_fleet.h"

namespace graniteseam::testbed {

namespace {

constexpr std::uint32_t kServersDefault = 15;
constexpr std::uint32_t kSecondsDefault = 30;
constexpr std::uint32_t kLiarsOneIn = 5;
constexpr double kLoadOfCapacity = 0.5;
constexpr double kSlowdown = 10.0;
constexpr double kFailureFraction = 0.8;
constexpr Duration kWarmUp{5'000'000};
constexpr Duration kRecovery{60'000'000};

const GroupName kGroup{"group"};

/// The first fifth of the servers lie; every second of them is slow and the others fail.
void SetLiars(VirtualPool& pool, bool lying) {
  const std::size_t liars = (pool.size() + kLiarsOneIn - 1) / kLiarsOneIn;
  for (std::size_t index = 0; index < liars; ++index) {
    ServerConduct conduct;
    if (lying) {
      conduct.claimed_load = 0.0;
      if (index % 2 == 0) {
        conduct.slowdown = kSlowdown;
      } else {
        conduct.failure_fraction = kFailureFraction;
      }
    }
    pool.server(index).SetConduct(conduct);
  }
}

class LyingHealth : public Experiment {
 public:
  std::string_view name() const override { return "lying-health"; }
  std::string_view question() const override {
    return "Do callers notice servers that say they are idle while slow or failing?";
  }
  Driver driver() const override { return Driver::kVirtual; }
  bool HasBaseline() const override { return true; }

  Result<Measurement> Measure(const RunOptions& options, Way way,
                              const Progress& progress) const override {
    PoolFleetSettings settings = pool_fleet_settings(options, way, kServersDefault);
    settings.groups = {kGroup};
    const Duration length = run_length(options, kSecondsDefault);
    PoolFleet fleet(settings);
    fleet.load().SetRate(kGroup, kLoadOfCapacity * fleet.pool().CapacityPerSecond());
    fleet.Run(kWarmUp);
    const CallerSummary honest = Span(fleet, length);
    progress("honest", 0.25);
    SetLiars(fleet.pool(), true);
    const CallerSummary lying = Span(fleet, length);
    progress("lying", 0.5);
    SetLiars(fleet.pool(), false);
    fleet.Run(kRecovery);
    const double recovered = RecoveredTraffic(fleet, length);
    progress("recovered", 1.0);

    Measurement result;
    const double honest_p99 = Percentile(honest.answered_ms, 0.99);
    const double lying_p99 = Percentile(lying.answered_ms, 0.99);
    result.AddAtMost("p99_over_honest_ratio", lying_p99 / honest_p99, 1.5);
    result.AddAtLeast("recovered_server_traffic_over_mean_ratio", recovered, 0.5);
    result.Add("honest_p99_ms", honest_p99);
    result.Add("lying_p99_ms", lying_p99);
    result.Add("answered_of_offered_ratio", lying.AnsweredFraction());
    result.remarks.push_back(fmt::format(
        "{} servers at half of their capacity; the span with liars counts from the first lie, so "
        "what finding them out costs is in it. Recovered after {} s.",
        fleet.pool().size(), std::chrono::duration_cast<std::chrono::seconds>(kRecovery).count()));
    return result;
  }

 private:
  static CallerSummary Span(PoolFleet& fleet, Duration length) {
    const Instant from = fleet.events().now();
    fleet.Run(length);
    return fleet.load().Summarise(kGroup, from, fleet.events().now() - Duration{2'000'000});
  }

  /// What the former liars get of new requests, over what each server gets on average.
  static double RecoveredTraffic(PoolFleet& fleet, Duration length) {
    const std::size_t liars = (fleet.pool().size() + kLiarsOneIn - 1) / kLiarsOneIn;
    const auto of_liars = [&] {
      std::uint64_t taken = 0;
      for (std::size_t index = 0; index < liars; ++index) {
        taken += fleet.pool().server(index).taken();
      }
      return taken;
    };
    const std::uint64_t liars_before = of_liars();
    const std::uint64_t all_before = fleet.pool().TakenTotal();
    fleet.Run(length);
    const auto by_liars = static_cast<double>(of_liars() - liars_before);
    const auto by_all = static_cast<double>(fleet.pool().TakenTotal() - all_before);
    return by_liars / static_cast<double>(liars) /
           (by_all / static_cast<double>(fleet.pool().size()));
  }
};

}  // namespace

std::unique_ptr<Experiment> MakeLyingHealth() { return std::make_unique<LyingHealth>(); }

}  // namespace graniteseam::testbed
