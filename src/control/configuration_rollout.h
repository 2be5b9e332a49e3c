/// @file
/// Tracks which routers have applied each configuration change and decides when the change is
/// acknowledged to its operator.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "graniteseam/control/rollout_note.h"

namespace graniteseam::control {

/// Tracks each change from its commit until every reachable router has reported in a poll that it
/// has applied it. The event log records show at which step a router lags: what was committed, what
/// was sent to it, what it reported and when it last polled; the router's own log has when it
/// received and applied a change. The record of an acknowledgement names the routers that lacked
/// the change, and why it did not wait for them. Volume: three records per change, and two for each
/// period in which a router is behind.
///
/// Invariant: an acknowledgement is sent when every reachable router has reported that it has the
/// change, or 2 s after the commit. The users measure from the acknowledgement until a change
/// must be in force at all connected routers; acknowledging at the commit would not depend on any
/// router, so any delay of a router would break that guarantee. A router that
/// was told of a change and lacks it 2 s later refuses requests (ConfigurationLag), so that the
/// guarantee holds for those that an acknowledgement did not wait for. Such a router is not awaited
/// again until it is less than 1 s behind: it delays one change instead of every change.
///
/// The cost of a poll does not depend on the number of routers. All routers are examined only when
/// one has reached a change and, while acknowledgements are pending, at intervals that grow with
/// the number of routers.
///
/// Exists for one leadership. Bounded; not thread safe; `now` must not decrease.
class ConfigurationRollout {
 public:
  /// @param now the start of the leadership; routers need some time to find the new leader.
  explicit ConfigurationRollout(Instant now) : start_(now) {}

  /// Holds the acknowledgement of a change. A request that is resent waits no longer than the first
  /// one, since operators resend once a second.
  /// @param version the version of the newest change, as passed to RecordCommit() here or on an
  /// earlier leader.
  void HoldAcknowledgement(std::uint64_t request, std::uint64_t version);
  /// An acknowledgement that is due.
  struct Due {
    std::uint64_t request = 0;
    std::uint64_t version = 0;
  };
  /// Removes and returns the acknowledgements that are due.
  std::vector<Due> TakeDue(Instant now);
  /// Removes and returns all held requests, at the end of the leadership.
  std::vector<std::uint64_t> TakeHeld();

  /// Records that a change was committed and applied by this process.
  /// @param version log index of the first traffic state that contains it.
  void RecordCommit(traffic::ConfigurationVersion configuration, std::uint64_t version,
                    Instant now);
  /// Records the state version that a router reported in a poll.
  void RecordPoll(const RouterId& router, std::uint64_t version, Instant now);

  /// Detects routers that are behind.
  void Evaluate(Instant now);
  /// When Evaluate() or TakeDue() must be called next.
  Instant NextDue() const;

  /// Event log records since the last call.
  std::vector<RolloutNote> TakeNotes() { return std::exchange(notes_, {}); }

  /// Number of routers examined so far, counted once per examination.
  std::uint64_t evaluations() const { return evaluations_; }

 private:
  struct Change {
    traffic::ConfigurationVersion configuration;
    std::uint64_t version = 0;
    Instant committed;
  };
  struct Router {
    std::uint64_t version = 0;  ///< As last reported.
    Instant last_poll_at{};
    bool reported_behind = false;
    bool awaited = true;  ///< Whether acknowledgements wait for this router.
  };
  struct Held {
    std::uint64_t request = 0;
    std::uint64_t version = 0;
    Instant until;
  };

  void ScheduleRouterCheck(Instant now);
  bool IsAwaited(const Router& router, std::uint64_t version, Instant now) const;
  /// Whether all awaited routers have the change.
  bool IsReadyToAcknowledge(const Held& held, Instant now) const;
  /// Limits the rate of checks: returns true, and starts the next interval, once as much time has
  /// passed as a check takes.
  bool BeginCheck(Instant now);
  /// Marks the routers for which an acknowledgement waited in vain as no longer awaited.
  void StopAwaiting(const Held& held, Instant now);
  void NoteAcknowledged(const Held& held, Instant now);
  /// Why an acknowledgement leaves although this router has not reported the change.
  std::string DescribeLagging(const RouterId& id, const Router& router, Instant now) const;
  /// Whether the router lacks a change that was committed at least `lag` ago.
  bool IsBehind(const Router& router, Duration lag, Instant now) const;
  void NoteBehind(const RouterId& id, Router& router, Instant now);
  /// Completes the changes that all reachable routers have applied.
  void CompleteChanges(const RouterId& last, Instant now);
  bool IsReachable(const Router& router, Instant now) const;
  void Note(std::string_view what, const Change& change, RouterId router, std::string inputs);

  const Instant start_;
  Change newest_;
  Instant checked_at_{};  ///< By TakeDue().
  Instant acknowledgement_check_due_{};
  mutable std::uint64_t evaluations_ = 0;
  std::vector<Held> held_;  ///< In commit order.
  /// Not yet in force on all routers; in commit order.
  std::deque<Change> changes_in_progress_;
  std::map<RouterId, Router> routers_;
  Instant router_check_due_ = Instant::max();
  std::vector<RolloutNote> notes_;
};

}  // namespace graniteseam::control
