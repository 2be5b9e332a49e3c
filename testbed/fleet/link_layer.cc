#include "testbed/fleet/link_layer.h"

#include <array>
#include <boost/asio.hpp>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>

#include "src/runtime/clock.h"
#include "testbed/fleet/retransmission.h"

namespace graniteseam::testbed {

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// How often a held connection looks whether its link is healed.
constexpr auto kHealCheckPeriod = std::chrono::milliseconds(10);
constexpr std::size_t kPieceBytes = std::size_t{64} * 1024;
/// Pieces held in one direction before reading pauses; the sender's window then fills up.
constexpr std::size_t kHeldPiecesMaximum = 64;
/// After which the programs give up a connection whose bytes are not acknowledged.
constexpr Duration kUnacknowledgedMaximum{5'000'000};

/// One direction of the link that a connection uses.
struct LinkDirection {
  std::function<LinkState()> state;
  /// When that many bytes have arrived.
  std::function<Instant(std::size_t bytes, Instant now)> arrival;
  bool retransmits = false;
};

/// One direction of one connection: reads pieces, holds each until its time, writes it.
class Pump : public std::enable_shared_from_this<Pump> {
 public:
  Pump(std::shared_ptr<Tcp::socket> source, std::shared_ptr<Tcp::socket> sink, LinkDirection link)
      : source_(std::move(source)),
        sink_(std::move(sink)),
        link_(std::move(link)),
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
    const Instant due = link_.arrival(size, runtime::BootTimeNow()) + link_.state().delay;
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
    const LinkState state = link_.state();
    if (made_at_ < state.silent_before) return Later(kHealCheckPeriod);
    if (state.cut) return Block();
    if (const Duration silence = SilenceLeft(); silence > Duration(0)) return Later(silence);
    if (held_.front().bytes.empty()) return Close();
    boost::asio::async_write(*sink_, boost::asio::buffer(held_.front().bytes),
                             [self = shared_from_this()](ErrorCode error, std::size_t) {
                               if (error) return self->Close();
                               self->held_.pop_front();
                               self->Deliver();
                               if (!self->reading_ && self->source_->is_open()) self->Read();
                             });
  }

  void Block() {
    const Instant now = runtime::BootTimeNow();
    if (!blocked_since_) blocked_since_ = now;
    resumes_at_.reset();
    if (link_.retransmits && now - *blocked_since_ >= kUnacknowledgedMaximum) return Close();
    Later(kHealCheckPeriod);
  }

  /// How long a connection whose bytes were lost stays silent over the healed link.
  Duration SilenceLeft() {
    if (!blocked_since_) return Duration(0);
    const Instant now = runtime::BootTimeNow();
    if (!resumes_at_) {
      resumes_at_ = link_.retransmits ? next_retransmission(*blocked_since_, now) : now;
    }
    if (now < *resumes_at_) return *resumes_at_ - now;
    blocked_since_.reset();
    resumes_at_.reset();
    return Duration(0);
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
  const LinkDirection link_;
  std::optional<Instant> blocked_since_;  ///< Since when the link was cut, if bytes were lost.
  std::optional<Instant> resumes_at_;     ///< Once the link is healed.
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
        const LinkLayer::StateFunction& state, const LinkLayer::SourceFunction& source,
        const LinkOptions& options)
      : context_(context),
        target_(std::move(target)),
        state_(state),
        source_(source),
        options_(options),
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
          std::make_shared<Pump>(client, server, self->Direction(from, to))->Start();
          std::make_shared<Pump>(server, client, self->Direction(to, from))->Start();
        });
  }

  LinkDirection Direction(const std::string& from, const std::string& to) const {
    LinkDirection direction;
    direction.state = [state = state_, from, to] { return state(from, to); };
    direction.arrival = [arrival = options_.arrival, from, to](std::size_t bytes, Instant now) {
      return arrival ? arrival(from, to, bytes, now) : now;
    };
    direction.retransmits = options_.retransmits;
    return direction;
  }

  boost::asio::io_context& context_;
  const Tcp::endpoint target_;
  const LinkLayer::StateFunction state_;
  const LinkLayer::SourceFunction source_;
  const LinkOptions options_;
  Tcp::acceptor acceptor_;
};

}  // namespace

class LinkLayer::Impl {
 public:
  Impl(StateFunction state, SourceFunction source, LinkOptions options)
      : state_(std::move(state)),
        source_(std::move(source)),
        options_(std::move(options)),
        work_(boost::asio::make_work_guard(context_)),
        thread_([this] { context_.run(); }) {}

  ~Impl() {
    context_.stop();
    thread_.join();
  }

  Result<void> AddEndpoint(const runtime::SocketAddress& address) {
    const Tcp::endpoint target(boost::asio::ip::make_address(address.ip), address.port);
    try {
      std::make_shared<Relay>(context_, target, state_, source_, options_)->Listen();
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
  const LinkOptions options_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread thread_;
};

LinkLayer::LinkLayer(StateFunction state, SourceFunction source, LinkOptions options)
    : impl_(std::make_unique<Impl>(std::move(state), std::move(source), std::move(options))) {}
LinkLayer::~LinkLayer() = default;

Result<void> LinkLayer::AddEndpoint(const runtime::SocketAddress& address) {
  return impl_->AddEndpoint(address);
}

std::string LinkLayer::RelayIp(const std::string& ip) {
  constexpr std::string_view kProcessNetwork = "127.0.";
  return "127.1." + ip.substr(kProcessNetwork.size());
}

}  // namespace graniteseam::testbed
