/// @file
/// One connection from a router to a server.
#pragma once

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>

#include "graniteseam/common/time.h"
#include "src/http/answer_stream.h"
#include "src/http/bounded_stream.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::http {

/// How an exchange on a connection ended.
enum class ExchangeEnd {
  kWhole,    ///< A whole answer.
  kNotSent,  ///< Failed, and no byte of the request was handed to the kernel.
  kBroken,   ///< Failed after that: it may have run.
};

/// Carries one request at a time.
///
/// cpp-httplib's Client sends by itself again in some cases (after a TLS peer closed, after a
/// redirect or a demand for credentials) and opens a new connection when a kept one is closed. None
/// of these paths is used: process_request() alone, which writes one request and reads one answer,
/// runs on a stream of ours. What the kernel was handed is therefore known exactly, and nothing is
/// ever sent twice.
///
/// Exchange() is for one thread at a time; Cancel() may come from any.
class UpstreamConnection : private httplib::ClientImpl {
 public:
  /// @param tls null for plain HTTP, which only a loopback address gets.
  /// @return nullptr when there was no connection by the deadline.
  static std::unique_ptr<UpstreamConnection> Open(const runtime::SocketAddress& address,
                                                  Instant deadline, TlsContext* tls = nullptr);
  ~UpstreamConnection() override;
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  /// Sends the request and reads the answer. After anything but kWhole the connection must go.
  ExchangeEnd Exchange(httplib::Request& request, httplib::Response& response, Instant deadline,
                       std::size_t answer_bytes_maximum);

  /// Whether the connection may take a request: open, and silent. Bytes that wait here belong to no
  /// request, for example a late answer.
  bool Reusable();
  /// Whether the server asked to close after its last answer.
  bool close_asked() const { return close_asked_; }
  bool timed_out() const { return stream_.timed_out(); }
  /// Ends an exchange that another thread is in.
  void Cancel();

 private:
  UpstreamConnection(const runtime::SocketAddress& address, int descriptor);

  int descriptor_;
  BoundedStream stream_;
  AnswerStream answer_;  ///< Reads from stream_.
  bool close_asked_ = false;
};

}  // namespace graniteseam::http
