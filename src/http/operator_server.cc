#include "src/http/operator_server.h"

#include <httplib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>
#include <utility>

#include "src/http/bounded_stream.h"
#include "src/http/caller_request_parser.h"
#include "src/http/dashboard_page.h"
#include "src/http/discard_input.h"
#include "src/http/operator_credentials.h"
#include "src/http/operator_json.h"
#include "src/http/operator_requests.h"
#include "src/runtime/clock.h"
#include "src/runtime/log.h"

namespace graniteseam::http {
namespace {

constexpr char kJson[] = "application/json";
constexpr char kProblem[] = "application/problem+json";
constexpr int kStatusOk = 200;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusUnavailable = 503;
constexpr std::size_t kHeadBytesMaximum = std::size_t{64} << 10;
/// How often a connection that waits for a request looks whether the server stops.
constexpr Duration kStopLook{200'000};

/// Set when what follows in this thread's connection can not be told apart any more; cpp-httplib's
/// handlers do not say which connection they serve.
thread_local bool must_close = false;

void AnswerProblem(httplib::Response& response, const OperatorProblem& problem) {
  response.status = HttpStatus(problem.error.kind);
  response.set_content(ToJson(problem), kProblem);
}

/// Headers that decide who asks, or how long the body is, must not come twice.
bool HasDoubledHeader(const httplib::Request& request) {
  for (const char* name : {"Authorization", "Content-Length", "Transfer-Encoding", "Host"}) {
    if (request.get_header_value_count(name) > 1) return true;
  }
  return false;
}

}  // namespace

/// cpp-httplib's server on streams that bound the time and the bytes of each exchange, so that a
/// caller that sends slowly gives its thread back.
class OperatorServer::Impl : private httplib::Server {
 public:
  Impl(OperatorServerOptions options, runtime::MetricsRegistry& metrics, OperatorServerHooks hooks)
      : options_(std::move(options)),
        metrics_(metrics),
        hooks_(std::move(hooks)),
        credentials_(options_.operators) {}
  ~Impl() override { Stop(); }

  Result<void> Start();
  void Stop();
  std::uint16_t port() const { return port_; }

 private:
  bool process_and_close_socket(socket_t descriptor) override;
  void Serve(int descriptor);
  bool AwaitRequest(const BoundedStream& stream, int descriptor) const;
  void SetLimits();
  void SetRoutes();
  HandlerResponse BeforeBody(const httplib::Request& request, httplib::Response& response);
  void Answer(const httplib::Request& request, httplib::Response& response);
  std::optional<Error> CheckCaller(const httplib::Request& request) const;
  void ExplainRefusal(httplib::Response& response);
  void Execute(const httplib::Request& request, httplib::Response& response);
  void AnswerHealth(bool healthy, httplib::Response& response) const;
  void Count(const httplib::Response& response);

  OperatorServerOptions options_;
  runtime::MetricsRegistry& metrics_;
  OperatorServerHooks hooks_;
  OperatorCredentials credentials_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
  std::uint16_t port_ = 0;
  runtime::Logger log_{"control.operators"};
};

Result<void> OperatorServer::Impl::Start() {
  SetLimits();
  SetRoutes();
  const runtime::SocketAddress& address = options_.address;
  int bound = -1;
  if (address.port == 0) {
    bound = bind_to_any_port(address.ip.c_str());
  } else if (bind_to_port(address.ip.c_str(), address.port)) {
    bound = address.port;
  }
  if (bound < 0) {
    return Fail(ErrorKind::kInvalidSettings, "Can not listen on " + ToString(address) + ".",
                "Free the port, or set another http_address.");
  }
  port_ = static_cast<std::uint16_t>(bound);
  thread_ = std::thread([this] { listen_after_bind(); });
  while (!is_running()) std::this_thread::yield();
  return {};
}

void OperatorServer::Impl::Stop() {
  stopping_ = true;
  stop();
  if (thread_.joinable()) thread_.join();
}

bool OperatorServer::Impl::process_and_close_socket(socket_t descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  must_close = false;
  Serve(descriptor);
  if (must_close) DiscardInput(descriptor);
  ::shutdown(descriptor, SHUT_RDWR);
  ::close(descriptor);
  return true;
}

void OperatorServer::Impl::Serve(int descriptor) {
  BoundedStream stream(descriptor, kStopLook);
  const auto begin = [&] {
    stream.Begin(runtime::BootTimeNow() + options_.exchange_maximum,
                 options_.body_bytes_maximum + kHeadBytesMaximum);
  };
  begin();
  if (options_.tls && !stream.StartTls(options_.tls->NewSession(descriptor))) return;
  bool close_asked = false;
  while (!close_asked && !stopping_ && AwaitRequest(stream, descriptor)) {
    begin();
    must_close = false;
    if (!process_request(stream, false, close_asked, nullptr) || !stream.Flush()) return;
    if (must_close || stream.timed_out() || stream.limit_reached()) return;
  }
}

/// @return false when none came in time or the server stops.
bool OperatorServer::Impl::AwaitRequest(const BoundedStream& stream, int descriptor) const {
  const Instant end = runtime::BootTimeNow() + options_.idle_maximum;
  while (!stopping_ && runtime::BootTimeNow() < end) {
    if (stream.HasUnreadBytes()) return true;
    pollfd source{descriptor, POLLIN, 0};
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(kStopLook);
    if (::poll(&source, 1, static_cast<int>(wait.count())) > 0) return true;
  }
  return false;
}

void OperatorServer::Impl::SetLimits() {
  new_task_queue = [count = options_.connections_maximum] {
    return new httplib::ThreadPool(count);
  };
  set_payload_max_length(options_.body_bytes_maximum);
  set_keep_alive_timeout(
      std::chrono::duration_cast<std::chrono::seconds>(options_.idle_maximum).count());
}

void OperatorServer::Impl::SetRoutes() {
  set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
    return BeforeBody(request, response);
  });
  const auto answer = [this](const httplib::Request& request, httplib::Response& response) {
    Answer(request, response);
    Count(response);
  };
  Get(".*", answer);
  Post(".*", answer);
  // Answers that cpp-httplib makes by itself, for example 413 and 400, get a problem body too.
  const httplib::Server::Handler explain = [this](const httplib::Request& /*request*/,
                                                  httplib::Response& response) {
    ExplainRefusal(response);
  };
  set_error_handler(explain);
}

