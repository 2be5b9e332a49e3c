/// @file
/// How far each router has come with the changes of the configuration.
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
/// Lives as long as one leadership. Bounded; not thread safe; `now` never goes back.
class ConfigurationRollout {
 public:
  /// A change was committed and applied here.
  /// @param version of the traffic state that first has it.
  void Committed(traffic::ConfigurationVersion configuration, std::uint64_t version, Instant now);
  /// Its operator is told that it is accepted.
  void Acknowledged(std::uint64_t version, Instant now);
  /// A router told by a poll which version it has.
  void Heard(const RouterId& router, std::uint64_t version, Instant now);

  /// Looks for routers that are behind. @param sent the version that a router was sent last.
  template <class SentTo>
  void Look(const SentTo& sent, Instant now) {
    if (now < look_due_) return;
    for (auto& [router, state] : routers_) {
      if (IsBehind(state, now)) NoteBehind(router, state, sent(router), now);
    }
    PlanLook(now);
  }
  /// When Look() may find a router that is behind.
  Instant NextDue() const { return look_due_; }

  /// What happened since the last call.
  std::vector<RolloutNote> TakeNotes() { return std::exchange(notes_, {}); }

 private:
  struct Change {
    traffic::ConfigurationVersion configuration;
    std::uint64_t version = 0;
    Instant committed;
  };
  struct Router {
    std::uint64_t version = 0;  ///< As it told.
    Instant heard{};
    bool told_behind = false;
  };

  void PlanLook(Instant now);
  bool IsBehind(const Router& router, Instant now) const;
  void NoteBehind(const RouterId& id, Router& router, std::uint64_t sent, Instant now);
  /// Ends the changes that every router which is heard of has.
  void EndChanges(const RouterId& last, Instant now);
  bool IsHeard(const Router& router, Instant now) const;
  void Note(std::string_view what, const Change& change, RouterId router, std::string inputs);

  std::deque<Change> open_;  ///< In the order of their commits; not yet in force everywhere.
  std::map<RouterId, Router> routers_;
  Instant look_due_ = Instant::max();
  std::vector<RolloutNote> notes_;
};

}  // namespace graniteseam::control
