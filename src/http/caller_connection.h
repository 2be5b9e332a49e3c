/// @file
/// What CallerServer knows of one open connection.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "graniteseam/common/time.h"
#include "src/http/bounded_stream.h"
#include "src/http/caller_server.h"

namespace graniteseam::http {

/// Used by the connection's own thread; the atomics are also read by the watcher and by Stop().
class CallerServer::Connection {
 public:
  explicit Connection(int socket_descriptor)
      : descriptor(socket_descriptor), stream(socket_descriptor, kReadTick) {}

  /// The connection that this thread serves; cpp-httplib's handlers do not say which it is.
  static Connection*& Current() {
    thread_local Connection* current = nullptr;
    return current;
  }

  /// Long, since connections that wait for a request wake up this often.
  static constexpr Duration kReadTick{5'000'000};

  const int descriptor;
  BoundedStream stream;
  bool last = false;        ///< The present answer ends the connection.
  bool must_close = false;  ///< What follows in the stream can not be told apart any more.
  std::string content_type;
  std::string content_encoding;
  std::atomic<bool> idle{true};
  std::atomic<routing::RequestNumber> waiting_request{0};  ///< 0 for none.
  std::atomic<std::int64_t> waiting_since_us{0};
};

}  // namespace graniteseam::http
