/// @file
/// The few slots of a server and the queue before them.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>

#include "graniteseam/common/time.h"

namespace graniteseam::testbed {

/// Bounds what runs at once and what may wait. Thread safe.
class Slots {
 public:
  enum class Answer { kAcquired, kShed, kDeadlinePassed, kCancelled };

  Slots(std::int64_t slots, std::int64_t queue) : slots_(slots), queue_(queue) {}

  /// Waits for a slot until `deadline`; asks `cancelled` about ten times in 100 ms meanwhile.
  Answer Acquire(Instant deadline, const std::function<bool()>& cancelled);
  void Release();

  /// Requests that run or wait.
  std::int64_t Busy() const;
  /// 0 idle, 1 all slots taken and the queue full.
  double Load() const;

 private:
  const std::int64_t slots_;
  const std::int64_t queue_;
  mutable std::mutex mutex_;  ///< Guards running_ and waiting_.
  std::condition_variable freed_;
  std::int64_t running_ = 0;
  std::int64_t waiting_ = 0;
};

/// Releases a slot when it goes out of scope.
class SlotHold {
 public:
  explicit SlotHold(Slots& slots) : slots_(slots) {}
  ~SlotHold() { slots_.Release(); }
  SlotHold(const SlotHold&) = delete;
  SlotHold& operator=(const SlotHold&) = delete;

 private:
  Slots& slots_;
};

}  // namespace graniteseam::testbed
