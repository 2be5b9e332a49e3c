#include "testbed/fleet/link_layer.h"

#include <array>
#include <boost/asio.hpp>
#include <deque>
#include <mutex>
#include <thread>

#include "src/runtime/clock.h"

namespace graniteseam::testbed {

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// How often a held connection looks whether its link is healed.
constexpr auto kHealCheckPeriod = std::chrono::milliseconds(10);
constexpr std::size_t kPieceBytes = std::size_t{64} * 1024;
/// Pieces held in one direction before reading pauses; the sender's window then fills up.
constexpr std::size_t kHeldPiecesMaximum = 64;

/// One direction of one connection: reads pieces, holds each until its time, writes it.
class Pump : public std::enable_shared_from_this<Pump> {
 public:
  Pump(std::shared_ptr<Tcp::socket> source, std::shared_ptr<Tcp::socket> sink,
       std::function<LinkState()> state)
      : source_(std::move(source)),
        sink_(std::move(sink)),
        state_(std::move(state)),
        timer_(source_->get_executor()) {}

  void Start() { Read(); }

 private:
  struct Piece {
    Instant due;
    std::vector<char> bytes;  ///< Empty: the source closed.
  };

  void Read() {
    reading_ = true;
    source_->async_read_some(boost::asio::buffer(buffer_),
                             [self = shared_from_this()](ErrorCode error, std::size_t size) {
                               self->reading_ = false;
                               self->Hold(error ? 0 : size);
                               if (!error && self->held_.size() < kHeldPiecesMaximum) self->Read();
                             });
  }

  void Hold(std::size_t size) {
    const Instant due = runtime::BootTimeNow() + state_().delay;
    held_.push_back({due, {buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(size)}});
    if (!delivering_) Deliver();
  }

  /// Delivers the first piece held, once it is due and the link is not cut.
  void Deliver() {
    if (held_.empty()) {
      delivering_ = false;
      return;
    }
    delivering_ = true;
    const Duration left = held_.front().due - runtime::BootTimeNow();
    if (left > Duration(0)) return Later(left);
    const LinkState state = state_();
    if (state.cut || made_at_ < state.silent_before) return Later(kHealCheckPeriod);
    if (held_.front().bytes.empty()) return Close();
    boost::asio::async_write(*sink_, boost::asio::buffer(held_.front().bytes),
                             [self = shared_from_this()](ErrorCode error, std::size_t) {
                               if (error) return self->Close();
                               self->held_.pop_front();
                               self->Deliver();
                               if (!self->reading_ && self->source_->is_open()) self->Read();
                             });
  }

  void Later(Duration wait) {
    timer_.expires_after(wait);
    timer_.async_wait([self = shared_from_this()](ErrorCode error) {
      if (!error) self->Deliver();
    });
  }

  void Close() {
    ErrorCode ignored;
    sink_->shutdown(Tcp::socket::shutdown_both, ignored);
    sink_->close(ignored);
    source_->close(ignored);
    held_.clear();
    delivering_ = false;
  }

