/// @file
/// Chooses owners for spans of keys by the load that routers report.
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
  /// By heartbeat: when it learns of changes next, and after that each interval. Zero by orders.
  Instant next_heartbeat{};
  Duration heartbeat_interval{};

  /// Its first heartbeat from `time` on.
  Instant NextHeartbeatFrom(Instant time) const;
};

/// Lets ranges stand as after a move was begun: its span is cut out and on its way.
void MarkMoved(traffic::KeyRangeTable::Ranges& ranges, const traffic::RangeRelease& move);

/// Keeps moves few and narrow: what moves has no owner for a moment, and its next owner is cold.
/// Deterministic; not thread safe; `now` never goes back.
class RangeBalancer {
 public:
  void TakeLoads(const std::vector<traffic::ServiceLoads>& loads, Instant now);

  /// What each owner carries; what moves counts for its next owner.
  using LoadByOwner = std::map<traffic::InstanceId, double>;
  LoadByOwner OwnerLoads(const ServiceName& service,
                         const traffic::KeyRangeTable::Ranges& ranges) const;

  /// Divides a span that has no owner any more among the candidates, in proportion to slots, less
  /// for those that carry much already. `loads` then stand as after it.
  std::vector<traffic::RangeAssignment> Divide(const traffic::KeyRange& range, LoadByOwner& loads,
                                               const std::vector<RangeCandidate>& candidates) const;

  /// Whether the keys of a service may be cut into more ranges than they are.
  static bool MayCut(const traffic::KeyRangeTable::Ranges& ranges,
                     const std::vector<RangeCandidate>& candidates);

  /// Requests a second of the keys that alone get much, by key; empty for an unknown service.
  std::map<std::uint32_t, float> HotKeys(const ServiceName& service) const;

  /// The candidates that carry least, `count` at most.
  static std::vector<RangeCandidate> LeastLoaded(const LoadByOwner& loads,
                                                 const std::vector<RangeCandidate>& candidates,
                                                 std::size_t count);

  /// Moves that even out the load, none when it is even enough.
  /// @param planned moves that are not begun yet; they count as done.
  std::vector<traffic::RangeRelease> Rebalance(const ServiceName& service,
                                               const traffic::KeyRangeTable::Ranges& ranges,
                                               const std::vector<RangeCandidate>& candidates,
                                               const std::vector<traffic::RangeRelease>& planned,
                                               Instant now);

 private:
  /// Requests a second for each key. Keys alone tell: the load of a span may be that of one of its
  /// keys, which can't be divided. Ordinary keys have a slow mean, so that chance moves nothing. A
  /// block of neighbours that suddenly gets much has a fast one: the keys of a crowd may be many,
  /// each of them with little.
  struct ServiceLoad {
    std::vector<float> rate = std::vector<float>(traffic::kLastKey + 1, 0.0F);
    std::vector<float> fast_rate = std::vector<float>(traffic::kLastKey + 1, 0.0F);
    std::vector<float> arrived = std::vector<float>(traffic::kLastKey + 1, 0.0F);
    /// What all keys before one get together, by the mean that counts for each; one entry more.
    std::vector<double> load_before = std::vector<double>(traffic::kLastKey + 2, 0.0);
    std::map<std::uint32_t, float> hot;          ///< Keys that alone get much.
    std::map<std::uint32_t, Instant> hot_moved;  ///< When they were last moved to a faster owner.
    Instant window_start{};
    Instant first_window{};
    Instant last_rebalance{};
    int windows = 0;  ///< Closed so far.
  };

  static void CloseWindow(ServiceLoad& load, Instant now);
  static void ComputePrefixSums(ServiceLoad& load);
  /// The load of a span, with a share for its mere size, so that cold keys count a little.
  double LoadOf(const ServiceName& service, const traffic::KeySpan& span) const;
  std::optional<traffic::RangeRelease> NextMove(const ServiceName& service,
                                                traffic::KeyRangeTable::Ranges& ranges,
                                                const std::vector<RangeCandidate>& candidates,
                                                LoadByOwner& loads, double overload, Instant now);
  /// Lets ranges and loads stand as after a move.
  void ApplyMove(const traffic::RangeRelease& move, traffic::KeyRangeTable::Ranges& ranges,
                 LoadByOwner& loads) const;
  /// Takes a key that alone is more than its owner's share to the fastest candidate.
  std::optional<traffic::RangeRelease> MoveOfHotKey(const ServiceName& service,
                                                    const traffic::KeyRangeTable::Ranges& ranges,
                                                    const std::vector<RangeCandidate>& candidates,
                                                    double mean, Instant now);
  /// Over how much time the load of a service's owners was counted, so that chance can be told.
  double ObservedSeconds(const ServiceName& service, Instant now) const;
  /// Keys of a range that carry about `wanted`: all of them, or a piece from its start or end.
  std::optional<traffic::KeySpan> PartOf(const traffic::KeyRange& range, double wanted,
                                         bool may_cut) const;
  std::optional<traffic::KeySpan> PieceOf(const traffic::KeyRange& range, double wanted) const;

  std::map<ServiceName, ServiceLoad> loads_;
};

}  // namespace graniteseam::control
