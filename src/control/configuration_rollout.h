/// @file
/// How far each router has come with the changes of the configuration, and when their operators are
/// told.
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

/// Follows each change from its commit until every router that is heard of has told, by a poll,
/// that it has it. Its notes tell by which step a router is behind: what was committed, what was
/// sent to it, what it told and when it was heard; the router's own log has when it received and
/// applied a change. Volume: three lines a change, and two for each span in which a router is
/// behind.
///
/// Invariant: an acknowledgement leaves when every router that is heard of has told that it has the
/// change, or 0.5 s after its commit. The users count from the acknowledgement until a change is to
/// be in force at all routers in touch; an acknowledgement at the commit was tied to no router, so
/// that whatever made one late made the word untrue. A router that misses the limit is not waited
/// for again before it told that it has caught up: one that is cut off, and rightly serves on,
/// costs one change 0.5 s and not each.
///
/// A poll costs the same however many routers there are: all of them are looked at only when one
/// has reached a change, and for acknowledgements that wait, at intervals that grow with their
/// number.
///
/// Lives as long as one leadership. Bounded; not thread safe; `now` never goes back.
class ConfigurationRollout {
 public:
  /// @param now the start of the leadership: routers take a moment to find it.
  explicit ConfigurationRollout(Instant now) : start_(now) {}

  /// Holds the acknowledgement of a change. One that was sent again waits no longer than the first:
  /// its operator asks again each second.
  /// @param version of the newest change, as RecordCommit() was told, or an earlier leader.
  void HoldAcknowledgement(std::uint64_t request, std::uint64_t version);
  /// An acknowledgement that is to leave.
  struct Due {
    std::uint64_t request = 0;
    std::uint64_t version = 0;
  };
  std::vector<Due> TakeDue(Instant now);
  /// Takes out all requests that are held, at the end of the leadership.
  std::vector<std::uint64_t> TakeHeld();

  /// A change was committed and applied here.
  /// @param version of the traffic state that first has it.
  void RecordCommit(traffic::ConfigurationVersion configuration, std::uint64_t version,
                    Instant now);
  /// A router told by a poll which version it has.
  void RecordPoll(const RouterId& router, std::uint64_t version, Instant now);

  /// Looks for routers that are behind.
  void Evaluate(Instant now);
  /// When Evaluate() may find a router that is behind, or TakeDue() an acknowledgement.
  Instant NextDue() const;

  /// What happened since the last call.
  std::vector<RolloutNote> TakeNotes() { return std::exchange(notes_, {}); }

  /// Routers looked at so far, each as often as it was.
  std::uint64_t looks() const { return evaluations_; }

 private:
  struct Change {
    traffic::ConfigurationVersion configuration;
    std::uint64_t version = 0;
    Instant committed;
  };
  struct Router {
    std::uint64_t version = 0;  ///< As it told.
    Instant last_poll_at{};
    bool reported_behind = false;
    bool awaited = true;  ///< Before acknowledgements leave.
  };
  struct Held {
    std::uint64_t request = 0;
    std::uint64_t version = 0;
    Instant until;
  };

  void ScheduleRouterCheck(Instant now);
  bool IsAwaited(const Router& router, std::uint64_t version, Instant now) const;
  /// Whether nobody is to be waited for any more.
  bool IsReadyToAcknowledge(const Held& held, Instant now) const;
  /// The same, but not at each poll: asked again when as much time went by as a look takes.
  bool BeginCheck(Instant now);
  /// Notes the routers that an acknowledgement did not wait for to the end.
  void StopAwaiting(const Held& held, Instant now);
  void NoteAcknowledged(const Held& held, Instant now);
  bool IsBehind(const Router& router, Instant now) const;
  void NoteBehind(const RouterId& id, Router& router, Instant now);
  /// Ends the changes that every router which is heard of has.
  void CompleteChanges(const RouterId& last, Instant now);
  bool IsReachable(const Router& router, Instant now) const;
  void Note(std::string_view what, const Change& change, RouterId router, std::string inputs);

  const Instant start_;
  Change newest_;
  Instant checked_at_{};  ///< By TakeDue().
  Instant acknowledgement_check_due_{};
  mutable std::uint64_t evaluations_ = 0;
  std::vector<Held> held_;  ///< In the order of their commits.
  std::deque<Change>
      changes_in_progress_;  ///< In the order of their commits; not yet in force everywhere.
  std::map<RouterId, Router> routers_;
  Instant router_check_due_ = Instant::max();
  std::vector<RolloutNote> notes_;
};

}  // namespace graniteseam::control
