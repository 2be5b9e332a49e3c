// hot-shift in virtual time: the hot keys change every 20 s; the shipped load tracker and planner
// see noisy counts from three routers and move shards.

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>

#include "graniteseam/placement/load_tracker.h"
#include "graniteseam/placement/placement_planner.h"
#include "graniteseam/routing/routing_table.h"
#include "testbed/experiment/experiments.h"
#include "testbed/virtual_fleet/event_queue.h"
#include "testbed/virtual_fleet/zipf_shards.h"

namespace graniteseam::testbed {

namespace {

constexpr Duration kShiftInterval{20'000'000};
constexpr Duration kReportInterval{250'000};
constexpr Duration kPlanInterval{100'000};
constexpr Duration kSampleInterval{100'000};
constexpr Duration kMoveTime{50'000};
constexpr Duration kSettled{5'000'000};
constexpr double kImbalanceBound = 1.25;
constexpr std::uint32_t kRouters = 3;
constexpr std::uint32_t kServersDefault = 14;
constexpr std::uint32_t kShardsDefault = 1'024;
constexpr std::uint32_t kShiftsDefault = 10;
constexpr std::uint32_t kRingPointsPerServer = 100;

const ServiceName kService{"transcripts"};

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// Owner of each shard by a hash ring of servers, which knows nothing of load.
std::vector<std::uint32_t> RingOwners(std::uint32_t servers, std::uint32_t shards) {
  constexpr std::uint32_t kRingSize = 1U << 30U;
  std::map<std::uint32_t, std::uint32_t> ring;
  for (std::uint32_t server = 0; server < servers; ++server) {
    for (std::uint32_t point = 0; point < kRingPointsPerServer; ++point) {
      ring[routing::ShardOfKey(fmt::format("server-{}-{}", server, point), kRingSize)] = server;
    }
  }
  std::vector<std::uint32_t> owners(shards);
  for (std::uint32_t shard = 0; shard < shards; ++shard) {
    const auto next =
        ring.lower_bound(routing::ShardOfKey(fmt::format("shard-{}", shard), kRingSize));
    owners[shard] = next == ring.end() ? ring.begin()->second : next->second;
  }
  return owners;
}

std::vector<std::uint32_t> EvenOwners(std::uint32_t servers, std::uint32_t shards) {
  std::vector<std::uint32_t> owners(shards);
  for (std::uint32_t shard = 0; shard < shards; ++shard) owners[shard] = shard % servers;
  return owners;
}

/// Keyed service whose shards have true loads; the decision makers see only counts.
class HotShiftRun {
 public:
  HotShiftRun(const RunOptions& options, Way way)
      : servers_(options.nodes == 0 ? kServersDefault : options.nodes),
        shards_(options.shards == 0 ? kShardsDefault : options.shards),
        shifts_(options.repetitions == 0 ? kShiftsDefault : options.repetitions),
        way_(way),
        zipf_(ZipfSettings{}, shards_, options.seed),
        counts_(options.seed + 1),
        owners_(way == Way::kShipped ? EvenOwners(servers_, shards_)
                                     : RingOwners(servers_, shards_)),
        moving_(shards_, false) {}

  Measurement Run(const Progress& progress) {
    if (way_ == Way::kShipped) {
      events_.Every(kReportInterval, [this] { Report(); });
      events_.Every(kPlanInterval, [this] { Plan(); });
    }
    events_.Every(kSampleInterval, [this] { Sample(); });
    // The first interval lets the even start settle and counts for nothing.
    events_.RunUntil(events_.now() + kShiftInterval);
    for (std::uint32_t shift = 0; shift < shifts_; ++shift) {
      BeginShift();
      events_.RunUntil(shift_at_ + kShiftInterval);
      EndShift();
      progress(fmt::format("shift {} of {}", shift + 1, shifts_), (shift + 1.0) / shifts_);
    }
    return Summary();
  }

 private:
  void Report() {
    const double seconds = Seconds(kReportInterval);
    for (std::uint32_t shard = 0; shard < shards_; ++shard) {
      for (std::uint32_t router = 0; router < kRouters; ++router) {
        const auto requests = counts_.Poisson(zipf_.loads()[shard] * seconds / kRouters);
        if (requests > 0) {
          tracker_.Record({kService, shard}, static_cast<double>(requests), events_.now());
        }
      }
    }
  }

  void Plan() {
    tracker_.Advance(events_.now());
    placement::PlacementInput input;
    input.service = kService;
    input.last_load_shift = tracker_.LastShift(kService);
    for (std::uint32_t server = 0; server < servers_; ++server) {
      input.servers.push_back({ServerId{std::to_string(server)}, ZoneName{"zone"}, 1.0, true});
    }
    for (std::uint32_t shard = 0; shard < shards_; ++shard) {
      const placement::LoadEstimate load = tracker_.Estimate({kService, shard});
      input.shards.push_back(
          {shard, owners_[shard], load.requests_per_second, load.deviation, !moving_[shard]});
    }
    for (const placement::ShardMove& move : planner_.Plan(input, events_.now()).moves) {
      StartMove(move);
    }
  }

  void StartMove(const placement::ShardMove& move) {
    const std::uint32_t shard = move.shard.index;
    const auto target = static_cast<std::uint32_t>(std::stoul(move.to.value));
    moving_[shard] = true;
    ++moves_;
    events_.After(kMoveTime, [this, shard, target] {
      owners_[shard] = target;
      moving_[shard] = false;
    });
  }

  std::vector<double> ServerLoads() const {
    std::vector<double> loads(servers_);
    for (std::uint32_t shard = 0; shard < shards_; ++shard) {
      loads[owners_[shard]] += zipf_.loads()[shard];
    }
    return loads;
  }

  double MeanLoad() const {
    return std::accumulate(zipf_.loads().begin(), zipf_.loads().end(), 0.0) / servers_;
  }

  double Imbalance() const {
    const std::vector<double> loads = ServerLoads();
    return *std::max_element(loads.begin(), loads.end()) / MeanLoad();
  }

  /// The moves of an offline solver that knows the true loads and stops at the bound: from the
  /// busiest server to the least busy one, the heaviest shard that keeps the target in bounds.
  std::uint32_t OfflineMoves() const {
    const double limit = kImbalanceBound * MeanLoad();
    std::vector<std::uint32_t> owners = owners_;
    std::vector<double> loads = ServerLoads();
    std::uint32_t moves = 0;
    while (true) {
      const auto busiest = std::max_element(loads.begin(), loads.end());
      const auto least = std::min_element(loads.begin(), loads.end());
      if (*busiest <= limit) return moves;
      const auto from = static_cast<std::uint32_t>(busiest - loads.begin());
      const std::optional<std::uint32_t> shard = HeaviestThatFits(owners, from, limit - *least);
      if (!shard) return moves;
      owners[*shard] = static_cast<std::uint32_t>(least - loads.begin());
      *busiest -= zipf_.loads()[*shard];
      *least += zipf_.loads()[*shard];
      ++moves;
    }
  }

  std::optional<std::uint32_t> HeaviestThatFits(const std::vector<std::uint32_t>& owners,
                                                std::uint32_t owner, double room) const {
    std::optional<std::uint32_t> heaviest;
    for (std::uint32_t shard = 0; shard < shards_; ++shard) {
      const double load = zipf_.loads()[shard];
      if (owners[shard] != owner || load > room) continue;
      if (!heaviest || load > zipf_.loads()[*heaviest]) heaviest = shard;
    }
    return heaviest;
  }

  void BeginShift() {
    zipf_.Shift();
    shift_at_ = events_.now();
    offline_moves_ += OfflineMoves();
    moves_before_ = moves_;
    last_above_ = Duration{0};
    worst_settled_ = 0.0;
    const double hottest = *std::max_element(zipf_.loads().begin(), zipf_.loads().end());
    floor_ = std::max(floor_, hottest / MeanLoad());
  }

  void Sample() {
    const double imbalance = Imbalance();
    imbalance_series_.points.emplace_back(Seconds(events_.now() - Instant{}), imbalance);
    if (shift_at_ == Instant{}) return;
    const Duration since = events_.now() - shift_at_;
    if (imbalance > kImbalanceBound) last_above_ = since;
    if (since >= kSettled) worst_settled_ = std::max(worst_settled_, imbalance);
  }

  void EndShift() {
    rebalanced_s_.push_back(Seconds(last_above_));
    settled_.push_back(worst_settled_);
    counted_moves_ += moves_ - moves_before_;
  }

  Measurement Summary() const {
    Measurement result;
    result.AddAtMost("rebalanced_after_shift_p99_s", Percentile(rebalanced_s_, 0.99),
                     Seconds(kSettled));
    result.AddAtMost("settled_max_over_mean_load_ratio",
                     *std::max_element(settled_.begin(), settled_.end()), kImbalanceBound);
    result.Add("settled_max_over_mean_load_median_ratio", Percentile(settled_, 0.5));
    result.Add("hottest_shard_over_mean_load_ratio", floor_);
    result.Add("shard_moves_count", static_cast<double>(counted_moves_));
    result.Add("offline_solver_moves_count", offline_moves_);
    if (way_ == Way::kShipped && offline_moves_ > 0) {
      result.AddAtMost("moves_over_offline_solver_ratio",
                       static_cast<double>(counted_moves_) / offline_moves_, 2.0);
    }
    result.remarks.push_back(fmt::format(
        "{} servers, {} shards, {} shifts. The offline solver knows the true loads and stops at {} "
        "of the mean.",
        servers_, shards_, shifts_, kImbalanceBound));
    if (floor_ > kImbalanceBound) {
      result.remarks.emplace_back(
          "One shard alone exceeded the bound in some shift; no placement could keep it then.");
    }
    result.series.push_back(imbalance_series_);
    return result;
  }

  std::uint32_t servers_;
  std::uint32_t shards_;
  std::uint32_t shifts_;
  Way way_;
  EventQueue events_;
  ZipfShards zipf_;
  RandomSource counts_;
  placement::LoadTracker tracker_;
  placement::PlacementPlanner planner_;
  std::vector<std::uint32_t> owners_;
  std::vector<bool> moving_;
  Instant shift_at_{};
  std::uint64_t moves_ = 0;
  std::uint64_t moves_before_ = 0;
  std::uint64_t counted_moves_ = 0;
  std::uint32_t offline_moves_ = 0;
  Duration last_above_{};
  double worst_settled_ = 0.0;
  double floor_ = 0.0;
  std::vector<double> rebalanced_s_;
  std::vector<double> settled_;
  Series imbalance_series_{"max/mean load", "time [s]", "max/mean load of servers", {}};
};

class HotShift : public Experiment {
 public:
  std::string_view name() const override { return "hot-shift"; }
  std::string_view question() const override {
    return "How soon and with how many moves is load even again when the hot keys change?";
  }
  Driver driver() const override { return Driver::kVirtual; }
  bool HasBaseline() const override { return true; }
  Result<Measurement> Measure(const RunOptions& options, Way way,
                              const Progress& progress) const override {
    return HotShiftRun(options, way).Run(progress);
  }
};

}  // namespace

std::unique_ptr<Experiment> MakeHotShift() { return std::make_unique<HotShift>(); }

}  // namespace graniteseam::testbed
