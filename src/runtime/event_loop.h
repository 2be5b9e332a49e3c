/// @file
/// One thread that runs all connections of a process.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace graniteseam::runtime {

/// Runs an io_context on one thread of its own. What runs on it needs no locks against each other.
///
/// Lifecycle: runs from construction to Stop() or destruction; Stop() is called before the objects
/// that have work on the loop are destroyed.
class EventLoop {
 public:
  EventLoop() : work_(context_.get_executor()), thread_([this] { context_.run(); }) {}
  ~EventLoop() { Stop(); }
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  boost::asio::io_context& context() { return context_; }

  /// Lets the handler that runs finish, drops the others and joins the thread.
  void Stop() {
    work_.reset();
    context_.stop();
    if (thread_.joinable()) thread_.join();
  }

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace graniteseam::runtime
