#include "src/http/lease_client.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <utility>

#include "graniteseam/common/duration_text.h"
#include "src/http/async_http_client.h"
#include "src/http/lease_json.h"
#include "src/runtime/clock.h"
#include "src/runtime/log.h"

namespace graniteseam::http {
namespace {

constexpr char kLeasePath[] = "/graniteseam/v1/lease";
constexpr int kStatusOk = 200;

}  // namespace

/// Runs on the event loop's thread.
class LeaseClient::Impl : public std::enable_shared_from_this<LeaseClient::Impl> {
 public:
  Impl(LeaseClientOptions options, runtime::EventLoop& loop, runtime::MetricsRegistry& metrics,
       AnswerHandler on_answer);

  void Send(const std::string& address, lease::LeaseRequest request);
  runtime::EventLoop& loop() { return loop_; }
  void HangUp() { servers_.clear(); }

 private:
  struct Server {
    std::unique_ptr<AsyncHttpClient> client;
    lease::LeaseRequest current;
    Instant started;
    std::optional<lease::LeaseRequest> waiting;
    Instant last_sent;
    bool answers = true;  ///< Whether the last call was answered; changes are logged.
    boost::asio::steady_timer give_way;
  };

  Server* Find(const ServerId& id, const std::string& address);
  void Start(const ServerId& id, lease::LeaseRequest request);
  void StartWaiting(const ServerId& id);
  void GiveWayLater(const ServerId& id, Server& server);
  void OnReply(const ServerId& id, const Outcome<HttpReply>& reply);
  Result<lease::LeaseAnswer> ReadReply(const Server& server, const HttpReply& reply) const;
  void NoteResult(const ServerId& id, Server& server, const Error* error);
  void ForgetSilent(Instant now);

