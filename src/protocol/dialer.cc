#include "src/protocol/dialer.h"

#include <boost/asio/ip/address.hpp>
#include <utility>

#include "src/runtime/clock.h"
#include "src/runtime/log.h"

namespace graniteseam::protocol {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kDialDelayMinimum{20};
constexpr std::chrono::milliseconds kDialDelayMaximum{400};
constexpr std::chrono::milliseconds kDialTimeout{400};
/// For TLS and hello. Together with the time to dial again less than the 3 s within which a machine
/// is expected to be in contact: the hello is lost if the connection stops transporting data during
/// its set-up.
constexpr std::chrono::milliseconds kHandshakeTimeoutMinimum{2'000};
/// The timeout doubles up to this with each connection that did not become ready, since a slow peer
/// needs time rather than another connection. 66 dialers that redialled every 2.4 s overloaded a
/// relay that needed 18 ms or more per connection: it completed none, and their group had no leader
/// for 48 s.
constexpr std::chrono::milliseconds kHandshakeTimeoutMaximum{8'000};

}  // namespace

Dialer::Dialer(asio::io_context& context, runtime::SocketAddress address, Hello own_hello,
               InternalTls& tls, ConnectionMetrics& metrics, Handlers handlers)
    : context_(context),
      address_(std::move(address)),
      own_hello_(std::move(own_hello)),
      tls_(tls),
      metrics_(metrics),
      handlers_(std::move(handlers)),
      socket_(context),
      timer_(context),
      delay_(kDialDelayMinimum),
      handshake_time_(kHandshakeTimeoutMinimum),
      jitter_(static_cast<std::uint32_t>(runtime::RandomBits())) {}

void Dialer::Start() { Dial(); }

void Dialer::Stop() {
  stopped_ = true;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (connection_) connection_->Close();
}

bool Dialer::Send(std::string_view payload) {
  if (connection_) return connection_->Send(payload);
  metrics_.frames_dropped.Increment();
  return false;
}

void Dialer::Dial() {
  socket_ = Connection::Socket(context_);
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address_.ip), address_.port);
  socket_.async_connect(endpoint,
                        [self = shared_from_this()](auto error) { self->OnDialled(error); });
  timer_.expires_after(kDialTimeout);
  timer_.async_wait([self = shared_from_this()](auto error) {
    if (error) return;
    boost::system::error_code ignored;
    self->socket_.close(ignored);  // OnDialled() then gets operation_aborted.
  });
}

void Dialer::OnDialled(boost::system::error_code error) {
  timer_.cancel();
  if (stopped_) return;
  if (error) return ScheduleDial(error.message());
  Run(std::move(socket_));
}

void Dialer::Run(Connection::Socket socket) {
  ConnectionLimits limits;
  limits.handshake_time = handshake_time_;
  connection_ = std::make_shared<Connection>(std::move(socket), Connection::Side::kDialled,
                                             own_hello_, tls_, metrics_, limits);
  Connection::Handlers handlers;
  handlers.on_ready = [self = shared_from_this()](const Hello& peer) {
    self->peer_version_ = peer.newest_version;
    self->was_ready_ = true;
    self->handshake_time_ = kHandshakeTimeoutMinimum;
    self->last_reason_.clear();
    self->delay_ = kDialDelayMinimum;
    self->handlers_.on_connected();
    return std::optional<Error>();
  };
  handlers.on_message = [self = shared_from_this()](std::string payload) {
    return self->handlers_.on_message(std::move(payload));
  };
  handlers.on_closed = [self = shared_from_this()](const Error& reason) { self->OnClosed(reason); };
  connection_->Start(std::move(handlers));
  ScheduleLivenessCheck();
}

void Dialer::ScheduleLivenessCheck() {
  timer_.expires_after(kLivenessCheckInterval);
  timer_.async_wait([self = shared_from_this()](auto error) {
    if (error || !self->connection_) return;
    self->connection_->CheckLiveness();
    self->ScheduleLivenessCheck();
  });
}

void Dialer::OnClosed(const Error& reason) {
  connection_.reset();
  timer_.cancel();
  const bool was_ready = std::exchange(was_ready_, false);
  if (!was_ready) handshake_time_ = std::min(2 * handshake_time_, kHandshakeTimeoutMaximum);
  if (was_ready) handlers_.on_disconnected();
  if (!stopped_) ScheduleDial(reason.message);
}

void Dialer::ScheduleDial(const std::string& reason) {
  if (reason != last_reason_) {
    last_reason_ = reason;
    runtime::Logger("internal").Info("No connection to {}: {}", ToString(address_), reason);
  }
  // Jitter between half and the full delay, so that many dialers do not redial together.
  std::uniform_int_distribution<std::int64_t> spread(delay_.count() / 2, delay_.count());
  timer_.expires_after(std::chrono::milliseconds(spread(jitter_)));
  timer_.async_wait([self = shared_from_this()](auto error) {
    if (!error && !self->stopped_) self->Dial();
  });
  delay_ = std::min(delay_ * 2, kDialDelayMaximum);
}

}  // namespace graniteseam::protocol
