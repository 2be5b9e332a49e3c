#include "src/protocol/gateway_transport.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <utility>
#include <vector>

#include "src/protocol/connection.h"
#include "src/runtime/clock.h"
#include "src/runtime/listen.h"
#include "src/runtime/log.h"

namespace graniteseam::protocol {
namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kConnectionsMaximum = 2'048;
/// Messages kept for a peer that is being dialled. Later ones are dropped: by then the first ones
/// have been given up.
constexpr std::size_t kPendingMaximum = 64;
constexpr std::chrono::milliseconds kDialTimeout{300};
/// After a failed dial, messages to the peer are dropped for this long.
constexpr Duration kDialPause{100'000};
/// After a failed accept: without free descriptors, the next one would fail at once again.
constexpr std::chrono::milliseconds kAcceptPause{100};
/// Connections without messages for this long are closed.
constexpr Duration kIdleLimit{60'000'000};
constexpr std::chrono::seconds kIdleCheckInterval{10};
/// Begins the name of an accepted connection, which no address does.
constexpr char kAcceptedPrefix = '#';

}  // namespace

class GatewayTransport::Impl : public std::enable_shared_from_this<GatewayTransport::Impl> {
 public:
  Impl(GatewayTransportOptions options, runtime::EventLoop& loop,
       runtime::MetricsRegistry& registry, Handler handler)
      : options_(std::move(options)),
        loop_(loop),
        tls_(options_.security),
        metrics_(registry),
        handler_(std::move(handler)),
        acceptor_(loop.context()),
        accept_timer_(loop.context()),
        idle_timer_(loop.context()) {}

  Result<void> Start();
  void Stop();
  std::uint16_t port() const { return port_; }
  void Send(const std::string& address, std::string_view payload);
  void Reset(const std::string& address);

 private:
  /// A connection with its peer, dialled or accepted.
  struct Peer {
    std::shared_ptr<Connection> connection;
    std::shared_ptr<asio::ip::tcp::socket> dialling;
    std::shared_ptr<asio::steady_timer> dial_timer;
    std::vector<std::string> pending;  ///< Until the connection is ready.
    Instant last_used{};
    Instant dial_after{};
    std::uint64_t generation = 0;  ///< Tells a late event of an earlier connection.
  };

  void Accept();
  void AcceptLater();
  void Take(asio::ip::tcp::socket socket);
  void Dial(const std::string& address, Peer& peer);
  void OnDialled(const std::string& address, std::uint64_t generation, ErrorCode error);
  void Run(const std::string& name, Peer& peer, asio::ip::tcp::socket socket,
           Connection::Side side);
  void OnReady(const std::string& name, std::uint64_t generation);
  void OnClosed(const std::string& name, std::uint64_t generation, const Error& reason);
  void DropPending(Peer& peer);
  Peer* Find(const std::string& name, std::uint64_t generation);
  void CloseIdle();

  const GatewayTransportOptions options_;
  runtime::EventLoop& loop_;
  InternalTls tls_;
  ConnectionMetrics metrics_;
  const Handler handler_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  asio::steady_timer idle_timer_;
  std::map<std::string, Peer> peers_;  ///< By address, or by name for accepted connections.
  std::uint64_t last_generation_ = 0;
  std::uint16_t port_ = 0;
  bool stopped_ = false;
  runtime::Logger log_{"internal"};
};

Result<void> GatewayTransport::Impl::Start() {
  BOOST_LEAF_CHECK(tls_.Load());
  BOOST_LEAF_ASSIGN(port_, runtime::Listen(acceptor_, options_.address,
                                           "Free the port, or set another coordination_address."));
  asio::post(loop_.context(), [self = shared_from_this()] {
    self->Accept();
    self->CloseIdle();
  });
  return {};
}

void GatewayTransport::Impl::Stop() {
  stopped_ = true;
  ErrorCode ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  idle_timer_.cancel();
  const auto peers = std::exchange(peers_, {});
  for (const auto& [name, peer] : peers) {
    if (peer.dialling) peer.dialling->close(ignored);
    if (peer.connection) peer.connection->Close();
  }
}

void GatewayTransport::Impl::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](ErrorCode error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || self->stopped_) return;
        if (error) return self->AcceptLater();
        if (self->peers_.size() < kConnectionsMaximum) self->Take(std::move(socket));
        self->Accept();
      });
}

void GatewayTransport::Impl::AcceptLater() {
  accept_timer_.expires_after(kAcceptPause);
  accept_timer_.async_wait([self = shared_from_this()](ErrorCode error) {
    if (!error && !self->stopped_) self->Accept();
  });
}

void GatewayTransport::Impl::Take(asio::ip::tcp::socket socket) {
  const std::string name = kAcceptedPrefix + std::to_string(last_generation_ + 1);
  Run(name, peers_[name], std::move(socket), Connection::Side::kAccepted);
}

GatewayTransport::Impl::Peer* GatewayTransport::Impl::Find(const std::string& name,
                                                           std::uint64_t generation) {
  const auto found = peers_.find(name);
  const bool current = found != peers_.end() && found->second.generation == generation;
  return current ? &found->second : nullptr;
}