  LeaseClientOptions options_;
  runtime::EventLoop& loop_;
  AnswerHandler on_answer_;
  runtime::CounterHandle answered_;
  runtime::CounterHandle failed_;
  runtime::CounterHandle abandoned_;
  runtime::HistogramHandle call_seconds_;
  std::map<ServerId, Server> servers_;
  Instant next_forget_;
  runtime::Logger log_{"control.lease"};
};

LeaseClient::Impl::Impl(LeaseClientOptions options, runtime::EventLoop& loop,
                        runtime::MetricsRegistry& metrics, AnswerHandler on_answer)
    : options_(std::move(options)),
      loop_(loop),
      on_answer_(std::move(on_answer)),
      answered_(metrics.Counter(runtime::Metric::kControlLeaseCalls, {{"result", "answered"}})),
      failed_(metrics.Counter(runtime::Metric::kControlLeaseCalls, {{"result", "failed"}})),
      abandoned_(metrics.Counter(runtime::Metric::kControlLeaseCalls, {{"result", "abandoned"}})),
      call_seconds_(metrics.Histogram(runtime::Metric::kControlLeaseCallSeconds)) {}

void LeaseClient::Impl::Send(const std::string& address, lease::LeaseRequest request) {
  const Instant now = runtime::BootTimeNow();
  ForgetSilent(now);
  const ServerId id = request.server;
  Server* const server = Find(id, address);
  if (server == nullptr) return;
  server->last_sent = now;
  if (!server->client->busy()) return Start(id, std::move(request));
  server->waiting = std::move(request);
  GiveWayLater(id, *server);
}

/// The entry of a server; a new address gets a new connection.
LeaseClient::Impl::Server* LeaseClient::Impl::Find(const ServerId& id, const std::string& address) {
  const auto parsed = Attempt([&] { return runtime::ParseSocketAddress(address); });
  if (const Error* error = ErrorOf(parsed)) {
    log_.Warning(*error);
    return nullptr;
  }
  const auto& wanted = std::get<runtime::SocketAddress>(parsed);
  const auto found = servers_.find(id);
  if (found != servers_.end() && found->second.client->address() == wanted) return &found->second;
  if (found != servers_.end()) servers_.erase(found);
  Server server{std::make_unique<AsyncHttpClient>(loop_, wanted, options_.tls),
                {},
                {},
                {},
                {},
                true,
                boost::asio::steady_timer(loop_.context())};
  return &servers_.emplace(id, std::move(server)).first->second;
}

void LeaseClient::Impl::Start(const ServerId& id, lease::LeaseRequest request) {
  Server& server = servers_.at(id);
  server.current = std::move(request);
  server.started = runtime::BootTimeNow();
  HttpCall call{true, kLeasePath, ToJson(server.current)};
  server.client->Start(std::move(call), options_.call_maximum,
                       [this, id](const Outcome<HttpReply>& reply) { OnReply(id, reply); });
}

void LeaseClient::Impl::StartWaiting(const ServerId& id) {
  Server& server = servers_.at(id);
  if (!server.waiting) return;
  lease::LeaseRequest request = std::move(*server.waiting);
  server.waiting.reset();
  Start(id, std::move(request));
}

/// A call that hangs must not keep the newer message waiting.
void LeaseClient::Impl::GiveWayLater(const ServerId& id, Server& server) {
  const Duration age = runtime::BootTimeNow() - server.started;
  server.give_way.expires_after(std::max(Duration::zero(), options_.call_limit - age));
  server.give_way.async_wait([weak = weak_from_this(), id](auto error) {
    const auto self = weak.lock();
    if (error || !self) return;
    const auto found = self->servers_.find(id);
    if (found == self->servers_.end() || !found->second.waiting) return;
    if (found->second.client->busy()) {
      self->abandoned_.Increment();
      found->second.client->Abandon();
    }
    self->StartWaiting(id);
  });
}

void LeaseClient::Impl::OnReply(const ServerId& id, const Outcome<HttpReply>& reply) {
  Server& server = servers_.at(id);
  server.give_way.cancel();
  if (const Error* error = ErrorOf(reply)) {
    NoteResult(id, server, error);
    return StartWaiting(id);
  }
  const auto answer = Attempt([&] { return ReadReply(server, std::get<HttpReply>(reply)); });
  NoteResult(id, server, ErrorOf(answer));
  if (ErrorOf(answer) == nullptr) {
    call_seconds_.Observe(ToSeconds(runtime::BootTimeNow() - server.started));
    on_answer_(std::get<lease::LeaseAnswer>(answer));
  }
  StartWaiting(id);
}

Result<lease::LeaseAnswer> LeaseClient::Impl::ReadReply(const Server& server,
                                                        const HttpReply& reply) const {
  if (reply.status != kStatusOk) {
    return Fail(ErrorKind::kUnavailable,
                "Server " + server.current.server.value + " answered a lease message with status " +
                    std::to_string(reply.status) + ".",
                "Check that the platform list names the right address for this server.");
  }
  return ReadLeaseAnswer(reply.body, server.current);
}

void LeaseClient::Impl::NoteResult(const ServerId& id, Server& server, const Error* error) {
  (error == nullptr ? answered_ : failed_).Increment();
  const bool answers = error == nullptr;
  if (answers != server.answers) {
    if (answers) {
      log_.Info("Server {} answers again.", id.value);
    } else {
      log_.Warning("Server {} does not answer: {}", id.value, ToString(*error));
    }
  }
  server.answers = answers;
}

void LeaseClient::Impl::ForgetSilent(Instant now) {
  if (now < next_forget_) return;
  next_forget_ = now + options_.forget_after / 2;
  std::erase_if(servers_, [&](const auto& entry) {
    return now - entry.second.last_sent > options_.forget_after;
  });
}

LeaseClient::LeaseClient(LeaseClientOptions options, runtime::EventLoop& loop,
                         runtime::MetricsRegistry& metrics, AnswerHandler on_answer)
    : impl_(std::make_shared<Impl>(std::move(options), loop, metrics, std::move(on_answer))) {}

LeaseClient::~LeaseClient() { impl_->HangUp(); }

void LeaseClient::Send(std::string address, lease::LeaseRequest request) {
  boost::asio::post(impl_->loop().context(), [impl = impl_, address = std::move(address),
                                              request = std::move(request)]() mutable {
    impl->Send(address, std::move(request));
  });
}

}  // namespace graniteseam::http
