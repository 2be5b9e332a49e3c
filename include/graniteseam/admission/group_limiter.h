/// @file
/// The router's admission for one service: a limit of concurrent requests for each group and a
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

/// Names one request at the driver; unique while the request lives.
using RequestNumber = std::uint64_t;

/// A queue of its own within a service: the owning server of a keyed service, or 0 for a pool.
/// Work for a full server does not hold up work for another.
using Lane = std::uint32_t;

struct GroupSettings {
  GroupName group;
  double weight = 1.0;
  std::uint32_t queue_maximum = 256;  ///< Waiting requests in all lanes together.
};

enum class Verdict {
  kAdmitted,  ///< Holds a place until Release().
  kQueued,    ///< Wait for a grant, a displacement, or `give_up_at`.
  kRefused,   ///< Not run; answer at once with `retry_after`.
};

struct OfferResult {
  Verdict verdict = Verdict::kRefused;
  Instant give_up_at{};                    ///< When queued: call Withdraw() then.
  Duration retry_after{};                  ///< When refused, or for the displaced request.
  std::optional<RequestNumber> displaced;  ///< Lost its place in the queue to this offer: answer it
                                           ///< at once as not run.
};

struct OfferedRequest {
  RequestNumber number = 0;
  GroupName group;
  Lane lane = 0;
  Instant deadline;
};

/// Limits and queues one service's requests in one router.
///
/// A request runs when its lane has room and its group is below its limit; among waiting groups the
/// one with the fewest in flight per weight goes first, within a group the earliest deadline. A
/// request waits at most half of the time it has left, so that one that is given up is told while
/// its caller can still go elsewhere. A full queue gives up its earliest deadline.
///
/// Not thread safe: the owner guards it by the service's lock. Deterministic.
class GroupLimiter {
 public:
  /// Names the groups; one that is no longer named keeps what it has in flight and takes no more.
  void Configure(const std::vector<GroupSettings>& groups);

  /// Sets a group's limit; without one only the lanes limit it.
  void SetLimit(const GroupName& group, double concurrency);

  /// Asks to run a request.
  /// @param lane_room places free at the lane's servers just now.
  OfferResult Offer(const OfferedRequest& request, std::size_t lane_room, Instant now);

  /// Gives a place back. Call Dispatch() for the lane afterwards.
  void Release(const GroupName& group, Instant now);

  /// Takes a waiting request out.
  /// @return false when it is not waiting, for example because it was admitted before.
  bool Withdraw(RequestNumber number);

  /// Admits waiting requests of a lane while it has room; they hold places from now on. One whose
  /// deadline has passed is admitted too: its owner finds that out and releases the place.
  std::vector<RequestNumber> Dispatch(Lane lane, std::size_t lane_room);

  /// Lanes with waiting requests.
  std::vector<Lane> WaitingLanes() const;

  std::size_t InFlight(const GroupName& group) const;
  std::size_t Queued(const GroupName& group) const;
  std::size_t QueuedTotal() const { return waiting_.size(); }

  /// The wait that a new request of the group should expect.
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
    double release_interval_us = 0.0;  ///< Smoothed time between two releases.
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
