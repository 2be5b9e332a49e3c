/// @file
/// Collects what handlers deliver on other threads.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace graniteseam::test {

template <class T>
class Mailbox {
 public:
  void Put(T item) {
    const std::lock_guard lock(mutex_);
    items_.push_back(std::move(item));
    arrived_.notify_all();
  }
  /// Waits for `count` items, with a limit that only a defect reaches.
  bool WaitFor(std::size_t count) {
    std::unique_lock lock(mutex_);
    return arrived_.wait_for(lock, std::chrono::seconds(60),
                             [&] { return items_.size() >= count; });
  }
  std::vector<T> items() {
    const std::lock_guard lock(mutex_);
    return items_;
  }

 private:
  std::mutex mutex_;  ///< Guards items_.
  std::condition_variable arrived_;
  std::vector<T> items_;
};

}  // namespace graniteseam::test
