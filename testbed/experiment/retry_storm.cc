// retry-storm in virtual time: half of the pool sheds everything for 10 s.

#include <fmt/format.h>

#include "testbed/experiment/experiments.h"
#include "testbed/virtual_fleet/pool_fleet.h"

namespace graniteseam::testbed {

namespace {

constexpr std::uint32_t kServersDefault = 14;
constexpr double kLoadOfCapacity = 0.6;
constexpr Duration kWarmUp{10'000'000};
constexpr Duration kStorm{10'000'000};
constexpr Duration kAfter{20'000'000};
constexpr Duration kWindow{250'000};
constexpr double kRecoveredFraction = 0.99;

const GroupName kGroup{"group"};

class RetryStorm : public Experiment {
 public:
  std::string_view name() const override { return "retry-storm"; }
  std::string_view question() const override {
    return "Do retries multiply the load while half of a pool sheds, and how soon is it over?";
  }
  Driver driver() const override { return Driver::kVirtual; }
  bool HasBaseline() const override { return true; }

  Result<Measurement> Measure(const RunOptions& options, Way way,
                              const Progress& progress) const override {
    PoolFleetSettings settings = pool_fleet_settings(options, way, kServersDefault);
    settings.groups = {kGroup};
    PoolFleet fleet(settings);
    VirtualPool& pool = fleet.pool();
    fleet.load().SetRate(kGroup, kLoadOfCapacity * pool.CapacityPerSecond());
    fleet.Run(kWarmUp);
    progress("before", 0.25);
    const std::uint64_t taken_before = pool.TakenTotal();
    const std::uint64_t answered_before = pool.AnsweredTotal();
    const Instant began = fleet.events().now();
    SetShedding(pool, true);
    fleet.Run(kStorm);
    const auto taken = static_cast<double>(pool.TakenTotal() - taken_before);
    const auto answered = static_cast<double>(pool.AnsweredTotal() - answered_before);
    progress("storm", 0.5);
    SetShedding(pool, false);
    const Instant ended = fleet.events().now();
    fleet.Run(kAfter);
    progress("after", 1.0);

    Measurement result;
    result.AddAtMost("offered_over_served_ratio", taken / answered, 1.2);
    result.AddAtMost("recovered_after_end_s", RecoveryTime(fleet, ended), 2.0);
    result.Add("answered_of_offered_in_storm_ratio",
               fleet.load().Summarise(kGroup, began, ended).AnsweredFraction());
    result.series.push_back(AnsweredSeries(fleet, began));
    result.remarks.push_back(fmt::format(
        "{} servers at {} of their capacity, so the half that is left can not answer all. "
        "Recovered: from then on, {} of the requests of each {} ms are answered.",
        pool.size(), kLoadOfCapacity, kRecoveredFraction, kWindow.count() / 1000));
    return result;
  }

 private:
  static void SetShedding(VirtualPool& pool, bool sheds) {
    ServerConduct conduct;
    conduct.sheds = sheds;
    for (std::size_t index = 0; index < pool.size() / 2; ++index) {
      pool.server(index).SetConduct(conduct);
    }
  }

  static double RecoveryTime(PoolFleet& fleet, Instant ended) {
    double recovered = 0.0;
    for (Instant from = ended; from + kWindow <= ended + kAfter / 2; from += kWindow) {
      const CallerSummary window = fleet.load().Summarise(kGroup, from, from + kWindow);
      if (window.AnsweredFraction() < kRecoveredFraction) {
        recovered = std::chrono::duration<double>(from + kWindow - ended).count();
      }
    }
    return recovered;
  }

  static Series AnsweredSeries(PoolFleet& fleet, Instant began) {
    Series series{"answered", "time since the start of the storm [s]", "answered of offered", {}};
    for (Instant from = began; from < began + kStorm + kAfter / 2; from += kWindow) {
      series.points.emplace_back(
          std::chrono::duration<double>(from - began).count(),
          fleet.load().Summarise(kGroup, from, from + kWindow).AnsweredFraction());
    }
    return series;
  }
};

}  // namespace

std::unique_ptr<Experiment> MakeRetryStorm() { return std::make_unique<RetryStorm>(); }

}  // namespace graniteseam::testbed
