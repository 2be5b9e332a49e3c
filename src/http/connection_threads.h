/// @file
/// Threads for blocking work: one for each live connection, as cpp-httplib wants them.
#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace graniteseam::http {

/// Starts a thread when work comes and none is free, up to a maximum; later work waits. Threads
/// stay for the next work. Sized for connections and not for cores: a keep-alive connection holds
/// its thread while it waits, and a pool of a few threads would starve the other callers. Thread
/// safe.
class ConnectionThreads final : public httplib::TaskQueue {
 public:
  explicit ConnectionThreads(std::size_t threads_maximum) : maximum_(threads_maximum) {}
  ~ConnectionThreads() override;

  void enqueue(std::function<void()> work) override;
  /// Waits for all work and ends the threads.
  void shutdown() override;

 private:
  void Serve();

  const std::size_t maximum_;
  std::mutex mutex_;
  std::condition_variable wake_;
  // Guarded by mutex_:
  std::deque<std::function<void()>> waiting_;
  std::vector<std::thread> threads_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

}  // namespace graniteseam::http
