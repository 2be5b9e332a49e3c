#include "src/gateway/back_pressure_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "graniteseam/common/duration_text.h"

namespace graniteseam::gateway {
namespace {

/// Lower bound of a limit, in requests per second: the server must be sent a request now
/// and then, since only answers update its limit.
constexpr double kLimitMinimum = 0.05;
/// Upper bound of a back-off period, so that a mistaken one ends.
constexpr Duration kBackOffMaximum{600'000'000};
/// Added to a back-off period: the server's clock may be slower than this one's, and a new
/// request may overtake one sent earlier.
constexpr Duration kBackOffMargin{10'000};
/// Relative change of a limit from which on the change is logged.
constexpr double kLoggedChange = 0.25;
/// How long one of this gateway's own tokens stays valid if no request uses it.
constexpr Duration kOwnTokenLifetime{1'500'000};
/// Upper bound of the period for which the gateway relies on the leader's report that an instance's
/// tokens are used up.
constexpr Duration kExhaustedMaximum{250'000};
/// How long reports on an unlisted instance are kept: longer than a server goes on after its
/// heartbeats have ended.
constexpr Duration kUnlistedRetention{std::chrono::hours(1)};

auto per_second(double limit) -> std::string {
  if (limit == 0) return "none";
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f a second", limit);
  return text;
}

}  // namespace

auto BackPressureTable::find(traffic::InstanceId const& instance) const -> Entry const* {
  auto const found = m_entries.find(instance);
  return found == m_entries.end() ? nullptr : &found->second;
}

auto BackPressureTable::note_listed(traffic::InstanceId const& instance) -> void {
  auto const found = m_entries.find(instance);
  if (found != m_entries.end()) found->second.unlisted_since.reset();
}

auto BackPressureTable::note_unlisted(traffic::InstanceId const& instance, Instant now) -> void {
  auto const found = m_entries.find(instance);
  if (found != m_entries.end() && !found->second.unlisted_since) found->second.unlisted_since = now;
  std::erase_if(m_entries, [now](auto const& it) {
    auto const& since = it.second.unlisted_since;
    return since && now - *since > kUnlistedRetention;
  });
}

auto BackPressureTable::apply(traffic::InstanceId const& instance, BackPressure const& pressure,
                              bool ran, Instant now) -> Changes {
  Changes changes;
  auto const states = pressure.limit_per_second || pressure.rest || pressure.leaving;
  if (!states && !m_entries.contains(instance)) return changes;
  auto& entry = m_entries[instance];
  auto const names_no_limit = !pressure.limit_per_second;
  auto const updates_limit =
      !names_no_limit || (ran && !pressure.unreadable && entry.limit_per_second > 0);
  if (updates_limit) {
    entry.reported_at = now;
    entry.unreported_limit = true;
    set_limit(instance, entry,
              names_no_limit ? 0 : std::max(kLimitMinimum, *pressure.limit_per_second), now,
              changes);
  }
  if (pressure.rest) apply_back_off(instance, entry, *pressure.rest, now, changes);
  if (pressure.leaving && !entry.leaving_since) {
    entry.leaving_since = now;
    changes.push_back({instance, "leaving", ""});
  }
  m_has_unreported_changes = m_has_unreported_changes || !changes.empty();
  return changes;
}

auto BackPressureTable::apply(traffic::InstanceLimit const& limit, Instant now) -> Changes {
  Changes changes;
  auto const reported_at = now - std::chrono::milliseconds(limit.heard_ms_ago);
  auto const* const known = find(limit.instance);
  if (known == nullptr && limit.requests_per_second == 0) return changes;
  if (known != nullptr && reported_at <= known->reported_at) return changes;
  auto& entry = m_entries[limit.instance];
  entry.reported_at = reported_at;
  set_limit(limit.instance, entry, limit.requests_per_second, now, changes);
  return changes;
}

auto BackPressureTable::set_limit(traffic::InstanceId const& instance, Entry& entry, double limit,
                                  Instant now, Changes& changes) -> void {
  auto const before = std::exchange(entry.limit_per_second, limit);
  if (before == 0) entry.limited_since = now;
  auto const ends = limit == 0;
  auto const change = std::abs(limit - before);
  if (change == 0 || (!ends && change <= kLoggedChange * before)) return;
  changes.push_back({instance, ends ? "limit_ended" : "limit_named",
                     per_second(limit) + ", before " + per_second(before)});
}

auto BackPressureTable::apply_back_off(traffic::InstanceId const& instance, Entry& entry,
                                       Duration rest, Instant now, Changes& changes) -> void {
  if (now >= entry.back_off_until) changes.push_back({instance, "rest_asked", "for " + InMs(rest)});
  entry.back_off_until =
      std::max(entry.back_off_until, now + std::min(rest, kBackOffMaximum) + kBackOffMargin);
  entry.unreported_rest = true;
}

auto BackPressureTable::add_to_poll(traffic::TrafficPoll& poll, Instant now) -> void {
  m_has_unreported_changes = false;
  for (auto& [instance, entry] : m_entries) {
    if (std::exchange(entry.unreported_limit, false))
      poll.limits.push_back(limit_of(instance, now));
    if (!std::exchange(entry.unreported_rest, false) || now >= entry.back_off_until) continue;
    auto const left =
        std::chrono::duration_cast<std::chrono::milliseconds>(entry.back_off_until - now);
    poll.rests.push_back({instance, left.count()});
  }
}

auto BackPressureTable::limit_of(traffic::InstanceId const& instance, Instant now) const
    -> traffic::InstanceLimit {
  auto const* const entry = find(instance);
  if (entry == nullptr) return {instance, 0, 0};
  auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry->reported_at);
  return {instance, entry->limit_per_second, age.count()};
}

auto BackPressureTable::back_off_until(traffic::InstanceId const& instance) const -> Instant {
  auto const* const entry = find(instance);
  return entry == nullptr ? Instant{} : entry->back_off_until;
}

auto BackPressureTable::leaving_since(traffic::InstanceId const& instance) const
    -> std::optional<Instant> {
  auto const* const entry = find(instance);
  return entry == nullptr ? std::nullopt : entry->leaving_since;
}

auto BackPressureTable::leaving() const -> std::vector<traffic::InstanceId> {
  std::vector<traffic::InstanceId> leaving;
  for (auto const& [instance, entry] : m_entries) {
    if (entry.leaving_since && !entry.unlisted_since) leaving.push_back(instance);
  }
  return leaving;
}

auto BackPressureTable::is_limited(traffic::InstanceId const& instance) const -> bool {
  auto const* const entry = find(instance);
  return entry != nullptr && entry->limit_per_second > 0;
}

auto BackPressureTable::has_token(traffic::InstanceId const& instance) const -> bool {
  auto const* const entry = find(instance);
  return entry != nullptr && entry->tokens > 0;
}

auto BackPressureTable::has_own_token(traffic::InstanceId const& instance, double part,
                                      Instant now) const -> bool {
  auto const* const entry = find(instance);
  if (entry == nullptr || entry->limit_per_second == 0) return false;
  auto const rate = part * entry->limit_per_second / std::max(1U, m_gateways);
  auto const spacing =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
  auto const hash = XXH3_64bits_withSeed(instance.value.data(), instance.value.size(), m_seed);
  auto const first =
      entry->limited_since +
      Duration(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(spacing.count())));
  if (now < first) return false;
  auto const newest = first + (now - first) / spacing * spacing;
  return newest > entry->last_own_sent && now - newest < kOwnTokenLifetime;
}

auto BackPressureTable::give_tokens(traffic::LimitTokenGrant const& grant, Instant now) -> void {
  auto& entry = m_entries[grant.instance];
  entry.tokens = grant.requests;
  auto const wait =
      Duration(std::chrono::milliseconds(std::max<std::int64_t>(0, grant.retry_after_ms)));
  entry.exhausted_until = now + std::min(wait, kExhaustedMaximum);
}

auto BackPressureTable::drop_tokens(traffic::InstanceId const& instance) -> void {
  auto const found = m_entries.find(instance);
  if (found != m_entries.end()) found->second.tokens = 0;
}

auto BackPressureTable::is_exhausted(traffic::InstanceId const& instance, Instant now) const
    -> bool {
  auto const* const entry = find(instance);
  return entry != nullptr && now < entry->exhausted_until;
}

auto BackPressureTable::note_sent(traffic::InstanceId const& instance, Instant now) -> void {
  auto const found = m_entries.find(instance);
  if (found == m_entries.end()) return;
  auto& entry = found->second;
  if (entry.tokens > 0) {
    --entry.tokens;
  } else if (entry.limit_per_second > 0) {
    entry.last_own_sent = now;
  }
}

auto BackPressureTable::limited() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(m_entries.begin(), m_entries.end(), [](auto const& entry) {
        return entry.second.limit_per_second > 0 && !entry.second.unlisted_since;
      }));
}

}  // namespace graniteseam::gateway
