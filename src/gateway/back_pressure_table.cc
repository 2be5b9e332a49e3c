#include "src/gateway/back_pressure_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "graniteseam/common/duration_text.h"

namespace graniteseam::gateway {
namespace {

/// A limit is taken for this at least, in requests a second: its server must be asked now and then
/// to be heard of again.
constexpr double kLimitMinimum = 0.05;
/// A rest is taken for this at most, so that a mistaken one ends.
constexpr Duration kRestMaximum{600'000'000};
/// Added to a rest: the server's clock may be slower than this one's, and a request that was sent
/// before may be overtaken.
constexpr Duration kRestMargin{10'000};
/// Part by which a limit must change to be told in the log.
constexpr double kWorthTelling = 0.25;
/// For which a gateway's own token waits for a request.
constexpr Duration kOwnTokenKept{1'500'000};
/// For which a gateway goes by the leader's word that an instance's tokens are used up.
constexpr Duration kUsedUpLongest{250'000};

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

auto BackPressureTable::take(traffic::InstanceId const& instance, BackPressure const& pressure,
                             bool ran, Instant now) -> Changes {
  Changes changes;
  auto const states = pressure.limit_per_second || pressure.rest || pressure.leaving;
  if (!states && !m_entries.contains(instance)) return changes;
  auto& word = m_entries[instance];
  auto const silent = !pressure.limit_per_second;
  auto const speaks = !silent || (ran && !pressure.unreadable && word.limit_per_second > 0);
  if (speaks) {
    word.heard = now;
    word.unreported_limit = true;
    set_limit(instance, word, silent ? 0 : std::max(kLimitMinimum, *pressure.limit_per_second), now,
              changes);
  }
  if (pressure.rest) take_rest(instance, word, *pressure.rest, now, changes);
  if (pressure.leaving && !word.leaving_since) {
    word.leaving_since = now;
    changes.push_back({instance, "leaving", ""});
  }
  m_has_unreported_changes = m_has_unreported_changes || !changes.empty();
  return changes;
}

auto BackPressureTable::take(traffic::InstanceLimit const& limit, Instant now) -> Changes {
  Changes changes;
  auto const heard = now - std::chrono::milliseconds(limit.heard_ms_ago);
  auto const* const known = find(limit.instance);
  if (known == nullptr && limit.requests_per_second == 0) return changes;
  if (known != nullptr && heard <= known->heard) return changes;
  auto& word = m_entries[limit.instance];
  word.heard = heard;
  set_limit(limit.instance, word, limit.requests_per_second, now, changes);
  return changes;
}

auto BackPressureTable::set_limit(traffic::InstanceId const& instance, Entry& word, double limit,
                                  Instant now, Changes& changes) -> void {
  auto const before = std::exchange(word.limit_per_second, limit);
  if (before == 0) word.limited_since = now;
  auto const ends = limit == 0;
  auto const change = std::abs(limit - before);
  if (change == 0 || (!ends && change <= kWorthTelling * before)) return;
  changes.push_back({instance, ends ? "limit_ended" : "limit_named",
                     per_second(limit) + ", before " + per_second(before)});
}

auto BackPressureTable::take_rest(traffic::InstanceId const& instance, Entry& word, Duration rest,
                                  Instant now, Changes& changes) -> void {
  if (now >= word.back_off_until) changes.push_back({instance, "rest_asked", "for " + InMs(rest)});
  word.back_off_until =
      std::max(word.back_off_until, now + std::min(rest, kRestMaximum) + kRestMargin);
  word.unreported_rest = true;
}

auto BackPressureTable::add_to_poll(traffic::TrafficPoll& poll, Instant now) -> void {
  m_has_unreported_changes = false;
  for (auto& [instance, word] : m_entries) {
    if (std::exchange(word.unreported_limit, false)) poll.limits.push_back(limit_of(instance, now));
    if (!std::exchange(word.unreported_rest, false) || now >= word.back_off_until) continue;
    auto const left =
        std::chrono::duration_cast<std::chrono::milliseconds>(word.back_off_until - now);
    poll.rests.push_back({instance, left.count()});
  }
}

auto BackPressureTable::limit_of(traffic::InstanceId const& instance, Instant now) const
    -> traffic::InstanceLimit {
  auto const* const word = find(instance);
  if (word == nullptr) return {instance, 0, 0};
  auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(now - word->heard);
  return {instance, word->limit_per_second, age.count()};
}

auto BackPressureTable::back_off_until(traffic::InstanceId const& instance) const -> Instant {
  auto const* const word = find(instance);
  return word == nullptr ? Instant{} : word->back_off_until;
}

auto BackPressureTable::leaving_since(traffic::InstanceId const& instance) const
    -> std::optional<Instant> {
  auto const* const word = find(instance);
  return word == nullptr ? std::nullopt : word->leaving_since;
}

auto BackPressureTable::is_limited(traffic::InstanceId const& instance) const -> bool {
  auto const* const word = find(instance);
  return word != nullptr && word->limit_per_second > 0;
}

auto BackPressureTable::has_token(traffic::InstanceId const& instance) const -> bool {
  auto const* const word = find(instance);
  return word != nullptr && word->tokens > 0;
}

auto BackPressureTable::has_own_token(traffic::InstanceId const& instance, double part,
                                      Instant now) const -> bool {
  auto const* const word = find(instance);
  if (word == nullptr || word->limit_per_second == 0) return false;
  auto const rate = part * word->limit_per_second / std::max(1U, m_gateways);
  auto const spacing =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
  auto const hash = XXH3_64bits_withSeed(instance.value.data(), instance.value.size(), m_seed);
  auto const first =
      word->limited_since +
      Duration(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(spacing.count())));
  if (now < first) return false;
  auto const newest = first + (now - first) / spacing * spacing;
  return newest > word->sent && now - newest < kOwnTokenKept;
}

auto BackPressureTable::give_tokens(traffic::LimitTokenGrant const& grant, Instant now) -> void {
  auto const found = m_entries.find(grant.instance);
  if (found == m_entries.end()) return;
  auto& word = found->second;
  word.tokens = grant.requests;
  auto const wait =
      Duration(std::chrono::milliseconds(std::max<std::int64_t>(0, grant.retry_after_ms)));
  word.used_up_until = now + std::min(wait, kUsedUpLongest);
}

auto BackPressureTable::drop_tokens(traffic::InstanceId const& instance) -> void {
  auto const found = m_entries.find(instance);
  if (found != m_entries.end()) found->second.tokens = 0;
}

auto BackPressureTable::is_exhausted(traffic::InstanceId const& instance, Instant now) const
    -> bool {
  auto const* const word = find(instance);
  return word != nullptr && now < word->used_up_until;
}

auto BackPressureTable::note_sent(traffic::InstanceId const& instance, Instant now) -> void {
  auto const found = m_entries.find(instance);
  if (found == m_entries.end() || found->second.limit_per_second == 0) return;
  auto& word = found->second;
  if (word.tokens > 0) {
    --word.tokens;
  } else {
    word.sent = now;
  }
}

auto BackPressureTable::limited() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(m_entries.begin(), m_entries.end(),
                    [](auto const& entry) { return entry.second.limit_per_second > 0; }));
}

}  // namespace graniteseam::gateway
