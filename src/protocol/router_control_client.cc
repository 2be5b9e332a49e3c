#include "src/protocol/router_control_client.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <functional>
#include <map>
#include <utility>

#include "graniteseam/codec/codec.h"
#include "src/protocol/dialer.h"
#include "src/protocol/leader_tracker.h"
#include "src/runtime/clock.h"
#include "src/runtime/event_loop.h"
#include "src/runtime/log.h"

namespace graniteseam::protocol {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kTickInterval{10};

std::vector<std::string> ToTexts(const std::vector<runtime::SocketAddress>& addresses) {
  std::vector<std::string> texts;
  texts.reserve(addresses.size());
  for (const runtime::SocketAddress& address : addresses) texts.push_back(ToString(address));
  return texts;
}

}  // namespace

/// All members except constructor and destructor run on the client's own event loop thread.
class RouterControlClient::Impl {
 public:
  Impl(RouterControlClientOptions options, runtime::MetricsRegistry& registry,
       AnswerHandler on_answer, ConnectedHandler on_connected, LeaderSwitchHandler on_leader_switch,
       FeedLostHandler on_feed_lost);
  ~Impl();

  void Send(control::RouterToControl message);
  void SetControl(std::vector<std::string> addresses);
  void SubscribeToState(const std::string& address);
  void SetStateVersion(std::uint64_t version) { version_ = version; }

 private:
  /// Requests the start of the state feed, or its end.
  /// @param ends whether to end the feed.
  void SendFeedRequest(bool ends);
  void Dial(const std::string& address);
  void DialNewAddresses();
  void StopRemovedDialers();
  void Deliver(const std::vector<LeaderSend>& sends);
  void OnConnected(const std::string& address);
  void OnDisconnected(const std::string& address);
  std::optional<Error> OnMessage(const std::string& address, const std::string& payload);
  void ScheduleTick();

  // First, so that its context outlives the sockets and timers below; the destructor stops it.
  runtime::EventLoop loop_;
  RouterControlClientOptions options_;
  AnswerHandler on_answer_;
  ConnectedHandler on_connected_;
  LeaderSwitchHandler on_leader_switch_;
  FeedLostHandler on_feed_lost_;
  ConnectionMetrics metrics_;
  InternalTls tls_;
  LeaderTracker tracker_;
  std::map<std::string, std::shared_ptr<Dialer>> dialers_;
  std::size_t connected_ = 0;
  std::string feed_;  ///< Address of the state feed; empty for none.
  std::uint64_t feed_requests_ = 0;
  std::atomic<std::uint64_t> version_{0};  ///< Version of the router's state.
  asio::steady_timer tick_{loop_.context()};
};

RouterControlClient::Impl::Impl(RouterControlClientOptions options,
                                runtime::MetricsRegistry& registry, AnswerHandler on_answer,
                                ConnectedHandler on_connected, LeaderSwitchHandler on_leader_switch,
                                FeedLostHandler on_feed_lost)
    : options_(std::move(options)),
      on_answer_(std::move(on_answer)),
      on_connected_(std::move(on_connected)),
      on_leader_switch_(std::move(on_leader_switch)),
      on_feed_lost_(std::move(on_feed_lost)),
      metrics_(registry),
      tls_(options_.security),
      tracker_(ToTexts(options_.control), options_.answer_timeout,
               std::hash<std::string>{}(options_.router.value)) {
  const auto loaded = Attempt([&] { return tls_.Load(); });
  if (const Error* error = ErrorOf(loaded)) runtime::Logger("internal").Error(*error);
  asio::post(loop_.context(), [this] {
    DialNewAddresses();
    ScheduleTick();
  });
}

RouterControlClient::Impl::~Impl() {
  // Pending operations refer to this object, so the loop must be stopped first.
  loop_.Stop();
  for (const auto& [address, dialer] : dialers_) {
    if (dialer) dialer->Stop();
  }
}

void RouterControlClient::Impl::Send(control::RouterToControl message) {
  asio::post(loop_.context(), [this, message = std::move(message)]() mutable {
    Deliver(tracker_.OnSend(std::move(message), runtime::BootTimeNow()));
  });
}

void RouterControlClient::Impl::SetControl(std::vector<std::string> addresses) {
  asio::post(loop_.context(), [this, addresses = std::move(addresses)] {
    tracker_.SetConfigured(addresses);
    DialNewAddresses();
  });
}

void RouterControlClient::Impl::SubscribeToState(const std::string& address) {
  asio::post(loop_.context(), [this, address] {
    if (feed_ == address) return;
    // Ends the old feed; otherwise both would send every change.
    SendFeedRequest(true);
    feed_ = address;
    tracker_.AddAddress(address);
    DialNewAddresses();
    SendFeedRequest(false);
  });
}

void RouterControlClient::Impl::SendFeedRequest(bool ends) {
  const auto found = dialers_.find(feed_);
  if (found == dialers_.end() || !found->second || !found->second->connected()) return;
  const control::FeedRequest request{options_.router, ++feed_requests_, version_, ends};
  found->second->Send(codec::Encode(control::RouterToControl(request)));
}

