/// @file
/// What a process has used of the machine so far, from /proc.
#pragma once

#include <sys/types.h>

#include <optional>

namespace graniteseam::testbed {

struct ProcessCost {
  double processor_s = 0;  ///< User and system time since its start.
  double resident_mb = 0;  ///< Memory in use now, in units of 10^6 bytes.
};

/// @return nullopt for a process that does not run.
std::optional<ProcessCost> CostOf(pid_t process);

}  // namespace graniteseam::testbed
