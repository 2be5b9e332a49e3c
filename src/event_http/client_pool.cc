#include "src/event_http/client_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <charconv>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "src/event_http/chunk_end.h"
#include "src/event_http/head_limit.h"
#include "src/event_http/read_buffer.h"
#include "src/event_http/socket_options.h"
#include "src/runtime/clock.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::event_http {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Parser = http::response_parser<http::string_body>;

constexpr std::uint32_t kAnswerHeaderBytes = 65'536;
constexpr std::chrono::milliseconds kSweepInterval{500};
constexpr Duration kShortestTimer{1'000};
/// Of the rest that a server states: it may have begun to count earlier.
constexpr double kUsableRest = 0.7;

/// The seconds of "timeout=5" in a Keep-Alive field.
std::optional<Duration> StatedRest(const Response& response) {
  const std::string* field = response.fields.Find("Keep-Alive");
  if (field == nullptr) return std::nullopt;
  static constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = field->find(kTimeout);
  if (at == std::string::npos) return std::nullopt;
  std::int64_t seconds = 0;
  const char* const begin = field->data() + at + kTimeout.size();
  std::from_chars(begin, field->data() + field->size(), seconds);
  return std::chrono::seconds(seconds);
}

}  // namespace

class ClientConnection;

class ClientPool::Impl : public std::enable_shared_from_this<ClientPool::Impl> {
 public:
  Impl(asio::io_context& context, ClientPoolOptions options)
      : context_(context), options_(options), sweep_(context) {}

  void Begin() { Sweep(); }
  CallNumber Start(Call call, Handler handler);
  void Abandon(CallNumber number);
  void Distrust(CallNumber number);
  void Stop();

  const ClientPoolOptions& options() const { return options_; }
  ClientPoolCounts& counts() { return counts_; }
  void Rest(const std::shared_ptr<ClientConnection>& connection);
  void Remove(const std::shared_ptr<ClientConnection>& connection);
  void Finished(CallNumber number) { open_.erase(number); }

 private:
  std::shared_ptr<ClientConnection> TakeResting(const Call& call);
  void Sweep();

  asio::io_context& context_;
  const ClientPoolOptions options_;
  asio::steady_timer sweep_;
  CallNumber last_number_;
  ConnectionNumber last_connection_;
  /// Calls and their connections, which are null until the call begins.
  std::map<CallNumber, std::shared_ptr<ClientConnection>> open_;
  /// Resting connections by address, the one used last at the end.
  std::map<std::string, std::vector<std::shared_ptr<ClientConnection>>> resting_;
  ClientPoolCounts counts_;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(asio::io_context& context, ConnectionNumber connection, std::string address,
                   std::weak_ptr<ClientPool::Impl> pool)
      : connection_(connection),
        socket_(context),
        timer_(context),
        watch_(context),
        address_(std::move(address)),
        pool_(std::move(pool)) {}

  ConnectionNumber number() const { return connection_; }
  const std::string& address() const { return address_; }
  CallNumber last_call() const { return number_; }
  Duration Rested() const { return runtime::BootTimeNow() - rests_since_; }
  Duration rest_limit() const { return rest_limit_; }

  void Start(CallNumber number, Call call, ClientPool::Handler handler) {
    number_ = number;
    call_ = std::move(call);
    handler_ = std::move(handler);
    new_connection_ = !connected_;
    handed_over_ = false;
    written_ = false;
    parser_.emplace();
    PrepareParser();
    // Not worth a connection.
    if (IsTooLate()) return Fail(CallEnd::kNotSent, CallFault::kDelay);
    ArmTimer(connected_ ? call_.limit : std::min(call_.limit, ConnectLimit()));
    connected_ ? Write() : Connect();
  }

  /// Closes without calling the handler.
  void Drop() {
    handler_ = nullptr;
    Close(true);
  }