  std::shared_ptr<Tcp::socket> source_;
  std::shared_ptr<Tcp::socket> sink_;
  std::function<LinkState()> state_;
  const Instant made_at_ = runtime::BootTimeNow();
  boost::asio::steady_timer timer_;
  std::array<char, kPieceBytes> buffer_{};
  std::deque<Piece> held_;
  bool reading_ = false;
  bool delivering_ = false;
};

/// Takes connections for one process and leads them on.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(boost::asio::io_context& context, Tcp::endpoint target,
        const LinkLayer::StateFunction& state, const LinkLayer::SourceFunction& source)
      : context_(context),
        target_(std::move(target)),
        state_(state),
        source_(source),
        acceptor_(context) {}

  void Listen() {
    const Tcp::endpoint front(
        boost::asio::ip::make_address(LinkLayer::RelayIp(target_.address().to_string())),
        target_.port());
    acceptor_.open(front.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.bind(front);
    acceptor_.listen();
    Accept();
  }

 private:
  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](ErrorCode error, Tcp::socket socket) {
      if (error == boost::asio::error::operation_aborted) return;
      if (!error) self->Take(std::make_shared<Tcp::socket>(std::move(socket)));
      self->Accept();
    });
  }

  void Take(const std::shared_ptr<Tcp::socket>& client) {
    ErrorCode error;
    const auto peer = client->remote_endpoint(error);
    if (error) return;
    const auto own = client->local_endpoint(error);
    if (error) return;
    const std::string from = source_(
        {{peer.address().to_string(), peer.port()}, {own.address().to_string(), own.port()}});
    const std::string to = target_.address().to_string();
    if (state_(from, to).cut || state_(to, from).cut) return HoldUntilHealed(client, from, to);
    Connect(client, from, to);
  }

  /// What came in while the link was cut never reached the other side: it is closed in the end.
  void HoldUntilHealed(const std::shared_ptr<Tcp::socket>& client, const std::string& from,
                       const std::string& to) {
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, kHealCheckPeriod);
    timer->async_wait([self = shared_from_this(), client, timer, from, to](ErrorCode) {
      if (self->state_(from, to).cut || self->state_(to, from).cut) {
        self->HoldUntilHealed(client, from, to);
      }
    });
  }

  void Connect(const std::shared_ptr<Tcp::socket>& client, const std::string& from,
               const std::string& to) {
    auto server = std::make_shared<Tcp::socket>(context_);
    server->async_connect(
        target_, [self = shared_from_this(), client, server, from, to](ErrorCode error) {
          if (error) return;  // Both sockets close: the client sees what a dead process gives.
          ErrorCode ignored;
          client->set_option(Tcp::no_delay(true), ignored);
          server->set_option(Tcp::no_delay(true), ignored);
          const auto& state = self->state_;
          std::make_shared<Pump>(client, server, [state, from, to] {
            return state(from, to);
          })->Start();
          std::make_shared<Pump>(server, client, [state, from, to] {
            return state(to, from);
          })->Start();
        });
  }

  boost::asio::io_context& context_;
  const Tcp::endpoint target_;
  const LinkLayer::StateFunction state_;
  const LinkLayer::SourceFunction source_;
  Tcp::acceptor acceptor_;
};

}  // namespace

class LinkLayer::Impl {
 public:
  Impl(StateFunction state, SourceFunction source)
      : state_(std::move(state)),
        source_(std::move(source)),
        work_(boost::asio::make_work_guard(context_)),
        thread_([this] { context_.run(); }) {}

  ~Impl() {
    context_.stop();
    thread_.join();
  }

  Result<void> AddEndpoint(const runtime::SocketAddress& address) {
    const Tcp::endpoint target(boost::asio::ip::make_address(address.ip), address.port);
    try {
      std::make_shared<Relay>(context_, target, state_, source_)->Listen();
    } catch (const boost::system::system_error& error) {
      return Fail(ErrorKind::kUnavailable,
                  "The link layer can't listen for " + runtime::ToString(address) + ": " +
                      error.what() + ".",
                  "Stop other fleets on this machine.");
    }
    return {};
  }

 private:
  const StateFunction state_;
  const SourceFunction source_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread thread_;
};

LinkLayer::LinkLayer(StateFunction state, SourceFunction source)
    : impl_(std::make_unique<Impl>(std::move(state), std::move(source))) {}
LinkLayer::~LinkLayer() = default;

Result<void> LinkLayer::AddEndpoint(const runtime::SocketAddress& address) {
  return impl_->AddEndpoint(address);
}

std::string LinkLayer::RelayIp(const std::string& ip) {
  constexpr std::string_view kProcessNetwork = "127.0.";
  return "127.1." + ip.substr(kProcessNetwork.size());
}

}  // namespace graniteseam::testbed
