#include "src/protocol/peer_transport.h"

#include <boost/asio/post.hpp>
#include <map>
#include <utility>

#include "graniteseam/codec/codec.h"
#include "src/protocol/dialer.h"
#include "src/runtime/clock.h"
#include "src/runtime/log.h"

namespace graniteseam::protocol {
namespace {

namespace asio = boost::asio;

constexpr Duration kIdlePeerTimeout = std::chrono::minutes(1);

}  // namespace

/// All members except Load() run on the event loop's thread.
class PeerTransport::Impl : public std::enable_shared_from_this<PeerTransport::Impl> {
 public:
  Impl(const PeerTransportOptions& options, runtime::EventLoop& loop,
       runtime::MetricsRegistry& registry)
      : hello_(MakeHello(ProcessKind::kControl, options.name)),
        tls_(options.security),
        loop_(loop),
        metrics_(registry) {
    hello_.features.push_back(kHttpAddressFeature + options.served.http);
    hello_.features.push_back(kRegistryAddressFeature + options.served.registry);
  }

  Result<void> Load() { return tls_.Load(); }

  void Send(const consensus::PeerMessage& message) {
    const Instant now = runtime::BootTimeNow();
    Peer* const peer = FindOrDial(message.to.address);
    if (peer == nullptr) return;
    const bool unknown_to_peer =
        std::holds_alternative<consensus::LeavingNotice>(message.payload) &&
        peer->dialer->peer_version() < kLeavingNoticeVersion;
    if (unknown_to_peer) return;
    peer->last_sent = now;
    // The receiver has its own address and zone; omitting them keeps the frequent heartbeats small.
    consensus::PeerMessage sent = message;
    sent.to.address.clear();
    sent.to.zone.value.clear();
    peer->dialer->Send(codec::Encode(sent));
    StopIdleDialers(now);
  }

  void Connect(const std::string& address) {
    Peer* const peer = FindOrDial(address);
    if (peer != nullptr) peer->last_sent = runtime::BootTimeNow();
  }

  void StopDialers() {
    for (const auto& [address, peer] : peers_) peer.dialer->Stop();
    peers_.clear();
  }

  runtime::EventLoop& loop() { return loop_; }

 private:
  struct Peer {
    std::shared_ptr<Dialer> dialer;
    Instant last_sent;
  };

  Peer* FindOrDial(const std::string& address);
  void StopIdleDialers(Instant now);

  Hello hello_;
  InternalTls tls_;
  runtime::EventLoop& loop_;
  ConnectionMetrics metrics_;
  std::map<std::string, Peer> peers_;
};

PeerTransport::Impl::Peer* PeerTransport::Impl::FindOrDial(const std::string& address) {
  const auto found = peers_.find(address);
  if (found != peers_.end()) return &found->second;
  const auto parsed = Attempt([&] { return runtime::ParseSocketAddress(address); });
  if (const Error* error = ErrorOf(parsed)) {
    runtime::Logger("internal").Warning(*error);
    return nullptr;
  }
  Dialer::Handlers handlers;
  handlers.on_connected = [] {};
  handlers.on_disconnected = [] {};
  handlers.on_message = [](const std::string& /*payload*/) {
    return Error{ErrorKind::kMalformedMessage, "A peer sent a message on a send-only connection.",
                 "Run the same release everywhere."};
  };
  auto dialer = std::make_shared<Dialer>(loop_.context(), std::get<runtime::SocketAddress>(parsed),
                                         hello_, tls_, metrics_, std::move(handlers));
  dialer->Start();
  return &peers_.emplace(address, Peer{dialer, {}}).first->second;
}

void PeerTransport::Impl::StopIdleDialers(Instant now) {
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    if (now - peer->second.last_sent <= kIdlePeerTimeout) {
      ++peer;
      continue;
    }
    peer->second.dialer->Stop();
    peer = peers_.erase(peer);
  }
}

PeerTransport::PeerTransport(const PeerTransportOptions& options, runtime::EventLoop& loop,
                             runtime::MetricsRegistry& metrics)
    : impl_(std::make_shared<Impl>(options, loop, metrics)) {}

PeerTransport::~PeerTransport() { impl_->StopDialers(); }

Result<void> PeerTransport::Load() { return impl_->Load(); }

void PeerTransport::Connect(const std::string& address) {
  asio::post(impl_->loop().context(), [impl = impl_, address] { impl->Connect(address); });
}

void PeerTransport::Send(consensus::PeerMessage message) {
  asio::post(impl_->loop().context(),
             [impl = impl_, message = std::move(message)] { impl->Send(message); });
}

}  // namespace graniteseam::protocol
