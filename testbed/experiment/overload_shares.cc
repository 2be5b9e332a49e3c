// overload-shares in virtual time: four groups with equal shares want three times what the pool can
// answer, because one of them wants ten times its share.

#include <fmt/format.h>

#include <algorithm>

#include "testbed/experiment/experiments.h"
#include "testbed/virtual_fleet/pool_fleet.h"

namespace graniteseam::testbed {

namespace {

constexpr std::uint32_t kServersDefault = 14;
constexpr std::uint32_t kSecondsDefault = 20;
constexpr Duration kWarmUp{5'000'000};
constexpr double kShare = 0.25;  // Of the capacity, for each of four groups.
constexpr double kGreedyOfShare = 10.0;
constexpr double kDemandOfCapacity = 3.0;

const GroupName kGreedy{"greedy"};

std::vector<GroupName> WithinShareGroups() {
  return {GroupName{"group-a"}, GroupName{"group-b"}, GroupName{"group-c"}};
}

class OverloadShares : public Experiment {
 public:
  std::string_view name() const override { return "overload-shares"; }
  std::string_view question() const override {
    return "Do groups within their share keep it while another wants ten times its own?";
  }
  Driver driver() const override { return Driver::kVirtual; }
  bool HasBaseline() const override { return true; }

  Result<Measurement> Measure(const RunOptions& options, Way way,
                              const Progress& progress) const override {
    PoolFleetSettings settings = pool_fleet_settings(options, way, kServersDefault);
    settings.groups = WithinShareGroups();
    settings.groups.push_back(kGreedy);
    const Duration length = run_length(options, kSecondsDefault);
    PoolFleet fleet(settings);
    const double capacity = fleet.pool().CapacityPerSecond();
    const std::vector<GroupName> within = WithinShareGroups();
    const double greedy_rate = capacity * kShare * kGreedyOfShare;
    const double within_rate =
        (capacity * kDemandOfCapacity - greedy_rate) / static_cast<double>(within.size());

    // Alone: each group's latency without the others.
    fleet.load().SetRate(within.front(), within_rate);
    fleet.Run(kWarmUp);
    const Instant alone_from = fleet.events().now();
    fleet.Run(length);
    const double alone_p99 = Percentile(
        fleet.load().Summarise(within.front(), alone_from, fleet.events().now()).answered_ms, 0.99);
    progress("unloaded", 0.4);

    for (const GroupName& group : within) fleet.load().SetRate(group, within_rate);
    fleet.load().SetRate(kGreedy, greedy_rate);
    fleet.Run(kWarmUp);
    const Instant from = fleet.events().now();
    const std::uint64_t answered_before = fleet.pool().AnsweredTotal();
    fleet.Run(length);
    const Instant until = fleet.events().now();
    const std::uint64_t answered_in_span = fleet.pool().AnsweredTotal() - answered_before;
    fleet.Run(settings.deadline);
    progress("overloaded", 1.0);
    return Summarise(fleet, within, from, until, alone_p99, answered_in_span);
  }

 private:
  static Measurement Summarise(PoolFleet& fleet, const std::vector<GroupName>& within, Instant from,
                               Instant until, double alone_p99, std::uint64_t answered_by_servers) {
    double least_fraction = 1.0;
    double worst_p99 = 0.0;
    for (const GroupName& group : within) {
      const CallerSummary summary = fleet.load().Summarise(group, from, until);
      least_fraction = std::min(least_fraction, summary.AnsweredFraction());
      worst_p99 = std::max(worst_p99, Percentile(summary.answered_ms, 0.99));
    }
    const double seconds = std::chrono::duration<double>(until - from).count();
    const double capacity = fleet.pool().CapacityPerSecond();
    const auto all = static_cast<double>(fleet.load().SummariseAll(from, until).answered);
    Measurement result;
    result.AddAtLeast("within_share_answered_of_offered_least_ratio", least_fraction, 0.95);
    result.AddAtMost("within_share_p99_over_unloaded_ratio", worst_p99 / alone_p99, 2.0);
    result.AddAtLeast("goodput_of_capacity_ratio", all / seconds / capacity, 0.9);
    result.Add("within_share_p99_ms", worst_p99);
    result.Add("unloaded_p99_ms", alone_p99);
    result.Add("greedy_answered_of_offered_ratio",
               fleet.load().Summarise(kGreedy, from, until).AnsweredFraction());
    result.Add("servers_answered_of_capacity_ratio",
               static_cast<double>(answered_by_servers) / seconds / capacity);
    result.remarks.push_back(fmt::format(
        "{} servers answer {:.0f} requests a second. Groups within their share ask for two thirds "
        "of it, so all that they offer is owed to them.",
        fleet.pool().size(), capacity));
    return result;
  }
};

}  // namespace

std::unique_ptr<Experiment> MakeOverloadShares() { return std::make_unique<OverloadShares>(); }

}  // namespace graniteseam::testbed
