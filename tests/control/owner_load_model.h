/// @file
/// A model, in virtual time, of a keyed service whose owners get their keys from a RangeBalancer.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "src/control/instance_speeds.h"
#include "src/control/range_balancer.h"
#include "src/traffic/key_range_table.h"

namespace graniteseam::test {

/// How the capacities of the owners are determined.
enum class CapacityRule {
  kLatency,   ///< Slots by mean latency: gateways report no work times.
  kWorkTime,  ///< Slots by reported work times.
  kTarget,    ///< By target latency, from reported work times.
};

/// Relative speeds of the owners, a third of them each.
inline constexpr std::array<double, 3> kOwnerSpeeds{0.6, 1.0, 1.4};

struct OwnerLoadOptions {
  std::uint64_t seed = 1;
  double load = 1;  ///< Relative to 1,305 requests per second.
  CapacityRule rule = CapacityRule::kTarget;
};

/// Results of the requests that arrived in a period.
struct OwnerLoadResult {
  std::array<double, kOwnerSpeeds.size()> requests{};  ///< By the speed of the owner.
  std::array<double, kOwnerSpeeds.size()> in_time{};
  double moves = 0;  ///< Key moves that began in the period.

  auto in_time_share(std::size_t speed) const -> double { return in_time[speed] / requests[speed]; }
  auto in_time_share() const -> double;
};

/// 196 owners with three slots and a queue of 12 requests each, in order of arrival. At any moment
/// one fifth of them takes three times as long, every 0.4 s a different one. Requests arrive as a
/// Poisson process on keys with Zipf weights; their work is log-normal, and one in 100 takes five
/// times as long. Keys move with the answers to heartbeats, and have no owner meanwhile.
///
/// Gateways report the keys of requests, and latencies and work times of answers. As each gateway
/// sends an owner a request only about once in 11 s, all of them count as having found a free slot.
class OwnerLoadModel {
 public:
  explicit OwnerLoadModel(OwnerLoadOptions const& options);

  /// Runs until `end` after the start.
  /// @return the results of the requests that arrive from `begin` on.
  auto run(Duration begin, Duration end) -> OwnerLoadResult;

 private:
  enum class EventKind { kArrival, kServed, kHeartbeat, kReport };
  struct Event {
    Instant at{};
    std::uint64_t number = 0;  ///< Orders simultaneous events.
    EventKind kind = EventKind::kArrival;
    std::size_t owner = 0;
    Instant arrived{};  ///< kServed: when the request arrived at a gateway.
    Instant sent{};     ///< kServed: when it was sent to the owner.

    auto operator<(Event const& other) const -> bool {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };
  struct Request {
    std::uint32_t key = 0;
    Instant arrived{};
    Instant sent{};
  };
  struct Owner {
    std::size_t speed = 0;  ///< Index into kOwnerSpeeds.
    std::int64_t noise_group = 0;
    int running = 0;
    std::deque<Request> queue;
    traffic::InstanceSpeed report;
  };
  /// A release that has begun.
  struct Release {
    traffic::RangeRelease move;
    traffic::Fence fence;
    Instant released{};
    std::vector<Request> waiting;
  };

  auto add_owners() -> void;
  auto add_keys() -> void;
  auto schedule(Event event) -> void;
  auto on_arrival() -> void;
  auto on_served(Event const& event) -> void;
  auto on_heartbeat(std::size_t owner) -> void;
  auto on_report() -> void;
  auto rebalance() -> void;
  auto dispatch(Request const& request) -> void;
  auto start(std::size_t owner, Request const& request) -> void;
  auto finish(std::size_t owner, Request const& request, bool in_time) -> void;
  auto is_noisy(Owner const& owner) const -> bool;
  auto candidates() const -> std::vector<control::RangeCandidate>;
  auto ranges() const -> traffic::KeyRangeTable::Ranges const&;

  OwnerLoadOptions const options_;
  std::mt19937_64 random_;
  std::vector<double> weights_before_;  ///< Sums of the keys' weights.
  std::vector<Owner> owners_;
  std::map<traffic::InstanceId, std::size_t> numbers_;  ///< Of the owners.
  std::vector<Instant> next_heartbeats_;
  std::priority_queue<Event> events_;
  std::uint64_t last_number_ = 0;
  std::uint64_t log_index_ = 1;
  traffic::KeyRangeTable table_;
  control::RangeBalancer balancer_;
  control::InstanceSpeeds speeds_;
  std::map<std::uint32_t, std::uint32_t> arrived_;  ///< Requests by key since the last report.
  std::vector<traffic::RangeRelease> planned_;
  std::vector<Release> releases_;
  Instant now_{};
  Instant measured_from_{};
  OwnerLoadResult result_;
};

}  // namespace graniteseam::test
