#include "src/control/instance_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "graniteseam/common/duration_text.h"

namespace graniteseam::control {
namespace {

/// Token bucket size: one token, plus the tokens of this time.
constexpr double kBurstSeconds = 0.5;
/// Relative change of a limit that is published to all routers.
constexpr double kPublishedChange = 0.25;
/// A limit that no router reports or requests tokens for is dropped after this time.
constexpr Duration kRetention{60'000'000};
constexpr double kMillis = 1'000;
/// A shorter back-off ends before moved keys would be served again.
constexpr Duration kBackoffMinimum{1'000'000};
/// Time after the back-off in which an instance owns no keys. A server usually sheds load for
/// several seconds, and only those that send it requests notice the end.
constexpr Duration kPauseMinimum{2'000'000};
constexpr Duration kPauseMaximum{16'000'000};
/// A further back-off within this time after the pause counts as the same incident.
constexpr Duration kSameIncidentWithin{10'000'000};

}  // namespace

void InstanceLimits::Take(const traffic::InstanceLimit& limit, Instant now) {
  const Instant observed_at =
      now - std::chrono::milliseconds(std::max<std::int64_t>(0, limit.heard_ms_ago));
  const auto [found, fresh] = limits_.try_emplace(limit.instance);
  LimitState& state = found->second;
  state.last_used = now;
  if (!fresh && observed_at <= state.observed_at) return;
  if (fresh || state.limit == 0) state.refilled_at = now;
  RefillTokens(state, now);
  state.observed_at = observed_at;
  state.limit = std::max(0.0, limit.requests_per_second);
}

void InstanceLimits::RefillTokens(LimitState& state, Instant now) {
  const double refill = state.limit * ToSeconds(now - state.refilled_at);
  state.refilled_at = now;
  state.tokens = std::min(state.tokens + refill, 1 + kBurstSeconds * state.limit);
}

traffic::LimitTokenGrant InstanceLimits::TakeTokens(const traffic::LimitTokenRequest& request,
                                                    Instant now) {
  Take(request.limit, now);
  LimitState& state = limits_.at(request.limit.instance);
  traffic::LimitTokenGrant grant;
  grant.instance = request.limit.instance;
  grant.requests = request.requests;
  if (state.limit == 0) return grant;
  RefillTokens(state, now);
  grant.requests = std::min(request.requests, static_cast<std::uint32_t>(state.tokens));
  state.tokens -= grant.requests;
  if (grant.requests == request.requests) return grant;
  const double missing = std::max(0.0, 1.0 - state.tokens);
  grant.retry_after_ms = 1 + static_cast<std::int64_t>(kMillis * missing / state.limit);
  return grant;
}

void InstanceLimits::Take(const traffic::InstanceRest& report, Instant now) {
  const Duration left = std::chrono::milliseconds(report.left_ms);
  if (left < kBackoffMinimum) return;
  std::erase_if(backoffs_, [&](const auto& entry) {
    return now > entry.second.avoid_until + kSameIncidentWithin;
  });
  const auto [found, fresh] = backoffs_.try_emplace(report.instance);
  Backoff& backoff = found->second;
  if (fresh) {
    backoff.pause = kPauseMinimum;
  } else if (now >= backoff.avoid_until) {
    backoff.pause = std::min(2 * backoff.pause, kPauseMaximum);
  }
  backoff.avoid_until = std::max(backoff.avoid_until, now + left + backoff.pause);
}

bool InstanceLimits::IsBackingOff(const traffic::InstanceId& instance, Instant now) const {
  const auto found = backoffs_.find(instance);
  return found != backoffs_.end() && now < found->second.avoid_until;
}

std::optional<double> InstanceLimits::LimitOf(const traffic::InstanceId& instance) const {
  const auto found = limits_.find(instance);
  const bool limited = found != limits_.end() && found->second.limit > 0;
  return limited ? std::optional(found->second.limit) : std::nullopt;
}

void InstanceLimits::DropUnused(Instant now) {
  std::erase_if(limits_,
                [&](const auto& entry) { return now - entry.second.last_used > kRetention; });
}

std::vector<traffic::InstanceLimit> InstanceLimits::TakeChanges(Instant now) {
  DropUnused(now);
  std::vector<traffic::InstanceLimit> changes;
  for (auto& [instance, state] : limits_) {
    const bool begins_or_ends = (state.limit == 0) != (state.published == 0);
    const bool changed =
        std::abs(state.limit - state.published) > kPublishedChange * state.published;
    if (!begins_or_ends && !changed) continue;
    state.published = state.limit;
    changes.push_back(ToMessage(instance, state, now));
  }
  return changes;
}

std::vector<traffic::InstanceLimit> InstanceLimits::All(Instant now) const {
  std::vector<traffic::InstanceLimit> all;
  for (const auto& [instance, state] : limits_) {
    if (state.limit > 0) all.push_back(ToMessage(instance, state, now));
  }
  return all;
}

traffic::InstanceLimit InstanceLimits::ToMessage(const traffic::InstanceId& instance,
                                                 const LimitState& state, Instant now) {
  const auto ago = std::chrono::duration_cast<std::chrono::milliseconds>(now - state.observed_at);
  return {instance, state.limit, std::max<std::int64_t>(0, ago.count())};
}

}  // namespace graniteseam::control
