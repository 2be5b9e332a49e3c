#include "src/runtime/loop_delay.h"

#include <algorithm>
#include <utility>

#include "src/runtime/clock.h"

namespace graniteseam::runtime {
namespace {

/// A shorter interval misses less of a delay that begins between two runs.
constexpr Duration kInterval{25'000};

}  // namespace

auto DelayRecord::note_run(Instant now) -> Duration {
  auto const delay = current(now);
  if (now - m_window_begun >= kWindow) {
    auto const follows = now - m_window_begun < 2 * kWindow;
    m_longest_before = follows ? m_longest : Duration{};
    m_longest = {};
    m_window_begun = now;
  }
  m_longest = std::max(m_longest, delay);
  return delay;
}

auto DelayRecord::current(Instant now) const -> Duration {
  return m_due < now ? now - m_due : Duration{};
}

auto DelayRecord::longest(Instant now) const -> Duration {
  return std::max({current(now), m_longest, m_longest_before});
}

auto LoopDelayMeter::start(Handler handler) -> void {
  m_handler = std::move(handler);
  arm();
}

auto LoopDelayMeter::arm() -> void {
  m_record.note_due(BootTimeNow() + kInterval);
  m_timer.expires_after(kInterval);
  m_timer.async_wait([this](auto error) {
    if (error) return;
    auto const delay = m_record.note_run(BootTimeNow());
    // Armed first: what the handler takes is part of the next delay.
    arm();
    m_handler(delay);
  });
}

}  // namespace graniteseam::runtime
