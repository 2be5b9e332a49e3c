/// @file
/// A graniteseam-hollow-nodes process and the calls that steer it.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testbed/fleet/child_process.h"
#include "testbed/fleet/reserved_port.h"

namespace graniteseam::testbed {

/// Lifecycle: the process ends with the object. Not thread safe.
class HollowProcess {
 public:
  /// @param flags those of graniteseam-hollow-nodes, without its admin address.
  static Result<HollowProcess> Start(const std::string& program_folder, const std::string& log,
                                     const std::vector<std::string>& flags);

  pid_t id() const { return process_.id(); }
  /// Calls it by GET.
  /// @return its JSON, or kUnavailable.
  Result<nlohmann::json> Call(const std::string& path) const;
  Result<std::string> CallText(const std::string& path) const;

 private:
  HollowProcess(ReservedPort port, ChildProcess process)
      : port_(std::move(port)), process_(std::move(process)) {}

  ReservedPort port_;
  ChildProcess process_;
};

}  // namespace graniteseam::testbed
