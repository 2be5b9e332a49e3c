/// @file
/// Which process of a fleet opened a connection, read from the kernel's tables (proc(5)): the
/// processes themselves know nothing of it.
#pragma once

#include <sys/types.h>

#include <map>
#include <mutex>
#include <string>
#include <unordered_map>

#include "testbed/fleet/link_layer.h"

namespace graniteseam::testbed {

/// Thread safe. Looking through all processes takes milliseconds, and each look finds all sockets
/// that exist: when a fleet dials anew, most connections are known from the look for an earlier
/// one.
class SocketOwners {
 public:
  /// Makes a process known. One that ended may stay: it holds no sockets.
  void Add(pid_t process, const std::string& ip);

  /// @return the address of the process that holds the client's end, or "" when none does.
  std::string IpOf(const ConnectionEnds& ends) const;

 private:
  void LookThroughProcesses() const;

  mutable std::mutex mutex_;  ///< Guards the members below.
  std::map<pid_t, std::string> ips_;
  /// Addresses by socket, as of the last look. The kernel does not use a socket's number again.
  mutable std::unordered_map<std::string, std::string> ips_by_socket_;
};

}  // namespace graniteseam::testbed
