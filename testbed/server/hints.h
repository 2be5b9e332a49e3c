/// @file
/// What the health and load endpoints tell: late, and a lie when asked for.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>

#include "graniteseam/common/time.h"

namespace graniteseam::testbed {

/// One look at the server's state.
struct Hint {
  bool healthy = true;
  double load = 0.0;
  std::int64_t in_flight = 0;
};

/// Remembers looks and tells the one of `lag` ago. Thread safe.
class LaggingHints {
 public:
  explicit LaggingHints(Duration lag) : lag_(lag) {}

  /// Takes a look of now in, and returns the newest one that is at least `lag` old, else the
  /// oldest.
  Hint Exchange(const Hint& current, Instant now);

 private:
  struct Look {
    Instant taken;
    Hint hint;
  };

  const Duration lag_;
  std::mutex mutex_;  ///< Guards looks_.
  std::deque<Look> looks_;
};

}  // namespace graniteseam::testbed
