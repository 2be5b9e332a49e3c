#include "src/control/configuration_rollout.h"

#include <algorithm>
#include <utility>

#include "graniteseam/common/duration_text.h"

namespace graniteseam::control {
namespace {

/// A router that has not reported a change this long after its commit is recorded as behind. Twice
/// the poll interval.
constexpr Duration kBehindAfter{1'000'000};
/// A router without a poll for longer counts as gone or cut off.
constexpr Duration kReachableWithin{2'000'000};
/// Longest wait of an acknowledgement after the commit. Half of the 4 s within which users expect
/// an answer; the rest is left to the commit and to lost answers.
constexpr Duration kAcknowledgementWaitMaximum{2'000'000};
/// A router that missed an acknowledgement is awaited again once it is less far behind than this.
constexpr Duration kAwaitedAgainWithin{1'000'000};
/// Acknowledgements do not wait for a router without a poll for longer. Allows two polls and a
/// delay of one of them.
constexpr Duration kAwaitedIfPolledWithin{1'200'000};
/// Time until all running routers have polled a new leader: one poll interval and a round trip.
constexpr Duration kLeaderDiscoveryTime{500'000};
/// Maximum number of changes tracked at once; the oldest one is dropped without a record.
constexpr std::size_t kChangesInProgressMaximum = 64;
/// Maximum number of tracked routers. A machine that returns under another name adds one.
constexpr std::size_t kRoutersMaximum = 16'384;
/// Maximum number of routers recorded as behind by one check. With hundreds of lagging routers,
/// further records add no information.
constexpr int kRoutersReportedPerCheckMaximum = 16;
constexpr std::size_t kLaggingRoutersNamedMaximum = 8;
/// Interval of checks while acknowledgements are pending, which detect awaited routers that have
/// stopped polling.
constexpr Duration kAcknowledgementCheckInterval{50'000};
/// Assumed time to examine one router.
constexpr Duration kCheckTimePerRouter{1};

}  // namespace

void ConfigurationRollout::RecordCommit(traffic::ConfigurationVersion configuration,
                                        std::uint64_t version, Instant now) {
  if (changes_in_progress_.size() >= kChangesInProgressMaximum) changes_in_progress_.pop_front();
  newest_ = {configuration, version, now};
  changes_in_progress_.push_back(newest_);
  if (router_check_due_ == Instant::max()) ScheduleRouterCheck(now);
  Note("configuration_committed", changes_in_progress_.back(), {}, "");
}

void ConfigurationRollout::HoldAcknowledgement(std::uint64_t request, std::uint64_t version) {
  const Instant committed = newest_.version == version ? newest_.committed : start_;
  held_.push_back({request, version, committed + kAcknowledgementWaitMaximum});
}

std::vector<ConfigurationRollout::Due> ConfigurationRollout::TakeDue(Instant now) {
  std::vector<Due> due;
  if (held_.empty() || !BeginCheck(now)) return due;
  checked_at_ = now;
  std::erase_if(held_, [&](const Held& held) {
    const bool over = now >= held.until;
    if (!over && !IsReadyToAcknowledge(held, now)) return false;
    NoteAcknowledged(held, now);
    if (over) StopAwaiting(held, now);
    due.push_back({held.request, held.version});
    return true;
  });
  return due;
}

std::vector<std::uint64_t> ConfigurationRollout::TakeHeld() {
  std::vector<std::uint64_t> requests;
  for (const Held& held : std::exchange(held_, {})) requests.push_back(held.request);
  return requests;
}

bool ConfigurationRollout::IsReadyToAcknowledge(const Held& held, Instant now) const {
  if (now < start_ + kLeaderDiscoveryTime) return false;
  evaluations_ += routers_.size();
  return std::none_of(routers_.begin(), routers_.end(), [&](const auto& entry) {
    return IsAwaited(entry.second, held.version, now);
  });
}

bool ConfigurationRollout::IsAwaited(const Router& router, std::uint64_t version,
                                     Instant now) const {
  return router.awaited && router.version < version &&
         now - router.last_poll_at <= kAwaitedIfPolledWithin;
}

bool ConfigurationRollout::BeginCheck(Instant now) {
  if (now < acknowledgement_check_due_) return false;
  acknowledgement_check_due_ =
      now + static_cast<std::int64_t>(routers_.size()) * kCheckTimePerRouter;
  return true;
}

void ConfigurationRollout::StopAwaiting(const Held& held, Instant now) {
  for (auto& [id, router] : routers_) {
    if (IsAwaited(router, held.version, now)) router.awaited = false;
  }
}

void ConfigurationRollout::NoteAcknowledged(const Held& held, Instant now) {
  const Instant committed = held.until - kAcknowledgementWaitMaximum;
  std::string lagging;
  std::size_t behind = 0;
  for (const auto& [id, router] : routers_) {
    if (router.version >= held.version || !IsReachable(router, now)) continue;
    if (++behind > kLaggingRoutersNamedMaximum) continue;
    lagging += (lagging.empty() ? ": " : "; ") + DescribeLagging(id, router, now);
  }
  Note("configuration_acknowledged", {newest_.configuration, held.version, committed}, {},
       InMs(now - committed) + " after commit, " + std::to_string(behind) + " routers behind" +
           lagging);
}

std::string ConfigurationRollout::DescribeLagging(const RouterId& id, const Router& router,
                                                  Instant now) const {
  const Duration silence = now - router.last_poll_at;
  const std::string_view reason = silence > kAwaitedIfPolledWithin ? "silent"
                                  : router.awaited                 ? "awaited in vain"
                                                                   : "missed an earlier change";
  return id.value + " " + std::string(reason) + ", at version " + std::to_string(router.version) +
         ", last poll " + InMs(silence) + " ago";
}

void ConfigurationRollout::RecordPoll(const RouterId& id, std::uint64_t version, Instant now) {
  if (routers_.size() >= kRoutersMaximum && !routers_.contains(id)) return;
  Router& router = routers_[id];
  const Duration silence = now - router.last_poll_at;
  router.last_poll_at = now;
  const std::uint64_t before = std::exchange(router.version, std::max(router.version, version));
  router.awaited = router.awaited || !IsBehind(router, kAwaitedAgainWithin, now);
  if (router.reported_behind && !IsBehind(router, kBehindAfter, now)) {
    router.reported_behind = false;
    notes_.push_back(
        {"router_caught_up", {}, version, id, "no poll for " + InMs(silence) + " before"});
  }
  const bool reached = !changes_in_progress_.empty() &&
                       before < changes_in_progress_.front().version &&
                       router.version >= changes_in_progress_.front().version;
  if (reached) CompleteChanges(id, now);
}

void ConfigurationRollout::Evaluate(Instant now) {
  if (now < router_check_due_) return;
  int noted = 0;
  evaluations_ += routers_.size();
  for (auto& [id, router] : routers_) {
    if (noted < kRoutersReportedPerCheckMaximum && IsBehind(router, kBehindAfter, now)) {
      NoteBehind(id, router, now);
      ++noted;
    }
  }
  // A router that the changes in progress wait for may be gone.
  CompleteChanges({}, now);
  ScheduleRouterCheck(now);
}

void ConfigurationRollout::CompleteChanges(const RouterId& last, Instant now) {
  while (!changes_in_progress_.empty()) {
    const Change& change = changes_in_progress_.front();
    std::size_t routers = 0;
    for (const auto& [id, router] : routers_) {
      ++evaluations_;
      if (!IsReachable(router, now)) continue;
      if (router.version < change.version) return;
      ++routers;
    }
    Note("configuration_in_force", change, last,
         std::to_string(routers) + " routers, the last one " + InMs(now - change.committed) +
             " after commit");
    changes_in_progress_.pop_front();
  }
}

void ConfigurationRollout::ScheduleRouterCheck(Instant now) {
  router_check_due_ = changes_in_progress_.empty() ? Instant::max() : now + kBehindAfter;
}

Instant ConfigurationRollout::NextDue() const {
  Instant due = router_check_due_;
  const Instant discovery_end = start_ + kLeaderDiscoveryTime;
  if (!held_.empty())
    due = std::min(
        due, std::max(acknowledgement_check_due_, checked_at_ + kAcknowledgementCheckInterval));
  for (const Held& held : held_) {
    due = std::min(due, held.until);
    // This deadline must be scheduled, since without polls nothing else triggers a check.
    if (checked_at_ < discovery_end) due = std::min(due, discovery_end);
  }
  return due;
}

bool ConfigurationRollout::IsReachable(const Router& router, Instant now) const {
  return now - router.last_poll_at <= kReachableWithin;
}

bool ConfigurationRollout::IsBehind(const Router& router, Duration lag, Instant now) const {
  return std::any_of(changes_in_progress_.begin(), changes_in_progress_.end(),
                     [&](const Change& change) {
                       return change.version > router.version && now - change.committed >= lag;
                     });
}

void ConfigurationRollout::NoteBehind(const RouterId& id, Router& router, Instant now) {
  if (std::exchange(router.reported_behind, true)) return;
  const auto change =
      std::find_if(changes_in_progress_.begin(), changes_in_progress_.end(),
                   [&](const Change& open) { return open.version > router.version; });
  Note("router_behind", *change, id,
       "reported version " + std::to_string(router.version) + ", last poll " +
           InMs(now - router.last_poll_at) + " ago, committed " + InMs(now - change->committed) +
           " ago");
}

void ConfigurationRollout::Note(std::string_view what, const Change& change, RouterId router,
                                std::string inputs) {
  notes_.push_back(
      {what, change.configuration, change.version, std::move(router), std::move(inputs)});
}

}  // namespace graniteseam::control
