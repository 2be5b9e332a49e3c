#include "src/http/connection_threads.h"

#include <utility>

namespace graniteseam::http {

ConnectionThreads::~ConnectionThreads() { shutdown(); }

void ConnectionThreads::enqueue(std::function<void()> work) {
  const std::lock_guard lock(mutex_);
  waiting_.push_back(std::move(work));
  if (waiting_.size() > idle_ && threads_.size() < maximum_) {
    threads_.emplace_back([this] { Serve(); });
  }
  wake_.notify_one();
}

void ConnectionThreads::shutdown() {
  std::vector<std::thread> threads;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    threads.swap(threads_);
  }
  wake_.notify_all();
  for (std::thread& thread : threads) thread.join();
}

void ConnectionThreads::Serve() {
  std::unique_lock lock(mutex_);
  for (;;) {
    ++idle_;
    wake_.wait(lock, [&] { return stopping_ || !waiting_.empty(); });
    --idle_;
    if (waiting_.empty()) return;
    const std::function<void()> work = std::move(waiting_.front());
    waiting_.pop_front();
    lock.unlock();
    work();
    lock.lock();
  }
}

}  // namespace graniteseam::http
