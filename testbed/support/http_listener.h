/// @file
/// What all stand-ins that serve HTTP share.
#pragma once

#include <httplib.h>

#include <string>
#include <thread>

#include "graniteseam/common/error.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::testbed {

/// An httplib server on a thread of its own.
///
/// Lifecycle: set handlers on server(), Start(), then Stop() or destruction.
class HttpListener {
 public:
  /// @param connections how many live connections are served at once; cpp-httplib gives each one
  ///     a thread.
  explicit HttpListener(std::size_t connections);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  httplib::Server& server() { return server_; }

  /// Listens; port 0 lets the kernel choose.
  /// @return the address in use, or kUnavailable.
  Result<runtime::SocketAddress> Start(const runtime::SocketAddress& address);

  /// Stops listening and waits for the requests in flight.
  void Stop();

 private:
  httplib::Server server_;
  std::thread thread_;
  int listen_socket_ = -1;
};

}  // namespace graniteseam::testbed
