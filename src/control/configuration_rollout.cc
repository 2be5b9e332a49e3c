#include "src/control/configuration_rollout.h"

#include <algorithm>

namespace graniteseam::control {
namespace {

/// A router that has not told of a change for so long after its commit is noted as behind. Twice
/// the interval of polls.
constexpr Duration kBehindAfter{1'000'000};
/// A router that was not heard of for longer is not counted: it is gone, or cut off.
constexpr Duration kHeardWithin{2'000'000};
/// Changes that are followed at once; older ones are forgotten unnoted.
constexpr std::size_t kOpenMaximum = 64;
/// Routers that are remembered. A machine that comes under another name adds one.
constexpr std::size_t kRoutersMaximum = 4'096;

std::string InMs(Duration span) { return std::to_string(span.count() / 1000) + " ms"; }

}  // namespace

void ConfigurationRollout::Committed(traffic::ConfigurationVersion configuration,
                                     std::uint64_t version, Instant now) {
  if (open_.size() >= kOpenMaximum) open_.pop_front();
  open_.push_back({configuration, version, now});
  if (look_due_ == Instant::max()) PlanLook(now);
  Note("configuration_committed", open_.back(), {}, "");
}

void ConfigurationRollout::Acknowledged(std::uint64_t version, Instant now) {
  const auto change = std::find_if(open_.begin(), open_.end(),
                                   [&](const Change& open) { return open.version == version; });
  if (change == open_.end()) return;
  Note("configuration_acknowledged", *change, {}, InMs(now - change->committed) + " after commit");
}

void ConfigurationRollout::Heard(const RouterId& id, std::uint64_t version, Instant now) {
  if (routers_.size() >= kRoutersMaximum && !routers_.contains(id)) return;
  Router& router = routers_[id];
  const Duration silence = now - router.heard;
  router.heard = now;
  router.version = std::max(router.version, version);
  if (router.told_behind && !IsBehind(router, now)) {
    router.told_behind = false;
    notes_.push_back(
        {"router_caught_up", {}, version, id, "heard before " + InMs(silence) + " ago"});
  }
  EndChanges(id, now);
}

void ConfigurationRollout::EndChanges(const RouterId& last, Instant now) {
  while (!open_.empty()) {
    const Change& change = open_.front();
    std::size_t routers = 0;
    for (const auto& [id, router] : routers_) {
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

bool ConfigurationRollout::IsHeard(const Router& router, Instant now) const {
  return now - router.heard <= kHeardWithin;
}

bool ConfigurationRollout::IsBehind(const Router& router, Instant now) const {
  return std::any_of(open_.begin(), open_.end(), [&](const Change& change) {
    return change.version > router.version && now - change.committed >= kBehindAfter;
  });
}

void ConfigurationRollout::NoteBehind(const RouterId& id, Router& router, std::uint64_t sent,
                                      Instant now) {
  if (std::exchange(router.told_behind, true)) return;
  const auto change = std::find_if(open_.begin(), open_.end(), [&](const Change& open) {
    return open.version > router.version;
  });
  Note("router_behind", *change, id,
       "told version " + std::to_string(router.version) + ", sent version " + std::to_string(sent) +
           ", heard " + InMs(now - router.heard) + " ago, committed " +
           InMs(now - change->committed) + " ago");
}

void ConfigurationRollout::Note(std::string_view what, const Change& change, RouterId router,
                                std::string inputs) {
  notes_.push_back(
      {what, change.configuration, change.version, std::move(router), std::move(inputs)});
}

}  // namespace graniteseam::control