/// Answers that cpp-httplib makes by itself, for example 413 and 400, get a problem body too.
void OperatorServer::Impl::ExplainRefusal(httplib::Response& response) {
  if (!response.body.empty()) return;
  const int status = response.status;
  must_close = true;
  AnswerProblem(response,
                {{status == kStatusTooLarge ? ErrorKind::kTooLarge : ErrorKind::kInvalidArgument,
                  "The request was refused with status " + std::to_string(status) + ".",
                  "See docs/interface/operators.md for the calls."},
                 ""});
  response.status = status;
  Count(response);
}

/// A caller without a credential is refused before its body is read: anyone who reaches the port
/// could have bodies held on all connections.
httplib::Server::HandlerResponse OperatorServer::Impl::BeforeBody(const httplib::Request& request,
                                                                  httplib::Response& response) {
  if (request.method == "GET" || !HasBody(request)) return HandlerResponse::Unhandled;
  const std::optional<Error> refused = CheckCaller(request);
  if (!refused) return HandlerResponse::Unhandled;
  // The body can't be told from a next request.
  must_close = true;
  AnswerProblem(response, {*refused, ""});
  Count(response);
  return HandlerResponse::Handled;
}

void OperatorServer::Impl::Answer(const httplib::Request& request, httplib::Response& response) {
  response.status = kStatusOk;
  if (request.method == "GET" && request.path == "/livez") {
    return AnswerHealth(hooks_.live(), response);
  }
  if (request.method == "GET" && request.path == "/readyz") {
    return AnswerHealth(hooks_.ready(), response);
  }
  if (request.method == "GET" && request.path == "/metrics") {
    return response.set_content(metrics_.Text(), runtime::kMetricsContentType);
  }
  if (request.method == "GET" && request.path == "/") {
    response.set_header("Content-Security-Policy", kDashboardPolicy);
    response.set_header("X-Content-Type-Options", "nosniff");
    return response.set_content(std::string(DashboardPage()), "text/html; charset=utf-8");
  }
  if (const std::optional<Error> refused = CheckCaller(request)) {
    return AnswerProblem(response, {*refused, ""});
  }
  if (request.method == "GET" && request.path == "/v1/self") {
    return response.set_content(ToJson(hooks_.self()), kJson);
  }
  Execute(request, response);
}

std::optional<Error> OperatorServer::Impl::CheckCaller(const httplib::Request& request) const {
  if (HasDoubledHeader(request)) {
    return Error{ErrorKind::kInvalidArgument, "A header came twice that must come once.",
                 "Send Authorization, Host and the body's length once."};
  }
  if (credentials_.Identify(request.get_header_value("Authorization"))) return std::nullopt;
  return Error{ErrorKind::kUnauthenticated, "No valid credential was shown.",
               "Send Authorization: Bearer with an operator's credential."};
}

void OperatorServer::Impl::Execute(const httplib::Request& request, httplib::Response& response) {
  IncomingCall call{request.method, request.path, request.get_param_value("service"), request.body};
  auto read = Attempt([&] { return ReadOperatorCall(call); });
  if (const Error* error = ErrorOf(read)) return AnswerProblem(response, {*error, ""});
  const control::OperatorAnswer answer =
      hooks_.execute(std::move(std::get<control::OperatorRequest>(read)));
  const auto* error = std::get_if<Error>(&answer);
  if (error == nullptr) return response.set_content(AnswerBody(answer), kJson);
  const bool elsewhere = error->kind == ErrorKind::kNotLeader;
  AnswerProblem(response, {*error, elsewhere ? hooks_.leader_address() : ""});
}

void OperatorServer::Impl::AnswerHealth(bool healthy, httplib::Response& response) const {
  response.status = healthy ? kStatusOk : kStatusUnavailable;
  response.set_content(healthy ? "ok\n" : "not ok\n", "text/plain");
}

void OperatorServer::Impl::Count(const httplib::Response& response) {
  metrics_
      .Counter(runtime::Metric::kHttpRequests,
               {{"port", "operators"}, {"status", std::to_string(response.status)}})
      .Increment();
}

OperatorServer::OperatorServer(OperatorServerOptions options, runtime::MetricsRegistry& metrics,
                               OperatorServerHooks hooks)
    : impl_(std::make_unique<Impl>(std::move(options), metrics, std::move(hooks))) {}

OperatorServer::~OperatorServer() = default;

Result<void> OperatorServer::Start() { return impl_->Start(); }

void OperatorServer::Stop() { impl_->Stop(); }

std::uint16_t OperatorServer::port() const { return impl_->port(); }

}  // namespace graniteseam::http
