/// @file
/// The router's HTTP port for callers.
#pragma once

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_set>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"
#include "src/http/caller_messages.h"
#include "src/http/tls.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::http {

struct CallerServerOptions {
  RouterId router;
  std::size_t connections_maximum = 4096;  ///< One thread each while open.
  Duration idle_maximum{75'000'000};       ///< A connection without a request is closed then.
  Duration read_maximum{30'000'000};       ///< For reading one whole request.
  Duration write_maximum{30'000'000};      ///< For writing one whole answer.
  std::size_t head_bytes_maximum = std::size_t{64} << 10;
  Duration watch_interval{20'000};  ///< How often callers that wait are looked at.
  std::shared_ptr<TlsContext> tls;  ///< Null for plain HTTP.
};

/// Pages of the process itself, for example /readyz.
struct PlainPage {
  int status = 200;
  std::string content_type;
  std::string body;
};

/// Serves callers by cpp-httplib on streams of ours, so that heads, bodies and times are bounded
/// for each connection and nothing of a request is guessed.
///
/// The handler runs on the connection's thread and may block. A request reaches it only whole.
/// Lifecycle: Bind(), then Serve() on a thread of its own, BeginDrain(), Stop().
class CallerServer : private httplib::Server {
 public:
  using Handler = std::function<CallerReply(CallerMessage&&)>;
  /// The longest body that a service takes.
  using BodyLimit = std::function<std::size_t(const ServiceName&)>;
  /// Nobody waits for this request's answer any more.
  using CallerGone = std::function<void(routing::RequestNumber)>;

  CallerServer(CallerServerOptions options, Handler handler, BodyLimit body_limit,
               CallerGone caller_gone);
  ~CallerServer() override;

  /// Adds a page; call before Serve().
  void AddPage(const std::string& path, std::function<PlainPage()> page);

  /// @return the port; kTransport when the address can not be had.
  Result<std::uint16_t> Bind(const runtime::SocketAddress& address);
  /// Serves until Stop(); returns once every connection is closed.
  void Serve();

  /// Stops listening, once all who came are accepted. Requests that still come on open connections
  /// are answered, and each answer closes its connection, so that callers go elsewhere.
  void BeginDrain();
  /// Closes connections that wait for a request, and hold none unread; those in a request end with
  /// its answer.
  void Stop();

  std::size_t connections() const;

 private:
  class Connection;

  bool process_and_close_socket(socket_t descriptor) override;
  bool BeginConnection(Connection& connection);
  bool ServeOne(Connection& connection);
  void EndConnectionInDrain(httplib::Response& response) const;
  void StopListening();
  HandlerResponse BeforeRouting(const httplib::Request& request, httplib::Response& response);
  void TakeBody(const httplib::Request& request, httplib::Response& response,
                const httplib::ContentReader& reader);
  void Handle(const httplib::Request& request, std::string body, httplib::Response& response);
  void Refuse(const httplib::Request& request, int status, const Error& error,
              httplib::Response& response) const;
  void Write(const CallerReply& reply, const std::string& echo, httplib::Response& response) const;
  HandlerResponse ExplainLibraryError(const httplib::Request& request,
                                      httplib::Response& response) const;
  void WatchCallers();

  CallerServerOptions options_;
  Handler handler_;
  BodyLimit body_limit_;
  CallerGone caller_gone_;
  std::map<std::string, std::function<PlainPage()>> pages_;
  std::atomic<routing::RequestNumber> last_request_{0};
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
  mutable std::mutex mutex_;
  std::unordered_set<Connection*> connections_;  ///< Guarded by mutex_.
  std::thread watcher_;
};

}  // namespace graniteseam::http
