#include "src/gateway/back_pressure_table.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "graniteseam/common/duration_text.h"

namespace graniteseam::gateway {
namespace {

/// A limit is taken for this at least, in requests a second: its server must be asked now and then
/// to be heard of again.
constexpr double kLimitMinimum = 0.05;
/// A rest is taken for this at most, so that a mistaken one ends.
constexpr Duration kRestMaximum{600'000'000};
/// Part by which a limit must change to be told in the log.
constexpr double kWorthTelling = 0.25;

auto per_second(double limit) -> std::string {
  if (limit == 0) return "none";
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f a second", limit);
  return text;
}

}  // namespace

auto BackPressureTable::take(traffic::InstanceId const& instance, BackPressure const& pressure,
                             bool ran, Instant now) -> std::vector<BackPressureChange> {
  std::vector<BackPressureChange> changes;
  auto const states = pressure.limit_per_second || pressure.rest || pressure.leaving;
  if (!states && !m_words.contains(instance)) return changes;
  auto& word = m_words[instance];
  take_limit(word, pressure, ran, changes);
  if (pressure.rest) take_rest(word, *pressure.rest, now, changes);
  if (pressure.leaving && !word.leaving) {
    word.leaving = true;
    changes.push_back({"leaving", ""});
  }
  return changes;
}

auto BackPressureTable::take_limit(Word& word, BackPressure const& pressure, bool ran,
                                   std::vector<BackPressureChange>& changes) -> void {
  auto const silent = !pressure.limit_per_second;
  if (silent && (!ran || pressure.unreadable)) return;
  auto const before = word.limit_per_second;
  word.limit_per_second = silent ? 0 : std::max(kLimitMinimum, *pressure.limit_per_second);
  auto const change = std::abs(word.limit_per_second - before);
  if (change == 0 || (!silent && change <= kWorthTelling * before)) return;
  changes.push_back({silent ? "limit_ended" : "limit_named",
                     per_second(word.limit_per_second) + ", before " + per_second(before)});
}

auto BackPressureTable::take_rest(Word& word, Duration rest, Instant now,
                                  std::vector<BackPressureChange>& changes) -> void {
  if (now >= word.rests_until) changes.push_back({"rest_asked", "for " + InMs(rest)});
  word.rests_until = std::max(word.rests_until, now + std::min(rest, kRestMaximum));
}

auto BackPressureTable::limited() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(m_words.begin(), m_words.end(),
                    [](auto const& entry) { return entry.second.limit_per_second > 0; }));
}

}  // namespace graniteseam::gateway