  /// Whether the socket holds nothing unread: no bytes, no end and no fault of the connection.
  bool Silent() {
    char byte = 0;
    const ssize_t peeked = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

 private:
  Duration ConnectLimit() const {
    const auto pool = pool_.lock();
    return pool ? pool->options().connect_limit : Duration{};
  }

  bool IsTooLate() const { return runtime::BootTimeNow() > call_.not_after; }

  void PrepareParser() {
    const auto pool = pool_.lock();
    parser_->eager(true);
    parser_->header_limit(kAnswerHeaderBytes);
    head_limit_.Begin(kAnswerHeaderBytes);
    parser_->body_limit(pool ? pool->options().answer_bytes_maximum : 0);
    parser_->skip(call_.head);
  }

  void ArmTimer(Duration span) {
    timer_.expires_after(span);
    timer_.async_wait([self = shared_from_this(), number = number_](ErrorCode error) {
      if (error || self->number_ != number || !self->handler_) return;
      self->OnLimit();
    });
  }

  void OnLimit() {
    if (AwaitsOpening()) return ArmTimer(LeftOfLimit());
    if (!handed_over_) return Fail(CallEnd::kLost, CallFault::kTimeout);
    ErrorCode ignored;
    // One read may have ended whose handler has not run yet.
    TakeArrived(read_bytes_ + socket_.available(ignored) + ReadBuffer::kReadBytes);
  }

  /// Ends the call at its limit, but takes first what has arrived: a loop that is late may not have
  /// read it, or only in part.
  /// @param most bytes read on this connection by then; a server that goes on sending ends here.
  void TakeArrived(std::uint64_t most) {
    asio::post(socket_.get_executor(),
               [self = shared_from_this(), number = number_, most, before = read_bytes_] {
                 if (self->closed_ || self->number_ != number || !self->handler_) return;
                 const bool arrives = self->read_bytes_ > before || !self->Silent();
                 if (!arrives || self->read_bytes_ > most) {
                   return self->Fail(CallEnd::kLost, CallFault::kTimeout);
                 }
                 self->TakeArrived(most);
               });
  }

  /// Whether the kernel has opened the connection, or failed to, which this loop has yet to handle.
  bool AwaitsOpening() {
    if (connected_ || !socket_.is_open()) return false;
    const bool calls_on = call_.only_connects || LeftOfLimit() > kShortestTimer;
    return calls_on && IsOpeningSettled(socket_);
  }

  /// Of the call's limit since its connection began to open.
  Duration LeftOfLimit() const {
    const Duration spent = runtime::BootTimeNow() - started_at_;
    return std::max(kShortestTimer, call_.limit - spent);
  }

  void Connect() {
    started_at_ = runtime::BootTimeNow();
    ErrorCode error;
    const auto parsed = Attempt([&] { return runtime::ParseSocketAddress(address_); });
    if (ErrorOf(parsed) != nullptr) return Fail(CallEnd::kNotSent);
    const auto& target = std::get<runtime::SocketAddress>(parsed);
    const Tcp::endpoint endpoint(asio::ip::make_address(target.ip, error), target.port);
    if (error) return Fail(CallEnd::kNotSent);
    socket_.async_connect(endpoint, [self = shared_from_this()](ErrorCode failed) {
      if (self->closed_ || !self->handler_) return;
      if (failed) return self->Fail(CallEnd::kNotSent);
      self->connected_ = true;
      if (const auto pool = self->pool_.lock()) ++pool->counts().connections_opened;
      if (self->call_.only_connects) return self->SettleConnected();
      SetSocketOptions(self->socket_);
      const Duration spent = runtime::BootTimeNow() - self->started_at_;
      self->ArmTimer(self->LeftOfLimit());
      self->Read();
      self->WatchAndWrite(spent);
    });
  }

  void SettleConnected() {
    CallResult result;
    result.end = CallEnd::kAnswered;
    result.new_connection = true;
    result.connection = connection_;
    const ClientPool::Handler handler = std::exchange(handler_, nullptr);
    if (const auto pool = pool_.lock()) pool->Finished(number_);
    Close(false);
    handler(std::move(result));
  }

  void WatchAndWrite(Duration opening) {
    const auto pool = pool_.lock();
    const bool watches = call_.watches_new_connection;
    if (!pool || !watches || pool->options().watch_maximum == Duration{}) return Write();
    const ClientPoolOptions& options = pool->options();
    watch_.expires_after(std::clamp(opening, options.watch_minimum, options.watch_maximum));
    watch_.async_wait([self = shared_from_this(), number = number_](ErrorCode error) {
      if (error || self->closed_ || !self->handler_ || self->number_ != number) return;
      self->Write();
    });
  }

  void Write() {
    if (IsTooLate()) return Fail(CallEnd::kNotSent, CallFault::kDelay);
    handed_over_ = true;
    const std::array<asio::const_buffer, 2> buffers = {
        asio::buffer(call_.bytes), call_.body ? asio::buffer(*call_.body) : asio::const_buffer()};
    asio::async_write(
        socket_, buffers,
        [self = shared_from_this(), number = number_](ErrorCode error, std::size_t bytes) {
          if (self->number_ != number) return;
          if (error) {
            // The read end tells why, and may still bring an answer.
            self->handed_over_ = bytes > 0;
            if (!self->buffer_.pending()) self->Fail(CallEnd::kLost);
            return;
          }
          self->written_ = true;
          self->call_.bytes.clear();
          self->call_.body.reset();
        });
  }

  void Read() {
    if (buffer_.pending() || closed_) return;
    socket_.async_read_some(buffer_.BeginRead(),
                            [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                              self->buffer_.EndRead(error ? 0 : bytes);
                              self->read_bytes_ += bytes;
                              self->OnRead(error);
                            });
  }

  void OnRead(ErrorCode error) {
    if (closed_) return;
    // A resting connection has nothing to read: bytes belong to no request, and an end is an end.
    if (!handler_) return Close(false);
    if (error == asio::error::eof) return OnEnd();
    if (error) return Fail(CallEnd::kLost);
    Parse();
  }

  void Parse() {
    while (!buffer_.empty() && !parser_->is_done()) {
      if (!MayParseUnread(*parser_, buffer_.size())) break;
      ErrorCode error;
      const std::size_t used = parser_->put(asio::buffer(buffer_.unread()), error);
      buffer_.Consume(used);
      if (error && error != http::error::need_more) return Fail(CallEnd::kMalformed);
      const bool in_head = !parser_->is_header_done();
      if (in_head && head_limit_.Exceeded(used, buffer_.size())) return Fail(CallEnd::kMalformed);
      if (parser_->is_done() && parser_->get().result_int() / 100 == 1) {
        // An interim answer; the final one follows (RFC 9110, section 15.2).
        parser_.emplace();
        PrepareParser();
      } else if (used == 0) {
        break;
      }
    }
    if (!parser_->is_done()) return Read();
    Settle();
  }

  /// The server closed: that ends an answer without a length, and cuts off every other.
  void OnEnd() {
    ErrorCode error;
    if (parser_->got_some()) parser_->put_eof(error);
    if (error || !parser_->is_done()) return Fail(CallEnd::kLost);
    ended_ = true;
    Settle();
  }

  /// Hands the answer over, which may be whole before the request is known to be written. The
  /// connection rests only when nothing of either message is left over.
  void Settle() {
    CallResult result;
    result.end = CallEnd::kAnswered;
    const bool keep = parser_->keep_alive() && !ended_;
    result.server_closes = !keep;
    result.new_connection = new_connection_;
    result.connection = connection_;
    auto message = parser_->release();
    result.response.status = static_cast<int>(message.result_int());
    result.response.reason = std::string(message.reason());
    for (const auto& field : message) {
      result.response.fields.Add({field.name_string().data(), field.name_string().size()},
                                 {field.value().data(), field.value().size()});
    }
    result.response.body = std::move(message.body());
    result.response.head_only = call_.head;
    parser_.reset();
    timer_.cancel();
    const bool clean = keep && written_ && buffer_.empty();
    const auto pool = pool_.lock();
    if (pool) rest_limit_ = pool->options().rest_limit;
    if (const auto stated = StatedRest(result.response)) {
      const double usable = static_cast<double>(stated->count()) * kUsableRest;
      rest_limit_ = std::min(rest_limit_, Duration(static_cast<std::int64_t>(usable)));
    }
    const ClientPool::Handler handler = std::exchange(handler_, nullptr);
    if (pool) pool->Finished(number_);
    if (clean && pool) {
      rests_since_ = runtime::BootTimeNow();
      pool->Rest(shared_from_this());
      Read();
    } else {
      Close(!written_);
    }
    handler(std::move(result));
  }

  void Fail(CallEnd end, CallFault fault = CallFault::kConnection) {
    if (!handed_over_) end = CallEnd::kNotSent;
    const ClientPool::Handler handler = std::exchange(handler_, nullptr);
    if (const auto pool = pool_.lock()) pool->Finished(number_);
    Close(true);
    if (!handler) return;
    CallResult result;
    result.end = end;
    result.fault = fault;
    result.new_connection = new_connection_;
    result.connection = connection_;
    handler(std::move(result));
  }

  void Close(bool discard) {
    if (closed_) return;
    closed_ = true;
    timer_.cancel();
    watch_.cancel();
    if (discard) DiscardOnClose(socket_);
    ErrorCode ignored;
    socket_.close(ignored);
    if (const auto pool = pool_.lock()) pool->Remove(shared_from_this());
  }

  const ConnectionNumber connection_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  asio::steady_timer watch_;
  const std::string address_;
  const std::weak_ptr<ClientPool::Impl> pool_;
  CallNumber number_;
  Call call_;
  ClientPool::Handler handler_;
  std::optional<Parser> parser_;
  HeadLimit head_limit_;
  ReadBuffer buffer_;
  std::uint64_t read_bytes_ = 0;
  Instant started_at_{};
  Instant rests_since_{};
  Duration rest_limit_{};
  bool connected_ = false;
  bool new_connection_ = false;  ///< For the present call.
  bool handed_over_ = false;
  bool written_ = false;
  bool ended_ = false;
  bool closed_ = false;
};

CallNumber ClientPool::Impl::Start(Call call, Handler handler) {
  const CallNumber number = last_number_ = last_number_.Next();
  ++counts_.calls;
  open_[number] = nullptr;
  // Posted, so that no handler runs before the caller knows the number.
  asio::post(context_, [self = shared_from_this(), number, call = std::move(call),
                        handler = std::move(handler)]() mutable {
    const auto found = self->open_.find(number);
    if (found == self->open_.end()) return;
    std::shared_ptr<ClientConnection> connection = self->TakeResting(call);
    if (!connection) {
      self->last_connection_ = self->last_connection_.Next();
      connection = std::make_shared<ClientConnection>(self->context_, self->last_connection_,
                                                      call.address, self);
    }
    // TakeResting() closes connections, which leaves this entry where it is.
    found->second = connection;
    connection->Start(number, std::move(call), std::move(handler));
  });
  return number;
}

/// A connection whose end, or bytes of no request, arrived and were not read yet is closed.
std::shared_ptr<ClientConnection> ClientPool::Impl::TakeResting(const Call& call) {
  if (call.needs_new_connection) return nullptr;
  for (;;) {
    const auto found = resting_.find(call.address);
    if (found == resting_.end() || found->second.empty()) return nullptr;
    const auto usable =
        std::find_if(found->second.rbegin(), found->second.rend(), [&](const auto& resting) {
          const auto& avoided = call.avoided_connections;
          return std::find(avoided.begin(), avoided.end(), resting->number()) == avoided.end();
        });
    if (usable == found->second.rend()) return nullptr;
    std::shared_ptr<ClientConnection> connection = *usable;
    const Duration limit = std::min(call.rested_maximum, connection->rest_limit());
    if (connection->Rested() > limit) return nullptr;
    found->second.erase(std::next(usable).base());
    if (connection->Silent()) return connection;
    connection->Drop();
  }
}

void ClientPool::Impl::Abandon(CallNumber number) {
  const auto found = open_.find(number);
  if (found == open_.end()) return;
  const auto connection = found->second;
  open_.erase(found);
  if (connection) connection->Drop();
}

void ClientPool::Impl::Distrust(CallNumber number) {
  std::shared_ptr<ClientConnection> distrusted;
  for (const auto& [address, connections] : resting_) {
    for (const auto& connection : connections) {
      if (connection->last_call() == number) distrusted = connection;
    }
  }
  if (distrusted) distrusted->Drop();
}

void ClientPool::Impl::Rest(const std::shared_ptr<ClientConnection>& connection) {
  auto& resting = resting_[connection->address()];
  resting.push_back(connection);
  if (resting.size() <= options_.resting_maximum) return;
  const auto oldest = resting.front();
  oldest->Drop();
}

void ClientPool::Impl::Remove(const std::shared_ptr<ClientConnection>& connection) {
  const auto found = resting_.find(connection->address());
  if (found == resting_.end()) return;
  std::erase(found->second, connection);
  if (found->second.empty()) resting_.erase(found);
}

void ClientPool::Impl::Sweep() {
  std::vector<std::shared_ptr<ClientConnection>> old;
  for (const auto& [address, connections] : resting_) {
    for (const auto& connection : connections) {
      if (connection->Rested() > connection->rest_limit()) old.push_back(connection);
    }
  }
  for (const auto& connection : old) connection->Drop();
  sweep_.expires_after(kSweepInterval);
  sweep_.async_wait([weak = weak_from_this()](ErrorCode error) {
    const auto self = weak.lock();
    if (self && !error) self->Sweep();
  });
}

void ClientPool::Impl::Stop() {
  sweep_.cancel();
  std::vector<std::shared_ptr<ClientConnection>> all;
  for (const auto& [number, connection] : open_) {
    if (connection) all.push_back(connection);
  }
  for (const auto& [address, connections] : resting_) {
    all.insert(all.end(), connections.begin(), connections.end());
  }
  for (const auto& connection : all) connection->Drop();
  open_.clear();
}

ClientPool::ClientPool(asio::io_context& context, ClientPoolOptions options)
    : impl_(std::make_shared<Impl>(context, options)) {
  impl_->Begin();
}
ClientPool::~ClientPool() { impl_->Stop(); }

CallNumber ClientPool::Start(Call call, Handler handler) {
  return impl_->Start(std::move(call), std::move(handler));
}
void ClientPool::Abandon(CallNumber call) { impl_->Abandon(call); }
void ClientPool::Distrust(CallNumber call) { impl_->Distrust(call); }
const ClientPoolCounts& ClientPool::counts() const { return impl_->counts(); }

}  // namespace graniteseam::event_http
