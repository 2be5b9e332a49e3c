/// @file
/// The router's admission control for one service: a concurrency limit for each group and a
/// bounded, deadline-aware queue. See docs/design/admission.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::admission {

/// Identifies one request at the caller of this library; unique among live requests.
using RequestNumber = std::uint64_t;

/// A separate queue within a service: one for each owning server of a keyed service, or 0 for a
/// pool. Requests that wait for a full server do not block those for another.
using Lane = std::uint32_t;

/// A group's share and queue limit in one router.
struct GroupSettings {
  GroupName group;
  double weight = 1.0;
  std::uint32_t queue_maximum = 256;  ///< Limit of waiting requests over all lanes.
};

/// What happened to an offered request.
enum class Verdict {
  kAdmitted,  ///< Holds a slot until Release().
  kQueued,    ///< Waits to be dispatched or displaced, or for `give_up_at`.
  kRefused,   ///< Not run; answer at once with `retry_after`.
};

/// The result of GroupLimiter::Offer().
struct OfferResult {
  Verdict verdict = Verdict::kRefused;
  Instant give_up_at{};    ///< When queued: call Withdraw() then.
  Duration retry_after{};  ///< When refused, or for the displaced request.
  /// A queued request that this offer evicted: answer it at once as not run.
  std::optional<RequestNumber> displaced;
};

/// A request that is offered for admission.
struct OfferedRequest {
  RequestNumber number = 0;
  GroupName group;
  Lane lane = 0;
  Instant deadline;
};

/// Limits and queues one service's requests in one router.
///
/// A request runs when its lane has a free slot and its group is below its limit. Among waiting
/// groups the one with the fewest requests in flight per weight goes first, within a group the
/// earliest deadline. A request waits at most half of its remaining time, so that its caller still
/// has time to try elsewhere after a refusal. A full queue evicts the request with the earliest
/// deadline.
///
/// Not thread safe: the owner guards it by the service's lock. Deterministic.
class GroupLimiter {
 public:
  /// Replaces the configured groups. A group that is no longer configured keeps its requests in
  /// flight and queues no more.
  void Configure(const std::vector<GroupSettings>& groups);

  /// Sets a group's concurrency limit; a group without one is limited by the lanes alone.
  void SetLimit(const GroupName& group, double concurrency);

  /// Admits, queues or refuses a request.
  /// @param lane_room slots that are free at the lane's servers at this moment.
  OfferResult Offer(const OfferedRequest& request, std::size_t lane_room, Instant now);

  /// Releases a slot. Call Dispatch() for the lane afterwards.
  void Release(const GroupName& group, Instant now);

  /// Removes a waiting request.
  /// @return false when it is not waiting, for example because it was already admitted.
  bool Withdraw(RequestNumber number);

  /// Admits waiting requests of a lane while it has free slots; each admitted request holds one. A
  /// request whose deadline has passed is admitted too: its owner detects that and releases the
  /// slot.
  std::vector<RequestNumber> Dispatch(Lane lane, std::size_t lane_room);

  /// Lanes with waiting requests.
  std::vector<Lane> WaitingLanes() const;

  std::size_t InFlight(const GroupName& group) const;
  std::size_t Queued(const GroupName& group) const;
  std::size_t QueuedTotal() const { return waiting_.size(); }

  /// The estimated queueing time of a new request of the group.
  Duration ExpectedWait(const GroupName& group) const;

 private:
  struct QueueKey {
    Instant deadline;
    RequestNumber number;
    auto operator<=>(const QueueKey&) const = default;
  };
  using Queue = std::set<QueueKey>;
  struct Group {
    double weight = 1.0;
    std::uint32_t queue_maximum = 0;
    std::optional<double> limit;
    std::size_t in_flight = 0;
    std::size_t queued = 0;
    double release_interval_us = 0.0;  ///< Smoothed interval between two releases, in microseconds.
    Instant last_release{};
    std::map<Lane, Queue> queues;

    bool BelowLimit() const;
  };
  struct Place {
    GroupName group;
    Lane lane = 0;
    Instant deadline;
  };

  void Enqueue(Group& group, const OfferedRequest& request);
  void Dequeue(Group& group, const Place& place, RequestNumber number);
  std::optional<RequestNumber> EarliestDeadline(const Group& group) const;
  Group* NextGroup(Lane lane);
  bool LaneHasEligibleWaiter(Lane lane) const;

  std::map<GroupName, Group> groups_;
  std::unordered_map<RequestNumber, Place> waiting_;
};

}  // namespace graniteseam::admission
