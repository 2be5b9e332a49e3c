/// @file
/// Tells whether the peer of a request's connection has gone away.
#pragma once

#include <httplib.h>

namespace graniteseam::testbed {

/// Watches the connection that a request came over. A router that gives a request up closes its
/// connection; that is how it cancels.
///
/// cpp-httplib 0.11 does not show a request's socket, so it is looked up by the peer's address
/// among this process's descriptors, once and only when first asked.
class ConnectionWatch {
 public:
  explicit ConnectionWatch(const httplib::Request& request) : request_(request) {}

  /// Whether the peer has closed; false when that can't be told.
  bool PeerClosed();

 private:
  int FindSocket() const;

  const httplib::Request& request_;
  bool searched_ = false;
  int socket_ = -1;
};

}  // namespace graniteseam::testbed