/// Dials addresses without a dialer, such as those from leader hints.
void RouterControlClient::Impl::DialNewAddresses() {
  for (const std::string& address : tracker_.addresses()) {
    if (!dialers_.contains(address)) Dial(address);
  }
  if (dialers_.size() > tracker_.addresses().size()) StopRemovedDialers();
}

void RouterControlClient::Impl::StopRemovedDialers() {
  const std::vector<std::string>& used = tracker_.addresses();
  for (auto one = dialers_.begin(); one != dialers_.end();) {
    if (std::find(used.begin(), used.end(), one->first) != used.end()) {
      ++one;
      continue;
    }
    if (one->second) one->second->Stop();
    // A later subscription to this address dials it again.
    if (one->first == feed_) feed_.clear();
    one = dialers_.erase(one);
  }
}

void RouterControlClient::Impl::Dial(const std::string& address) {
  const auto parsed = Attempt([&] { return runtime::ParseSocketAddress(address); });
  if (const Error* error = ErrorOf(parsed)) {
    runtime::Logger("internal").Warning(*error);
    dialers_[address] = nullptr;
    return;
  }
  Dialer::Handlers handlers;
  handlers.on_connected = [this, address] { OnConnected(address); };
  handlers.on_disconnected = [this, address] { OnDisconnected(address); };
  handlers.on_message = [this, address](const std::string& payload) {
    return OnMessage(address, payload);
  };
  auto dialer = std::make_shared<Dialer>(loop_.context(), std::get<runtime::SocketAddress>(parsed),
                                         MakeHello(ProcessKind::kRouter, options_.router.value),
                                         tls_, metrics_, std::move(handlers));
  dialers_[address] = dialer;
  dialer->Start();
}

void RouterControlClient::Impl::Deliver(const std::vector<LeaderSend>& sends) {
  for (const LeaderSend& send : sends) {
    const auto found = dialers_.find(send.address);
    if (found != dialers_.end() && found->second) {
      found->second->Send(codec::Encode(send.message));
    }
  }
  for (const LeaderSwitch& turn : tracker_.TakeSwitches()) {
    if (on_leader_switch_) on_leader_switch_(turn);
  }
  DialNewAddresses();
}

void RouterControlClient::Impl::OnConnected(const std::string& address) {
  if (++connected_ == 1 && on_connected_) on_connected_(true);
  Deliver(tracker_.OnConnected(address, runtime::BootTimeNow()));
  if (address == feed_) SendFeedRequest(false);
}

void RouterControlClient::Impl::OnDisconnected(const std::string& address) {
  if (--connected_ == 0 && on_connected_) on_connected_(false);
  Deliver(tracker_.OnDisconnected(address, runtime::BootTimeNow()));
  if (address == feed_ && on_feed_lost_) on_feed_lost_();
}

std::optional<Error> RouterControlClient::Impl::OnMessage(const std::string& address,
                                                          const std::string& payload) {
  const auto decoded = Attempt([&] { return codec::Decode<control::ControlToRouter>(payload); });
  if (const Error* error = ErrorOf(decoded)) return *error;
  const auto& answer = std::get<control::ControlToRouter>(decoded);
  if (const auto* not_leader = std::get_if<control::NotLeaderAnswer>(&answer)) {
    Deliver(tracker_.OnNotLeader(address, *not_leader, runtime::BootTimeNow()));
    if (not_leader->version > 0) on_answer_(answer, address);
    return std::nullopt;
  }
  tracker_.OnAnswered(address, answer, runtime::BootTimeNow());
  on_answer_(answer, address);
  return std::nullopt;
}

void RouterControlClient::Impl::ScheduleTick() {
  tick_.expires_after(kTickInterval);
  tick_.async_wait([this](auto error) {
    if (error) return;
    Deliver(tracker_.Tick(runtime::BootTimeNow()));
    ScheduleTick();
  });
}

RouterControlClient::RouterControlClient(RouterControlClientOptions options,
                                         runtime::MetricsRegistry& metrics, AnswerHandler on_answer,
                                         ConnectedHandler on_connected,
                                         LeaderSwitchHandler on_leader_switch,
                                         FeedLostHandler on_feed_lost)
    : impl_(std::make_unique<Impl>(std::move(options), metrics, std::move(on_answer),
                                   std::move(on_connected), std::move(on_leader_switch),
                                   std::move(on_feed_lost))) {}

RouterControlClient::~RouterControlClient() = default;

void RouterControlClient::SetControl(std::vector<std::string> addresses) {
  impl_->SetControl(std::move(addresses));
}

void RouterControlClient::SubscribeToState(const std::string& address) {
  impl_->SubscribeToState(address);
}

void RouterControlClient::SetStateVersion(std::uint64_t version) {
  impl_->SetStateVersion(version);
}

void RouterControlClient::Send(control::RouterToControl message) {
  impl_->Send(std::move(message));
}

}  // namespace graniteseam::protocol
