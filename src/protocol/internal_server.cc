#include "src/protocol/internal_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <utility>

#include "graniteseam/codec/codec.h"
#include "src/protocol/connection.h"
#include "src/protocol/frame.h"
#include "src/protocol/state_subscription.h"
#include "src/runtime/listen.h"
#include "src/runtime/log.h"

namespace graniteseam::protocol {

namespace asio = boost::asio;

namespace {

/// The first protocol version with this message.
std::int32_t FirstVersionOf(const control::ControlToRouter& message) {
  return std::holds_alternative<control::GroupMembers>(message) ? kGroupMembersVersion
                                                                : kOldestProtocolVersion;
}

}  // namespace

/// All members except Start() and port() run on the event loop's thread.
class InternalServer::Impl : public std::enable_shared_from_this<InternalServer::Impl> {
 public:
  Impl(InternalServerOptions options, runtime::EventLoop& loop, runtime::MetricsRegistry& registry,
       Handlers handlers)
      : options_(std::move(options)),
        loop_(loop),
        metrics_(registry),
        tls_(options_.security),
        handlers_(std::move(handlers)),
        acceptor_(loop.context()),
        liveness_timer_(loop.context()) {}

  Result<void> Start();
  void Accept();
  /// Uses one timer for all connections: hundreds of separate timers would wake the process as many
  /// times per interval.
  void ScheduleLivenessCheck();
  /// @param update the state update in the frame, if it is one.
  /// @param version the first protocol version with this message.
  void SendToRouter(RouterConnectionId id, std::shared_ptr<const std::string> frame,
                    std::optional<StateUpdate> update, std::int32_t version);
  void Disconnect();

  runtime::EventLoop& loop() { return loop_; }
  std::uint16_t port() const { return port_; }

 private:
  struct Client {
    std::shared_ptr<Connection> connection;
    std::optional<ProcessKind> kind;  ///< Set once its hello was received.
    std::int32_t newest_version = 0;  ///< That it speaks.
    StateSubscription state;
  };

  void Take(Connection::Socket socket);
  std::optional<Error> OnReady(RouterConnectionId id, const Hello& peer);
  std::optional<Error> OnMessage(RouterConnectionId id, const std::string& payload);
  void OnClosed(RouterConnectionId id, const Error& reason);
  /// Requests the updates that a router was not sent, once it has received the earlier ones.
  void RequestSkipped(RouterConnectionId id, Client& client);

  InternalServerOptions options_;
  runtime::EventLoop& loop_;
  ConnectionMetrics metrics_;
  InternalTls tls_;
  Handlers handlers_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer liveness_timer_;
  std::uint16_t port_ = 0;
  std::map<RouterConnectionId, Client> clients_;
  RouterConnectionId next_id_ = 1;
  runtime::Logger log_{"internal"};
};

Result<void> InternalServer::Impl::Start() {
  BOOST_LEAF_CHECK(tls_.Load());
  BOOST_LEAF_ASSIGN(port_, runtime::Listen(acceptor_, options_.address,
                                           "Free the port, or set another peer_address."));
  asio::post(loop_.context(), [self = shared_from_this()] {
    self->Accept();
    self->ScheduleLivenessCheck();
  });
  return {};
}

void InternalServer::Impl::ScheduleLivenessCheck() {
  liveness_timer_.expires_after(kLivenessCheckInterval);
  liveness_timer_.async_wait([self = shared_from_this()](auto error) {
    if (error) return;
    for (auto& [id, client] : self->clients_) {
      client.connection->CheckLiveness();
      self->RequestSkipped(id, client);
    }
    self->ScheduleLivenessCheck();
  });
}

void InternalServer::Impl::Accept() {
  acceptor_.async_accept([self = shared_from_this()](auto error, Connection::Socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) self->Take(std::move(socket));
    self->Accept();
  });
}

void InternalServer::Impl::Take(Connection::Socket socket) {
  if (clients_.size() >= options_.connections_maximum) {
    metrics_.registry
        .Counter(runtime::Metric::kTransportConnectionsRefused,
                 {{"kind", std::string(ErrorKindName(ErrorKind::kOverloaded))}})
        .Increment();
    return;  // Destroying the socket closes it.
  }
  const RouterConnectionId id = next_id_++;
  Hello hello = MakeHello(ProcessKind::kControl, options_.name);
  auto connection = std::make_shared<Connection>(std::move(socket), Connection::Side::kAccepted,
                                                 std::move(hello), tls_, metrics_, options_.limits);
  clients_[id].connection = connection;
  Connection::Handlers handlers;
  handlers.on_ready = [self = shared_from_this(), id](const Hello& peer) {
    return self->OnReady(id, peer);
  };
  handlers.on_message = [self = shared_from_this(), id](const std::string& payload) {
    return self->OnMessage(id, payload);
  };
  handlers.on_drained = [self = shared_from_this(), id] {
    const auto found = self->clients_.find(id);
    if (found != self->clients_.end()) self->RequestSkipped(id, found->second);
  };
  handlers.on_closed = [self = shared_from_this(), id](const Error& reason) {
    self->OnClosed(id, reason);
  };
  connection->Start(std::move(handlers));
}

