#include "src/http/caller_server.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "src/http/caller_connection.h"
#include "src/http/caller_request_parser.h"
#include "src/http/connection_threads.h"
#include "src/http/discard_input.h"
#include "src/http/header_rules.h"
#include "src/runtime/clock.h"

namespace graniteseam::http {

namespace {

constexpr int kListenBacklog = 1024;
/// For accepting what waits in the listener's queue as a drain begins; callers that go on coming do
/// not hold it up for longer.
constexpr Duration kAcceptLimit{200'000};
constexpr Duration kAcceptLook{1'000};
/// For reading the first bytes of what arrived before a stop.
constexpr Duration kArrivedLimit{1'000'000};
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kUriTooLong = 414;

}  // namespace

CallerServer::CallerServer(CallerServerOptions options, Handler handler, BodyLimit body_limit,
                           CallerGone caller_gone)
    : options_(std::move(options)),
      handler_(std::move(handler)),
      body_limit_(std::move(body_limit)),
      caller_gone_(std::move(caller_gone)) {
  new_task_queue = [this] { return new ConnectionThreads(options_.connections_maximum); };
  // What the library tells callers of this; the connection itself is kept by ServeOne().
  constexpr std::size_t kRequestsPerConnection = 1'000'000;
  set_keep_alive_max_count(kRequestsPerConnection);
  set_keep_alive_timeout(
      std::chrono::duration_cast<std::chrono::seconds>(options_.idle_maximum).count());
  set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
    return BeforeRouting(request, response);
  });
  const auto take_body = [this](const httplib::Request& request, httplib::Response& response,
                                const httplib::ContentReader& reader) {
    TakeBody(request, response, reader);
  };
  // Paths are read by ParseCallerRequest(): the pattern only has to let everything through.
  Post("/[^]*", take_body);
  Put("/[^]*", take_body);
  Patch("/[^]*", take_body);
  Delete("/[^]*", take_body);
  set_post_routing_handler([this](const httplib::Request&, httplib::Response& response) {
    EndConnectionInDrain(response);
  });
  set_error_handler(
      HandlerWithResponse([this](const httplib::Request& request, httplib::Response& response) {
        return ExplainLibraryError(request, response);
      }));
}

CallerServer::~CallerServer() {
  stopping_ = true;
  if (watcher_.joinable()) watcher_.join();
}

void CallerServer::AddPage(const std::string& path, std::function<PlainPage()> page) {
  pages_[path] = std::move(page);
}

Result<std::uint16_t> CallerServer::Bind(const runtime::SocketAddress& address) {
  int port = address.port;
  bool bound = false;
  if (port == 0) {
    port = bind_to_any_port(address.ip);
    bound = port > 0;
  } else {
    bound = bind_to_port(address.ip, port);
  }
  // The library listens with a backlog of 5: a burst of new callers would wait for resent SYNs.
  if (!bound || ::listen(svr_sock_, kListenBacklog) != 0) {
    return Fail(ErrorKind::kTransport,
                "The address " + runtime::ToString(address) + " can not be listened on.",
                "Check that it belongs to this machine and that no other program uses the port.");
  }
  return static_cast<std::uint16_t>(port);
}

void CallerServer::Serve() {
  watcher_ = std::thread([this] { WatchCallers(); });
  listen_after_bind();
}

void CallerServer::BeginDrain() {
  draining_ = true;
  StopListening();
}

/// Closing the listener resets the connections that wait in its queue, with the requests that they
/// hold: the library's thread accepts them first.
void CallerServer::StopListening() {
  const Instant end = runtime::BootTimeNow() + kAcceptLimit;
  const auto waits = [this] {
    pollfd poll_entry{svr_sock_, POLLIN, 0};
    return ::poll(&poll_entry, 1, 0) > 0;
  };
  while (waits() && runtime::BootTimeNow() < end) std::this_thread::sleep_for(kAcceptLook);
  stop();
}

void CallerServer::Stop() {
  draining_ = true;
  stopping_ = true;
  StopListening();
  const std::lock_guard lock(mutex_);
  for (const Connection* connection : connections_) {
    // Reading alone: an answer that is being written still goes out.
    if (connection->idle) ::shutdown(connection->descriptor, SHUT_RD);
  }
}

std::size_t CallerServer::connections() const {
  const std::lock_guard lock(mutex_);
  return connections_.size();
}

bool CallerServer::process_and_close_socket(socket_t descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  Connection connection(descriptor);
  Connection::Current() = &connection;
  {
    const std::lock_guard lock(mutex_);
    connections_.insert(&connection);
  }
  if (BeginConnection(connection)) {
    while (ServeOne(connection)) {
    }
  }
  {
    // Stop() and the watcher use descriptors under the lock: closed only once out of their reach.
    const std::lock_guard lock(mutex_);
    connections_.erase(&connection);
  }
  Connection::Current() = nullptr;
  if (connection.must_close) DiscardInput(descriptor);
  ::shutdown(descriptor, SHUT_RDWR);
  ::close(descriptor);
  return true;
}

bool CallerServer::BeginConnection(Connection& connection) {
  if (!options_.tls) return true;
  connection.stream.Begin(runtime::BootTimeNow() + options_.read_maximum,
                          options_.head_bytes_maximum);
  return connection.stream.StartTls(options_.tls->NewSession(connection.descriptor));
}

bool CallerServer::ServeOne(Connection& connection) {
  // Before the look at `stopping_`: Stop() wakes those that it finds idle.
  connection.idle = true;
  // A request that arrived before the stop is answered still.
  if (stopping_ && !connection.stream.is_readable()) return false;
  connection.stream.Begin(
      runtime::BootTimeNow() + (stopping_ ? kArrivedLimit : options_.idle_maximum),
      options_.head_bytes_maximum);
  if (!connection.stream.Await()) return false;
  connection.idle = false;
  connection.stream.SetDeadline(runtime::BootTimeNow() + options_.read_maximum);
  bool close_asked = false;
  const bool served =
      process_request(connection.stream, false, close_asked, [&](httplib::Request& request) {
        // The library would cut ranges out of servers' answers, unpack bodies and compress: all of
        // that is between caller and server.
        request.ranges.clear();
        connection.content_type = request.get_header_value("Content-Type");
        connection.content_encoding = request.get_header_value("Content-Encoding");
        request.headers.erase("Content-Type");
        request.headers.erase("Content-Encoding");
        request.headers.erase("Accept-Encoding");
        request.headers.erase("Range");
      });
  return connection.stream.Flush() && served && !connection.last && !close_asked &&
         !connection.must_close;
}

/// Also when the drain began while the request was in flight.
void CallerServer::EndConnectionInDrain(httplib::Response& response) const {
  if (!draining_) return;
  Connection::Current()->last = true;
  response.headers.erase("Keep-Alive");
  response.headers.erase("Connection");
  response.set_header("Connection", "close");
}

httplib::Server::HandlerResponse CallerServer::BeforeRouting(const httplib::Request& request,
                                                             httplib::Response& response) {
  Connection& connection = *Connection::Current();
  const Outcome<std::monostate> framing = Attempt([&] { return CheckFraming(request); });
  if (const Error* error = ErrorOf(framing)) {
    connection.must_close = true;
    Refuse(request, kBadRequest, *error, response);
    return HandlerResponse::Handled;
  }
  if (const auto page = pages_.find(request.path);
      page != pages_.end() && request.method == "GET") {
    const PlainPage shown = page->second();
    response.status = shown.status;
    response.set_content(shown.body, shown.content_type);
    return HandlerResponse::Handled;
  }
  if (HasBody(request)) return HandlerResponse::Unhandled;
  Handle(request, {}, response);
  return HandlerResponse::Handled;
}

void CallerServer::TakeBody(const httplib::Request& request, httplib::Response& response,
                            const httplib::ContentReader& reader) {
  Connection& connection = *Connection::Current();
  const Outcome<CallerMessage> head =
      Attempt([&] { return ParseCallerRequest(request, connection.content_type, {}); });
  std::size_t limit = 0;
  if (const auto* message = std::get_if<CallerMessage>(&head)) {
    limit = body_limit_(message->request.service);
  }
  // Frames of chunks take room besides the body.
  connection.stream.AllowMore(2 * limit + options_.head_bytes_maximum);
  std::string body;
  bool too_large = false;
  const bool whole = reader([&](const char* data, size_t size) {
    too_large = too_large || body.size() + size > limit;
    if (!too_large) body.append(data, size);
    return !too_large;
  });
  if (whole) {
    Handle(request, std::move(body), response);
    return;
  }
  // What is left of the body can not be told from a next request.
  connection.must_close = true;
  if (const Error* error = ErrorOf(head)) {
    Refuse(request, kBadRequest, *error, response);
  } else if (too_large || connection.stream.limit_reached()) {
    Refuse(request, kTooLarge,
           {ErrorKind::kTooLarge,
            "The body is longer than the " + std::to_string(limit) +
                " bytes that the service takes, or the service is not known.",
            "Send a shorter body, and check the service's name."},
           response);
  } else {
    Refuse(request, kBadRequest,
           {ErrorKind::kInvalidArgument, "The body ended early or came too slowly.",
            "Send the whole body without pauses."},
           response);
  }
}

void CallerServer::Handle(const httplib::Request& request, std::string body,
                          httplib::Response& response) {
  Connection& connection = *Connection::Current();
  Outcome<CallerMessage> parsed = Attempt(
      [&] { return ParseCallerRequest(request, connection.content_type, std::move(body)); });
  if (const Error* error = ErrorOf(parsed)) {
    Refuse(request, error->kind == ErrorKind::kNotFound ? kNotFound : kBadRequest, *error,
           response);
    return;
  }
  CallerMessage& message = std::get<CallerMessage>(parsed);
  if (!connection.content_encoding.empty()) {
    message.forwarded.headers.emplace_back("Content-Encoding", connection.content_encoding);
  }
  message.request.number = ++last_request_;
  const std::string echo = message.request_echo;
  connection.waiting_since_us = ToMicros(runtime::BootTimeNow());
  connection.waiting_request = message.request.number;
  const CallerReply reply = handler_(std::move(message));
  connection.waiting_request = 0;
  connection.stream.SetDeadline(runtime::BootTimeNow() + options_.write_maximum);
  Write(reply, echo, response);
}

void CallerServer::Refuse(const httplib::Request& request, int status, const Error& error,
                          httplib::Response& response) const {
  // An earlier sending of an operation may have run, and the journal was not asked.
  const auto outcome = request.has_header(kOperationHeader)
                           ? routing::RequestOutcome::kOutcomeUnknown
                           : routing::RequestOutcome::kNotRun;
  Write(ProblemReply(status, error, outcome), {}, response);
}

void CallerServer::Write(const CallerReply& reply, const std::string& echo,
                         httplib::Response& response) const {
  response.status = reply.status;
  response.headers.emplace(kOutcomeHeader, OutcomeName(reply.outcome));
  response.headers.emplace(kRouterHeader, options_.router.value);
  if (!echo.empty()) response.headers.emplace(kRequestHeader, echo);
  for (const auto& [name, value] : reply.headers) response.headers.emplace(name, value);
  if (reply.retry_after) {
    const double seconds = static_cast<double>(reply.retry_after->count()) / 1e6;
    const auto whole = static_cast<std::int64_t>(std::ceil(std::max(seconds, 0.0)));
    response.headers.emplace("Retry-After", std::to_string(whole));
  }
  if (!reply.content_type.empty() && !response.has_header("Content-Type")) {
    response.headers.emplace("Content-Type", reply.content_type);
  }
  response.body = reply.body;
}

httplib::Server::HandlerResponse CallerServer::ExplainLibraryError(
    const httplib::Request& request, httplib::Response& response) const {
  if (response.has_header(kOutcomeHeader) || !response.body.empty()) {
    return HandlerResponse::Unhandled;
  }
  if (Connection::Current() != nullptr) Connection::Current()->must_close = true;
  const bool too_long = response.status == kUriTooLong;
  Refuse(request, response.status,
         {ErrorKind::kInvalidArgument,
          too_long ? "The request's path is too long." : "The request is not valid HTTP/1.1.",
          "Send it as docs/interface/callers.md says."},
         response);
  return HandlerResponse::Handled;
}

void CallerServer::WatchCallers() {
  std::vector<pollfd> polled;
  std::vector<routing::RequestNumber> numbers;
  std::vector<routing::RequestNumber> gone;
  while (!stopping_ || connections() > 0) {
    std::this_thread::sleep_for(options_.watch_interval);
    polled.clear();
    numbers.clear();
    gone.clear();
    const Instant now = runtime::BootTimeNow();
    {
      const std::lock_guard lock(mutex_);
      for (const Connection* connection : connections_) {
        const routing::RequestNumber number = connection->waiting_request;
        const Instant since = InstantFromMicros(connection->waiting_since_us);
        if (number == 0 || now - since < options_.watch_interval) continue;
        polled.push_back({connection->descriptor, POLLRDHUP, 0});
        numbers.push_back(number);
      }
      if (!polled.empty()) ::poll(polled.data(), polled.size(), 0);
    }
    for (std::size_t i = 0; i < polled.size(); ++i) {
      if ((polled[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) gone.push_back(numbers[i]);
    }
    for (const routing::RequestNumber number : gone) caller_gone_(number);
  }
}

}  // namespace graniteseam::http
