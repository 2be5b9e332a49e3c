/// @file
/// Orderly stop and reload: SIGTERM, SIGINT and SIGHUP as events that a program's main thread waits
/// for.
#pragma once

#include <functional>
#include <utility>

#include "graniteseam/common/time.h"

namespace graniteseam::runtime {

/// Takes SIGTERM, SIGINT and SIGHUP for the whole process and ignores SIGPIPE.
///
/// Lifecycle: construct one at the start of main(), before any thread, since threads inherit the
/// signal mask. RequestStop() may be called from any thread; the rest from the main thread.
class StopSignals {
 public:
  StopSignals();
  ~StopSignals();
  StopSignals(const StopSignals&) = delete;
  StopSignals& operator=(const StopSignals&) = delete;

  /// What SIGHUP does; it runs in Wait() or WaitFor(). Without it SIGHUP is ignored.
  void OnReload(std::function<void()> handler) { reload_ = std::move(handler); }

  /// Waits until a stop was asked for, by signal or by RequestStop().
  void Wait();

  /// Waits at most `limit`.
  /// @return whether a stop was asked for.
  bool WaitFor(Duration limit);

  /// Asks for a stop from inside the program, for example after a storage error.
  void RequestStop();

 private:
  int signal_descriptor_ = -1;
  int request_descriptor_ = -1;
  void TakeSignal();

  std::function<void()> reload_;
  bool stop_asked_ = false;
};

}  // namespace graniteseam::runtime
