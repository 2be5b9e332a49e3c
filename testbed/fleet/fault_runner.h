/// @file
/// Makes a scenario's faults happen at their times.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/runtime/log.h"
#include "testbed/fleet/fleet.h"
#include "testbed/fleet/operator_console.h"
#include "testbed/support/record_file.h"

namespace graniteseam::testbed {

/// One line of the report: what was done to the fleet, and what came of it.
struct FaultEvent {
  double at_s = 0.0;  ///< After the start of traffic.
  std::string what;
};

/// Runs faults from the main thread; what operators do takes a while and runs beside, on threads of
/// its own. Construct at the start of traffic.
class FaultRunner {
 public:
  /// @param records takes note of bundle versions that an operator was told are rolled.
  FaultRunner(Fleet& fleet, const OperatorConsole& console, RecordFile& records,
              const runtime::Logger& log);
  ~FaultRunner();

  /// Runs what is due.
  Result<void> RunDue();
  /// Waits for the operators' commands that still run.
  void Finish();
  bool Done() const { return schedule_.empty(); }

  std::vector<FaultEvent> Events() const;
  /// What an operator saw that must never be, for example two winners of a race.
  std::vector<std::string> Problems() const;
  std::uint64_t bundle_version() const { return bundle_version_; }

  /// Writes the bundle of the next version, with the given author, and returns its file.
  Result<std::string> WriteNextBundle(const std::string& author);

 private:
  Result<void> Run(const Fault& fault);
  Result<void> RunOnMembers(const Fault& fault, const std::vector<std::string>& names);
  Result<void> RunOnMember(const Fault& fault, const std::string& name);
  Result<void> RunCut(const Fault& fault, const std::vector<std::string>& names);
  Result<void> RunRoll();
  Result<void> RunRace();
  void RunMove(const std::string& service);
  void RunReplace(const std::string& name);
  /// Runs one command of graniteseamctl beside, and again while control is unavailable.
  /// @param accepted called once it succeeded; may be empty.
  void RunCommand(const std::vector<std::string>& words,
                  const std::function<void()>& accepted = {});
  void NoteLeaving(const std::string& server, bool leaving);
  void RollAndNote(const std::string& file, std::uint64_t version);
  void Beside(std::function<void()> work);
  void After(Duration delay, std::function<Result<void>()> work);
  void Note(const std::string& what);
  void NoteProblem(const std::string& what);
  std::string Leader() const;

  Fleet& fleet_;
  const OperatorConsole& console_;
  RecordFile& records_;
  const runtime::Logger& log_;
  const Instant start_;
  std::uint64_t bundle_version_ = 1;
  std::multimap<Instant, std::function<Result<void>()>> schedule_;
  std::vector<std::thread> beside_;
  mutable std::mutex mutex_;  ///< Guards events_ and problems_.
  std::vector<FaultEvent> events_;
  std::vector<std::string> problems_;
};

}  // namespace graniteseam::testbed
