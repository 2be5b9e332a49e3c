/// @file
/// Which process of a fleet opened a connection, read from the kernel's tables (proc(5)): the
/// processes themselves know nothing of it.
#pragma once

#include <sys/types.h>

#include <map>
#include <mutex>
#include <string>

#include "testbed/fleet/link_layer.h"

namespace graniteseam::testbed {

/// Thread safe.
class SocketOwners {
 public:
  /// Makes a process known. One that ended may stay: it holds no sockets.
  void Add(pid_t process, const std::string& ip);

  /// @return the address of the process that holds the client's end, or "" when none does.
  std::string IpOf(const ConnectionEnds& ends) const;

 private:
  mutable std::mutex mutex_;  ///< Guards ips_.
  std::map<pid_t, std::string> ips_;
};

}  // namespace graniteseam::testbed