std::optional<Error> InternalServer::Impl::OnReady(RouterConnectionId id, const Hello& peer) {
  clients_[id].kind = peer.kind;
  clients_[id].newest_version = peer.newest_version;
  log_.Info("Connected: {} {}.", peer.kind == ProcessKind::kRouter ? "router" : "control",
            peer.name);
  if (peer.kind == ProcessKind::kControl) {
    handlers_.on_peer_connected(peer.name, ServedAddressesOf(peer));
  }
  return std::nullopt;
}

std::optional<Error> InternalServer::Impl::OnMessage(RouterConnectionId id,
                                                     const std::string& payload) {
  if (clients_[id].kind == ProcessKind::kRouter) {
    auto decoded = Attempt([&] { return codec::Decode<control::RouterToControl>(payload); });
    if (const Error* error = ErrorOf(decoded)) return *error;
    auto& message = std::get<control::RouterToControl>(decoded);
    if (const auto* request = std::get_if<control::FeedRequest>(&message)) {
      clients_[id].state.Subscribe(*request);
    }
    handlers_.on_router_message(id, std::move(message));
    return std::nullopt;
  }
  auto decoded = Attempt([&] { return codec::Decode<consensus::PeerMessage>(payload); });
  if (const Error* error = ErrorOf(decoded)) return *error;
  handlers_.on_peer_message(std::move(std::get<consensus::PeerMessage>(decoded)));
  return std::nullopt;
}

void InternalServer::Impl::OnClosed(RouterConnectionId id, const Error& reason) {
  const auto found = clients_.find(id);
  const bool was_router = found->second.kind == ProcessKind::kRouter;
  clients_.erase(found);
  log_.Info("Connection ended: {}", reason.message);
  if (was_router) handlers_.on_router_disconnected(id);
}

void InternalServer::Impl::RequestSkipped(RouterConnectionId id, Client& client) {
  const auto request = client.state.TakeRequest(client.connection->queued_bytes());
  if (request) handlers_.on_router_message(id, *request);
}

void InternalServer::Impl::SendToRouter(RouterConnectionId id,
                                        std::shared_ptr<const std::string> frame,
                                        std::optional<StateUpdate> update, std::int32_t version) {
  const auto found = clients_.find(id);
  if (found == clients_.end()) return;
  Client& client = found->second;
  if (client.newest_version < version) return;
  if (update && !client.state.Admit(*update, client.connection->queued_bytes())) return;
  if (found->second.connection->SendFrame(std::move(frame))) return;
  found->second.connection->Close(
      {ErrorKind::kOverloaded, "The send queue of the router's connection is full.",
       "Check the router's load and the network between the processes."});
}

void InternalServer::Impl::Disconnect() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  liveness_timer_.cancel();
  for (auto& [id, client] : clients_) client.connection->Close();
}

InternalServer::InternalServer(InternalServerOptions options, runtime::EventLoop& loop,
                               runtime::MetricsRegistry& metrics, Handlers handlers)
    : impl_(std::make_shared<Impl>(std::move(options), loop, metrics, std::move(handlers))) {}

InternalServer::~InternalServer() {
  encoder_.Stop();
  impl_->Disconnect();
}

Result<void> InternalServer::Start() { return impl_->Start(); }

std::uint16_t InternalServer::port() const { return impl_->port(); }

void InternalServer::SendToRouter(RouterConnectionId connection,
                                  std::shared_ptr<const control::ControlToRouter> message) {
  asio::post(encoder_.context(), [this, connection, message = std::move(message)] {
    const auto frame = EncodeOnce(message);
    asio::post(impl_->loop().context(),
               [impl = impl_, connection, frame, update = StateUpdateOf(*message),
                version = FirstVersionOf(*message)] {
                 impl->SendToRouter(connection, frame, update, version);
               });
  });
}

void InternalServer::AfterSent(std::function<void()> callback) {
  // Follows the path of the messages: first the encoder thread, then the event loop's thread.
  asio::post(encoder_.context(), [this, callback = std::move(callback)]() mutable {
    asio::post(impl_->loop().context(), std::move(callback));
  });
}

std::shared_ptr<const std::string> InternalServer::EncodeOnce(
    const std::shared_ptr<const control::ControlToRouter>& message) {
  if (message == encoded_message_) return encoded_;
  auto frame = std::make_shared<const std::string>(
      EncodeFrame(FrameKind::kMessage, codec::Encode(*message)));
  // A message without another owner is not sent again, so its frame is not cached.
  if (message.use_count() > 1) {
    encoded_message_ = message;
    encoded_ = frame;
  }
  return frame;
}

void InternalServer::Disconnect() {
  asio::post(impl_->loop().context(), [impl = impl_] { impl->Disconnect(); });
}

}  // namespace graniteseam::protocol
