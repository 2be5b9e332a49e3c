/// @file
/// A small fleet of real processes for the end-to-end tests: three control processes, three servers
/// of a keyed service, two servers whose requests may not be repeated, two routers.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testbed/fleet/await.h"
#include "testbed/fleet/fleet.h"
#include "testbed/fleet/operator_console.h"
#include "testbed/history/history.h"

namespace graniteseam::testbed {

/// What a router answered.
struct RouterAnswer {
  int status = 0;
  std::string outcome;
  std::string server;  ///< The stand-in that ran it, from the answer's body.
  std::string body;
};

/// Starts with construction, ends with destruction. Fails the test where it can't be started.
class SmallFleet {
 public:
  SmallFleet();
  ~SmallFleet();

  /// Asserts that a command of graniteseamctl succeeds and returns its output.
  std::string Operate(const std::vector<std::string>& words) const;
  int ExitCode(const std::vector<std::string>& words) const;
  /// Writes a bundle with a version and an author and returns its file.
  std::string WriteBundle(std::uint64_t version, const std::string& author) const;
  /// Checks, submits, signs and rolls a bundle.
  void Roll(const std::string& file) const;
  void AwaitServing();

  /// Sends a request for a key of the keyed service through a router of a zone.
  RouterAnswer Get(const std::string& key, std::size_t router = 0) const;
  /// Sends an operation to the service whose requests may not be repeated.
  RouterAnswer Post(const std::string& operation, std::size_t router = 0) const;
  /// Sends a request until it is answered.
  RouterAnswer GetUntilAnswered(const std::string& key);

  /// The shard of a request that ran, from the servers' records.
  std::optional<RunRecord> LastRunOf(const std::string& key) const;
  control::ShardEntry Shard(std::uint32_t index) const;
  History ReadAll() const;
  /// Asserts that everything that must always hold held.
  void CheckHistoryIsClean() const;

  Fleet& fleet() { return *fleet_; }

 private:
  Scenario scenario_;
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<OperatorConsole> console_;
  std::vector<runtime::SocketAddress> routers_;
};

/// Waits for a condition with a generous limit and asserts that it came.
void AwaitOrFail(const std::string& what, const std::function<Missing()>& condition);

}  // namespace graniteseam::testbed
