/// @file
/// One persistent HTTP/1.1 connection to one address, without a thread of its own: many of them run
/// on one event loop, so that one that hangs holds up none of the others.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"
#include "src/http/tls.h"
#include "src/runtime/event_loop.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::http {

struct HttpCall {
  bool post = false;  ///< POST with a JSON body, else GET.
  std::string target;
  std::string body;
};

struct HttpReply {
  int status = 0;
  std::string body;
};

/// A longer answer is an error.
inline constexpr std::size_t kReplyBytesMaximum = std::size_t{4} << 20;

/// One call at a time. A call that fails closes the connection; the next one opens a new one.
/// Everything runs on the event loop's thread.
class AsyncHttpClient {
 public:
  using Handler = std::function<void(const Outcome<HttpReply>& reply)>;

  /// @param tls null for plain HTTP, which only a loopback address gets.
  AsyncHttpClient(runtime::EventLoop& loop, runtime::SocketAddress address,
                  std::shared_ptr<TlsContext> tls = nullptr);
  /// Abandons the call under way; its handler is not called any more.
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  /// Starts a call; none may be under way.
  /// @param limit for connecting, sending and the whole answer together.
  /// @param handler is called once: with the answer, or kTransport, kMalformedMessage, kTooLarge.
  void Start(HttpCall call, Duration limit, Handler handler);

  /// Gives up the call under way: its handler is not called, its connection is closed.
  void Abandon();

  bool busy() const;
  const runtime::SocketAddress& address() const { return address_; }

 private:
  class Session;

  runtime::EventLoop& loop_;
  runtime::SocketAddress address_;
  std::shared_ptr<TlsContext> tls_;
  std::shared_ptr<Session> session_;
};

}  // namespace graniteseam::http
