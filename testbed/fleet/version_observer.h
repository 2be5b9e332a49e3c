/// @file
/// Watches which bundle versions are in force where, for the history checker.
#pragma once

#include <atomic>
#include <thread>

#include "testbed/fleet/operator_console.h"
#include "testbed/support/record_file.h"

namespace graniteseam::testbed {

/// Asks each control process again and again and records what those that lead answer. Runs on a
/// thread of its own from construction to destruction.
class VersionObserver {
 public:
  VersionObserver(const OperatorConsole& console, RecordFile& records);
  ~VersionObserver();
  VersionObserver(const VersionObserver&) = delete;
  VersionObserver& operator=(const VersionObserver&) = delete;

 private:
  void Run();

  const OperatorConsole& console_;
  RecordFile& records_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace graniteseam::testbed
