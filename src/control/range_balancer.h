/// @file
/// Chooses owners for key spans by the load that routers report.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/update.h"
#include "src/traffic/key_range_table.h"

namespace graniteseam::control {

/// An instance that may own keys.
struct RangeCandidate {
  traffic::InstanceId id;
  ZoneName zone;
  double slots = 1;  ///< Scaled by its speed, relative to the mean of its service.
  /// With leases by heartbeat: the expected time of the next heartbeat, whose answer conveys
  /// changes, and the interval of later ones. Zero with leases by orders.
  Instant next_heartbeat{};
  Duration heartbeat_interval{};

  /// The first expected heartbeat at or after `time`.
  Instant NextHeartbeatFrom(Instant time) const;
};

/// Updates `ranges` as if a move had begun: cuts out its span and marks it as releasing to its
/// successor.
void MarkMoved(traffic::KeyRangeTable::Ranges& ranges, const traffic::RangeRelease& move);

/// Balances load with few and narrow moves, because a moving span has no owner for a moment and its
/// next owner has cold caches. Deterministic; not thread safe; `now` never decreases.
class RangeBalancer {
 public:
  /// Adds the request counts by key that a router reported.
  void TakeLoads(const std::vector<traffic::ServiceLoads>& loads, Instant now);

  /// Load of each owner in requests per second; a moving span counts for its successor.
  using LoadByOwner = std::map<traffic::InstanceId, double>;
  LoadByOwner OwnerLoads(const ServiceName& service,
                         const traffic::KeyRangeTable::Ranges& ranges) const;

  /// Divides a span without an owner among the candidates in proportion to their slots, less the
  /// load that they already carry. Updates `loads` accordingly.
  std::vector<traffic::RangeAssignment> Divide(const traffic::KeyRange& range, LoadByOwner& loads,
                                               const std::vector<RangeCandidate>& candidates) const;

  /// Whether a service's keys may be cut into more ranges than at present.
  static bool MayCut(const traffic::KeyRangeTable::Ranges& ranges,
                     const std::vector<RangeCandidate>& candidates);

  /// Hot keys: requests per second by key; empty for an unknown service.
  std::map<std::uint32_t, float> HotKeys(const ServiceName& service) const;

  /// The candidates with the least load per slot, at most `count`.
  static std::vector<RangeCandidate> LeastLoaded(const LoadByOwner& loads,
                                                 const std::vector<RangeCandidate>& candidates,
                                                 std::size_t count);

  /// Returns moves that balance the load; none when it is balanced well enough.
  /// @param planned moves that have not begun yet; they count as done.
  std::vector<traffic::RangeRelease> Rebalance(const ServiceName& service,
                                               const traffic::KeyRangeTable::Ranges& ranges,
                                               const std::vector<RangeCandidate>& candidates,
                                               const std::vector<traffic::RangeRelease>& planned,
                                               Instant now);

 private:
  /// Requests per second of each key. Rates are kept by key because the load of a span may be that
  /// of a single key, which cannot be divided. Ordinary keys use a slow moving average, so that
  /// random variation causes no moves. A block of neighbouring keys whose load rises suddenly uses
  /// a fast one: a hot spot may consist of many keys with little load each.
  struct ServiceLoad {
    std::vector<float> rate = std::vector<float>(traffic::kLastKey + 1, 0.0F);
    std::vector<float> fast_rate = std::vector<float>(traffic::kLastKey + 1, 0.0F);
    std::vector<float> arrived = std::vector<float>(traffic::kLastKey + 1, 0.0F);
    /// Prefix sums over the keys of the rate that counts for each; one entry more than keys.
    std::vector<double> load_before = std::vector<double>(traffic::kLastKey + 2, 0.0);
    std::map<std::uint32_t, float> hot;          ///< Hot keys, with their rates.
    std::map<std::uint32_t, Instant> hot_moved;  ///< When each was last moved to a faster owner.
    Instant window_start{};
    Instant first_window{};
    Instant last_rebalance{};
    int windows = 0;  ///< Number of completed windows.
  };

  static void CloseWindow(ServiceLoad& load, Instant now);
  static void ComputePrefixSums(ServiceLoad& load);
  /// The load of a span, plus a small part in proportion to its size, so that idle keys count a
  /// little.
  double LoadOf(const ServiceName& service, const traffic::KeySpan& span) const;
  std::optional<traffic::RangeRelease> NextMove(const ServiceName& service,
                                                traffic::KeyRangeTable::Ranges& ranges,
                                                const std::vector<RangeCandidate>& candidates,
                                                LoadByOwner& loads, double overload, Instant now);
  /// Updates ranges and loads as if the move had been made.
  void ApplyMove(const traffic::RangeRelease& move, traffic::KeyRangeTable::Ranges& ranges,
                 LoadByOwner& loads) const;
  /// Moves a key whose load alone exceeds its owner's share to the fastest candidate.
  std::optional<traffic::RangeRelease> MoveOfHotKey(const ServiceName& service,
                                                    const traffic::KeyRangeTable::Ranges& ranges,
                                                    const std::vector<RangeCandidate>& candidates,
                                                    double mean, Instant now);
  /// The time over which a service's load was measured, in seconds; determines its statistical
  /// error.
  double ObservedSeconds(const ServiceName& service, Instant now) const;
  /// The part of a range whose load is about `wanted`: the whole range, or a piece from its start
  /// or end.
  std::optional<traffic::KeySpan> PartOf(const traffic::KeyRange& range, double wanted,
                                         bool may_cut) const;
  std::optional<traffic::KeySpan> PieceOf(const traffic::KeyRange& range, double wanted) const;

  std::map<ServiceName, ServiceLoad> loads_;
};

}  // namespace graniteseam::control
