/// @file
/// The fleet's operator: runs graniteseamctl for changes, and reads views over HTTP.
#pragma once

#include <string>
#include <vector>

#include "graniteseam/control/operator_messages.h"
#include "src/http/operator_client.h"
#include "testbed/fleet/layout.h"

namespace graniteseam::testbed {

/// How a command of graniteseamctl ended.
struct CommandResult {
  int exit_code = 0;
  std::string output;  ///< Standard output and errors.
};

/// One operator. Use one a thread.
class OperatorConsole {
 public:
  /// @param control HTTP addresses of the control processes.
  OperatorConsole(const FleetPaths& paths, const Credentials& credentials,
                  std::vector<runtime::SocketAddress> control);

  /// Runs graniteseamctl with the operator's credential and waits until it has ended.
  Result<CommandResult> Run(const std::vector<std::string>& words) const;

  /// Checks, submits, signs and rolls a bundle file, and stops at the first refusal.
  /// @return the last command's result: exit code 0 when the bundle is rolled.
  Result<CommandResult> Roll(const std::string& bundle_file) const;

  Result<control::FleetView> Fleet() const;
  Result<control::ShardsView> Shards() const;

  /// Asks every control process by itself for the bundles; those that lead answer.
  std::vector<control::BundlesView> BundlesFromEachLeader() const;

 private:
  const FleetPaths paths_;
  const Credentials credentials_;
  const std::vector<runtime::SocketAddress> control_;
  http::OperatorClientOptions client_options_;
};

}  // namespace graniteseam::testbed
