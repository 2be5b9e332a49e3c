/// @file
/// Orderly stop: SIGTERM and SIGINT as an event that a program's main thread waits for.
#pragma once

#include "graniteseam/common/time.h"

namespace graniteseam::platform {

/// Takes SIGTERM and SIGINT for the whole process and ignores SIGPIPE.
///
/// Lifecycle: construct one at the start of main(), before any thread, since threads inherit the
/// signal mask. RequestStop() may be called from any thread; the rest from the main thread.
class StopSignals {
 public:
  StopSignals();
  ~StopSignals();
  StopSignals(const StopSignals&) = delete;
  StopSignals& operator=(const StopSignals&) = delete;

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
  bool stop_asked_ = false;
};

}  // namespace graniteseam::platform
