#include "src/control/configuration_rollout.h"

#include <algorithm>
#include <utility>

#include "graniteseam/common/duration_text.h"

namespace graniteseam::control {
namespace {

/// A router that has not told of a change for so long after its commit is noted as behind. Twice
/// the interval of polls.
constexpr Duration kBehindAfter{1'000'000};
/// A router that was not heard of for longer is not counted: it is gone, or cut off.
constexpr Duration kHeardWithin{2'000'000};
/// An acknowledgement waits for routers at most so long after the commit. Operators move on after a
/// second of silence, and a group that is short of processor time needs a part of it to commit.
constexpr Duration kAwaitedFor{500'000};
/// A router that was not heard of for longer is not waited for. Two polls and some time for one
/// that is late.
constexpr Duration kAwaitedIfHeardWithin{1'200'000};
/// By then a new leader has heard of the routers that are there: an interval of polls and a turn.
constexpr Duration kFoundWithin{500'000};
/// Changes that are followed at once; older ones are forgotten unnoted.
constexpr std::size_t kOpenMaximum = 64;
/// Routers that are remembered. A machine that comes under another name adds one.
constexpr std::size_t kRoutersMaximum = 16'384;
/// Routers that one look notes as behind; with hundreds of them the first tell as much as all.
constexpr int kNotedMaximum = 16;
/// While an acknowledgement waits: a router that was not heard of for long is not waited for.
constexpr Duration kLookInterval{50'000};
/// Of looking at one router.
constexpr Duration kTimePerLook{1};

}  // namespace

void ConfigurationRollout::Committed(traffic::ConfigurationVersion configuration,
                                     std::uint64_t version, Instant now) {
  if (open_.size() >= kOpenMaximum) open_.pop_front();
  newest_ = {configuration, version, now};
  open_.push_back(newest_);
  if (look_due_ == Instant::max()) PlanLook(now);
  Note("configuration_committed", open_.back(), {}, "");
}

void ConfigurationRollout::Hold(std::uint64_t request, std::uint64_t version) {
  const Instant committed = newest_.version == version ? newest_.committed : start_;
  held_.push_back({request, version, committed + kAwaitedFor});
}

std::vector<ConfigurationRollout::Due> ConfigurationRollout::TakeDue(Instant now) {
  std::vector<Due> due;
  if (held_.empty() || !LooksAgain(now)) return due;
  looked_at_ = now;
  std::erase_if(held_, [&](const Held& held) {
    const bool over = now >= held.until;
    if (!over && !MayLeave(held, now)) return false;
    if (over) GiveUp(held, now);
    NoteAcknowledged(held, now);
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

bool ConfigurationRollout::MayLeave(const Held& held, Instant now) const {
  if (now < start_ + kFoundWithin) return false;
  looks_ += routers_.size();
  return std::none_of(routers_.begin(), routers_.end(), [&](const auto& entry) {
    return IsAwaited(entry.second, held.version, now);
  });
}

bool ConfigurationRollout::IsAwaited(const Router& router, std::uint64_t version,
                                     Instant now) const {
  return router.awaited && router.version < version && now - router.heard <= kAwaitedIfHeardWithin;
}

bool ConfigurationRollout::LooksAgain(Instant now) {
  if (now < look_again_due_) return false;
  look_again_due_ = now + static_cast<std::int64_t>(routers_.size()) * kTimePerLook;
  return true;
}

void ConfigurationRollout::GiveUp(const Held& held, Instant now) {
  for (auto& [id, router] : routers_) {
    if (IsAwaited(router, held.version, now)) router.awaited = false;
  }
}

void ConfigurationRollout::NoteAcknowledged(const Held& held, Instant now) {
  const Instant committed = held.until - kAwaitedFor;
  const auto behind = std::count_if(routers_.begin(), routers_.end(), [&](const auto& entry) {
    return entry.second.version < held.version && IsHeard(entry.second, now);
  });
  Note("configuration_acknowledged", {newest_.configuration, held.version, committed}, {},
       InMs(now - committed) + " after commit, " + std::to_string(behind) + " routers behind");
}

void ConfigurationRollout::Heard(const RouterId& id, std::uint64_t version, Instant now) {
  if (routers_.size() >= kRoutersMaximum && !routers_.contains(id)) return;
  Router& router = routers_[id];
  const Duration silence = now - router.heard;
  router.heard = now;
  const std::uint64_t before = std::exchange(router.version, std::max(router.version, version));
  if (open_.empty() || router.version >= open_.back().version) router.awaited = true;
  if (router.told_behind && !IsBehind(router, now)) {
    router.told_behind = false;
    notes_.push_back(
        {"router_caught_up", {}, version, id, "not heard for " + InMs(silence) + " before"});
  }
  const bool reached =
      !open_.empty() && before < open_.front().version && router.version >= open_.front().version;
  if (reached) EndChanges(id, now);
}

void ConfigurationRollout::Look(Instant now) {
  if (now < look_due_) return;
  int noted = 0;
  looks_ += routers_.size();
  for (auto& [id, router] : routers_) {
    if (noted < kNotedMaximum && IsBehind(router, now)) {
      NoteBehind(id, router, now);
      ++noted;
    }
  }
  // A router that the last changes waited for may be gone.
  EndChanges({}, now);
  PlanLook(now);
}

void ConfigurationRollout::EndChanges(const RouterId& last, Instant now) {
  while (!open_.empty()) {
    const Change& change = open_.front();
    std::size_t routers = 0;
    for (const auto& [id, router] : routers_) {
      ++looks_;
      if (!IsHeard(router, now)) continue;
      if (router.version < change.version) return;
      ++routers;
    }
    Note("configuration_in_force", change, last,
         std::to_string(routers) + " routers, the last one " + InMs(now - change.committed) +
             " after commit");
    open_.pop_front();
  }
}

void ConfigurationRollout::PlanLook(Instant now) {
  look_due_ = open_.empty() ? Instant::max() : now + kBehindAfter;
}

Instant ConfigurationRollout::NextDue() const {
  Instant due = look_due_;
  const Instant found = start_ + kFoundWithin;
  if (!held_.empty()) due = std::min(due, std::max(look_again_due_, looked_at_ + kLookInterval));
  for (const Held& held : held_) {
    due = std::min(due, held.until);
    // Without word of any router nothing else wakes it.
    if (looked_at_ < found) due = std::min(due, found);
  }
  return due;
}

bool ConfigurationRollout::IsHeard(const Router& router, Instant now) const {
  return now - router.heard <= kHeardWithin;
}

bool ConfigurationRollout::IsBehind(const Router& router, Instant now) const {
  return std::any_of(open_.begin(), open_.end(), [&](const Change& change) {
    return change.version > router.version && now - change.committed >= kBehindAfter;
  });
}

void ConfigurationRollout::NoteBehind(const RouterId& id, Router& router, Instant now) {
  if (std::exchange(router.told_behind, true)) return;
  const auto change = std::find_if(open_.begin(), open_.end(), [&](const Change& open) {
    return open.version > router.version;
  });
  Note("router_behind", *change, id,
       "told version " + std::to_string(router.version) + ", heard " + InMs(now - router.heard) +
           " ago, committed " + InMs(now - change->committed) + " ago");
}

void ConfigurationRollout::Note(std::string_view what, const Change& change, RouterId router,
                                std::string inputs) {
  notes_.push_back(
      {what, change.configuration, change.version, std::move(router), std::move(inputs)});
}

}  // namespace graniteseam::control