void GatewayTransport::Impl::Run(const std::string& name, Peer& peer, asio::ip::tcp::socket socket,
                                 Connection::Side side) {
  const std::uint64_t generation = peer.generation = ++last_generation_;
  peer.last_used = runtime::BootTimeNow();
  peer.connection = std::make_shared<Connection>(
      std::move(socket), side, MakeHello(ProcessKind::kRouter, options_.name), tls_, metrics_);
  Connection::Handlers handlers;
  handlers.on_ready = [self = shared_from_this(), name, generation](const Hello& /*peer*/) {
    self->OnReady(name, generation);
    return std::optional<Error>();
  };
  handlers.on_message = [self = shared_from_this(), name, generation](const std::string& payload) {
    Peer* const sender = self->Find(name, generation);
    if (sender == nullptr) return std::optional<Error>();
    sender->last_used = runtime::BootTimeNow();
    return self->handler_(name, payload);
  };
  handlers.on_closed = [self = shared_from_this(), name, generation](const Error& reason) {
    self->OnClosed(name, generation, reason);
  };
  // Close() may be called, and the peer removed, while the connection starts.
  const auto connection = peer.connection;
  connection->Start(std::move(handlers));
}

void GatewayTransport::Impl::OnReady(const std::string& name, std::uint64_t generation) {
  Peer* const peer = Find(name, generation);
  if (peer == nullptr) return;
  for (const std::string& payload : std::exchange(peer->pending, {})) {
    peer->connection->Send(payload);
  }
}

void GatewayTransport::Impl::OnClosed(const std::string& name, std::uint64_t generation,
                                      const Error& reason) {
  Peer* const peer = Find(name, generation);
  if (peer == nullptr) return;
  log_.Info("Connection with gateway {} ended: {}", name, reason.message);
  DropPending(*peer);
  peers_.erase(name);
}

void GatewayTransport::Impl::DropPending(Peer& peer) {
  metrics_.frames_dropped.Increment(static_cast<double>(peer.pending.size()));
  peer.pending.clear();
}

void GatewayTransport::Impl::Send(const std::string& address, std::string_view payload) {
  if (stopped_) return;
  const bool accepted = address.starts_with(kAcceptedPrefix);
  if (accepted && !peers_.contains(address)) return metrics_.frames_dropped.Increment();
  Peer& peer = peers_[address];
  const Instant now = runtime::BootTimeNow();
  peer.last_used = now;
  if (peer.connection && peer.connection->ready()) {
    peer.connection->Send(payload);
    return;
  }
  const bool drops = now < peer.dial_after || peer.pending.size() >= kPendingMaximum;
  if (drops) return metrics_.frames_dropped.Increment();
  peer.pending.emplace_back(payload);
  if (!peer.connection && !peer.dialling) Dial(address, peer);
}

void GatewayTransport::Impl::Dial(const std::string& address, Peer& peer) {
  const auto parsed = Attempt([&] { return runtime::ParseSocketAddress(address); });
  if (const Error* const error = ErrorOf(parsed)) {
    log_.Warning(*error);
    peers_.erase(address);
    return;
  }
  const auto& socket_address = std::get<runtime::SocketAddress>(parsed);
  const std::uint64_t generation = peer.generation = ++last_generation_;
  peer.dialling = std::make_shared<asio::ip::tcp::socket>(loop_.context());
  peer.dial_timer = std::make_shared<asio::steady_timer>(loop_.context(), kDialTimeout);
  peer.dial_timer->async_wait([socket = peer.dialling](ErrorCode error) {
    ErrorCode ignored;
    if (!error) socket->close(ignored);  // OnDialled() then gets operation_aborted.
  });
  peer.dialling->async_connect({asio::ip::make_address(socket_address.ip), socket_address.port},
                               [self = shared_from_this(), address, generation](ErrorCode error) {
                                 self->OnDialled(address, generation, error);
                               });
}

void GatewayTransport::Impl::OnDialled(const std::string& address, std::uint64_t generation,
                                       ErrorCode error) {
  Peer* const peer = Find(address, generation);
  if (peer == nullptr || stopped_) return;
  const auto socket = std::exchange(peer->dialling, nullptr);
  peer->dial_timer->cancel();
  if (error) {
    DropPending(*peer);
    peer->dial_after = runtime::BootTimeNow() + kDialPause;
    return;
  }
  Run(address, *peer, std::move(*socket), Connection::Side::kDialled);
}

void GatewayTransport::Impl::Reset(const std::string& address) {
  const auto found = peers_.find(address);
  if (found == peers_.end()) return;
  Peer peer = std::move(found->second);
  peers_.erase(found);
  DropPending(peer);
  ErrorCode ignored;
  if (peer.dialling) peer.dialling->close(ignored);
  if (peer.connection) {
    peer.connection->Close({ErrorKind::kTransport, "The peer left messages unanswered.",
                            "Check the peer's load and the network between the gateways."});
  }
}

void GatewayTransport::Impl::CloseIdle() {
  const Instant now = runtime::BootTimeNow();
  std::vector<std::string> idle;
  for (const auto& [name, peer] : peers_) {
    if (now - peer.last_used > kIdleLimit) idle.push_back(name);
  }
  for (const std::string& name : idle) Reset(name);
  idle_timer_.expires_after(kIdleCheckInterval);
  idle_timer_.async_wait([self = shared_from_this()](ErrorCode error) {
    if (!error && !self->stopped_) self->CloseIdle();
  });
}

GatewayTransport::GatewayTransport(GatewayTransportOptions options, runtime::EventLoop& loop,
                                   runtime::MetricsRegistry& metrics, Handler handler)
    : impl_(std::make_shared<Impl>(std::move(options), loop, metrics, std::move(handler))) {}
GatewayTransport::~GatewayTransport() { impl_->Stop(); }

Result<void> GatewayTransport::Start() { return impl_->Start(); }
std::uint16_t GatewayTransport::port() const { return impl_->port(); }
void GatewayTransport::Send(const std::string& address, std::string_view payload) {
  impl_->Send(address, payload);
}
void GatewayTransport::Reset(const std::string& address) { impl_->Reset(address); }

}  // namespace graniteseam::protocol
