#include "src/control/instance_limits.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "graniteseam/common/duration_text.h"

namespace graniteseam::control {
namespace {

/// Tokens that may gather while nobody asks: one, and what comes in this time.
constexpr double kBurstSeconds = 0.5;
/// Part by which a limit must change to be told to all routers.
constexpr double kWorthTelling = 0.25;
/// A word that no router tells of or asks about for longer is forgotten.
constexpr Duration kForgotten{60'000'000};
constexpr double kMillis = 1'000;
/// A shorter rest is over before moved keys would be served again.
constexpr Duration kRestWorthMoving{1'000'000};
/// How long an instance owns nothing after its rest. A server that sheds load goes on for some
/// seconds, and nobody who does not ask it hears of the end.
constexpr Duration kPauseMinimum{2'000'000};
constexpr Duration kPauseMaximum{16'000'000};
/// Within this after its pause a further rest is taken for the same trouble.
constexpr Duration kSameTrouble{10'000'000};

}  // namespace

void InstanceLimits::Take(const traffic::InstanceLimit& limit, Instant now) {
  const Instant heard =
      now - std::chrono::milliseconds(std::max<std::int64_t>(0, limit.heard_ms_ago));
  const auto [found, fresh] = words_.try_emplace(limit.instance);
  Word& word = found->second;
  word.used = now;
  if (!fresh && heard <= word.heard) return;
  if (fresh || word.limit == 0) word.filled = now;
  Fill(word, now);
  word.heard = heard;
  word.limit = std::max(0.0, limit.requests_per_second);
}

void InstanceLimits::Fill(Word& word, Instant now) {
  const double come = word.limit * ToSeconds(now - word.filled);
  word.filled = now;
  word.tokens = std::min(word.tokens + come, 1 + kBurstSeconds * word.limit);
}

traffic::LimitTokenGrant InstanceLimits::TakeTokens(const traffic::LimitTokenRequest& request,
                                                    Instant now) {
  Take(request.limit, now);
  Word& word = words_.at(request.limit.instance);
  traffic::LimitTokenGrant grant;
  grant.instance = request.limit.instance;
  grant.requests = request.requests;
  if (word.limit == 0) return grant;
  Fill(word, now);
  grant.requests = std::min(request.requests, static_cast<std::uint32_t>(word.tokens));
  word.tokens -= grant.requests;
  if (grant.requests == request.requests) return grant;
  const double missing = std::max(0.0, 1.0 - word.tokens);
  grant.retry_after_ms = 1 + static_cast<std::int64_t>(kMillis * missing / word.limit);
  return grant;
}

void InstanceLimits::Take(const traffic::InstanceRest& told, Instant now) {
  const Duration left = std::chrono::milliseconds(told.left_ms);
  if (left < kRestWorthMoving) return;
  std::erase_if(rests_,
                [&](const auto& entry) { return now > entry.second.avoid_until + kSameTrouble; });
  const auto [found, fresh] = rests_.try_emplace(told.instance);
  Rest& rest = found->second;
  if (fresh) {
    rest.pause = kPauseMinimum;
  } else if (now >= rest.avoid_until) {
    rest.pause = std::min(2 * rest.pause, kPauseMaximum);
  }
  rest.avoid_until = std::max(rest.avoid_until, now + left + rest.pause);
}

bool InstanceLimits::Rests(const traffic::InstanceId& instance, Instant now) const {
  const auto found = rests_.find(instance);
  return found != rests_.end() && now < found->second.avoid_until;
}

std::optional<double> InstanceLimits::LimitOf(const traffic::InstanceId& instance) const {
  const auto found = words_.find(instance);
  const bool limited = found != words_.end() && found->second.limit > 0;
  return limited ? std::optional(found->second.limit) : std::nullopt;
}

std::vector<traffic::InstanceLimit> InstanceLimits::TakeChanges(Instant now) {
  std::erase_if(words_, [&](const auto& entry) { return now - entry.second.used > kForgotten; });
  std::vector<traffic::InstanceLimit> changes;
  for (auto& [instance, word] : words_) {
    const bool begins_or_ends = (word.limit == 0) != (word.told == 0);
    const bool changed = std::abs(word.limit - word.told) > kWorthTelling * word.told;
    if (!begins_or_ends && !changed) continue;
    word.told = word.limit;
    changes.push_back(ToMessage(instance, word, now));
  }
  return changes;
}

std::vector<traffic::InstanceLimit> InstanceLimits::All(Instant now) const {
  std::vector<traffic::InstanceLimit> all;
  for (const auto& [instance, word] : words_) {
    if (word.limit > 0) all.push_back(ToMessage(instance, word, now));
  }
  return all;
}

traffic::InstanceLimit InstanceLimits::ToMessage(const traffic::InstanceId& instance,
                                                 const Word& word, Instant now) {
  const auto ago = std::chrono::duration_cast<std::chrono::milliseconds>(now - word.heard);
  return {instance, word.limit, std::max<std::int64_t>(0, ago.count())};
}

}  // namespace graniteseam::control
