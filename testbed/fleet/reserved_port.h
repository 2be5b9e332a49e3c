/// @file
/// TCP ports that the kernel chose and that stay reserved for a fleet's processes.
#pragma once

#include <string>

#include "graniteseam/common/error.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::testbed {

/// Holds a port of one address without listening on it: a process that sets SO_REUSEADDR or
/// SO_REUSEPORT can listen there, now and after each restart, while the kernel gives the port to
/// nobody else.
class ReservedPort {
 public:
  /// @param also_on further address on which the same port is held, or empty.
  static Result<ReservedPort> Reserve(const std::string& ip, const std::string& also_on);

  ReservedPort(ReservedPort&& other) noexcept;
  ReservedPort& operator=(ReservedPort&& other) = delete;
  ~ReservedPort();

  const runtime::SocketAddress& address() const { return address_; }

 private:
  ReservedPort(runtime::SocketAddress address, int descriptor, int also_on)
      : address_(std::move(address)), descriptor_(descriptor), also_on_(also_on) {}

  runtime::SocketAddress address_;
  int descriptor_;
  int also_on_;  ///< Descriptor of the further address; -1 for none.
};

}  // namespace graniteseam::testbed
