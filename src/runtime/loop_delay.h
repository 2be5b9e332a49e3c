/// @file
/// Measures how late an event loop runs what is due.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "graniteseam/common/time.h"

namespace graniteseam::runtime {

/// The delays of a periodic timer: from when it is due until it runs. Not thread safe; `now` must
/// not decrease.
class DelayRecord {
 public:
  /// longest() covers one to two of these.
  static constexpr Duration kWindow{500'000};

  /// Records when the timer is due next.
  auto note_due(Instant due) -> void { m_due = due; }
  /// Records that the timer runs.
  /// @return its delay.
  auto note_run(Instant now) -> Duration;

  /// How long the timer has been due without having run; zero while it is not due.
  auto current(Instant now) const -> Duration;
  /// The longest delay of the last moments, the current one included.
  auto longest(Instant now) const -> Duration;

 private:
  Instant m_due = Instant::max();
  Instant m_window_begun{};
  Duration m_longest{};         ///< In the present window.
  Duration m_longest_before{};  ///< In the window before.
};

/// Measures an event loop by a timer that runs on it.
///
/// Lifecycle: start() once, on the loop's thread; the loop has stopped before the meter is
/// destroyed. Everything runs on the loop's thread. Time is CLOCK_BOOTTIME, so that a suspension of
/// the machine counts as a delay.
class LoopDelayMeter {
 public:
  /// Called at each run of the timer, with its delay.
  using Handler = std::function<void(Duration delay)>;

  explicit LoopDelayMeter(boost::asio::io_context& context) : m_timer(context) {}

  auto start(Handler handler) -> void;
  auto record() const -> DelayRecord const& { return m_record; }

 private:
  auto arm() -> void;

  boost::asio::steady_timer m_timer;
  Handler m_handler;
  DelayRecord m_record;
};

}  // namespace graniteseam::runtime
