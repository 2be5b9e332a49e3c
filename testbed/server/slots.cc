#include "testbed/server/slots.h"

#include "src/runtime/clock.h"

namespace graniteseam::testbed {

namespace {

constexpr auto kCancelCheckPeriod = std::chrono::milliseconds(10);

}  // namespace

Slots::Answer Slots::Acquire(Instant deadline, const std::function<bool()>& cancelled) {
  std::unique_lock lock(mutex_);
  if (running_ < slots_) {
    ++running_;
    return Answer::kAcquired;
  }
  if (waiting_ >= queue_) return Answer::kShed;
  ++waiting_;
  auto answer = Answer::kAcquired;
  while (running_ >= slots_) {
    freed_.wait_for(lock, kCancelCheckPeriod);
    if (runtime::BootTimeNow() >= deadline) {
      answer = Answer::kDeadlinePassed;
      break;
    }
    if (cancelled()) {
      answer = Answer::kCancelled;
      break;
    }
  }
  --waiting_;
  if (answer == Answer::kAcquired) ++running_;
  return answer;
}

void Slots::Release() {
  {
    const std::lock_guard lock(mutex_);
    --running_;
  }
  freed_.notify_one();
}

std::int64_t Slots::Busy() const {
  const std::lock_guard lock(mutex_);
  return running_ + waiting_;
}

double Slots::Load() const {
  const std::lock_guard lock(mutex_);
  return static_cast<double>(running_ + waiting_) / static_cast<double>(slots_ + queue_);
}

}  // namespace graniteseam::testbed
