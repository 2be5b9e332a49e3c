/// @file
/// One process of a fleet.
#pragma once

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"

namespace graniteseam::testbed {

/// What to run and where its output goes.
struct Command {
  std::vector<std::string> words;                  ///< Path of the program, then its arguments.
  std::map<std::string, std::string> environment;  ///< Added to the runner's own.
  std::string log;                                 ///< File that output and errors are added to.
};

/// A process that was started here and is ended by its id alone. It dies with the thread that
/// started it, so that a runner which is killed leaves nothing running. Not thread safe.
class ChildProcess {
 public:
  static Result<ChildProcess> Start(const Command& command);

  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  /// Kills it if it still runs.
  ~ChildProcess();

  pid_t id() const { return id_; }
  bool Running();
  void Signal(int signal);
  /// Waits until it has ended, `limit` at most.
  /// @return its exit status (128 + signal for one that was killed), or nullopt if it still runs.
  std::optional<int> Wait(Duration limit);
  void Kill();

 private:
  explicit ChildProcess(pid_t id) : id_(id) {}
  void Reap(int status);

  pid_t id_ = -1;
  std::optional<int> exit_status_;
};

}  // namespace graniteseam::testbed
