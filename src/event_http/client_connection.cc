#include "src/event_http/client_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "src/event_http/client_pool_impl.h"
#include "src/event_http/socket_options.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::event_http {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr Duration kShortestTimer{1'000};
/// An account may find room without that bytes are returned: its holders become slow.
constexpr Duration kRoomRetryInterval{100'000};
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

void ClientConnection::Start(CallNumber number, Call call, ClientPool::Handler handler) {
  number_ = number;
  call_ = std::move(call);
  handler_ = std::move(handler);
  new_connection_ = !connected_;
  handed_over_ = false;
  written_ = false;
  const auto pool = pool_.lock();
  awaited_room_ = false;
  answer_.Begin(pool ? AnswerLimits{pool->options().answer_bytes_maximum, pool->options().account}
                     : AnswerLimits{},
                call_.head);
  // Not worth a connection.
  if (IsTooLate()) return Fail(CallEnd::kNotSent, CallFault::kDelay);
  ArmTimer(connected_ ? call_.limit : std::min(call_.limit, ConnectLimit()));
  connected_ ? Write() : Connect();
}

void ClientConnection::Drop() {
  handler_ = nullptr;
  Close(true);
}

void ClientConnection::EndIfVanished(Instant now) {
  if (!handler_ || !handed_over_ || !silence_.Exceeds(socket_, now)) return;
  Fail(CallEnd::kLost);
}

bool ClientConnection::Silent() {
  char byte = 0;
  const ssize_t peeked = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (peeked >= 0) return false;
  const ErrorCode error(errno, boost::system::system_category());
  if (error == asio::error::would_block || error == asio::error::try_again) return true;
  NoteError(error);
  return false;
}

Duration ClientConnection::ConnectLimit() const {
  const auto pool = pool_.lock();
  return pool ? pool->options().connect_limit : Duration{};
}

void ClientConnection::ArmTimer(Duration span) {
  timer_.expires_after(span);
  timer_.async_wait([self = shared_from_this(), number = number_](ErrorCode error) {
    if (error || self->number_ != number || !self->handler_) return;
    self->OnLimit();
  });
}

void ClientConnection::OnLimit() {
  if (AwaitsOpening()) return ArmTimer(LeftOfLimit());
  if (!handed_over_ || awaits_room_) return Fail(CallEnd::kLost, CallFault::kTimeout);
  ErrorCode ignored;
  // One read may have ended whose handler has not run yet.
  TakeArrived(read_bytes_ + socket_.available(ignored) + ReadBuffer::kReadBytes);
}

void ClientConnection::TakeArrived(std::uint64_t most) {
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), number = number_, most, before = read_bytes_] {
               if (self->closed_ || self->number_ != number || !self->handler_) return;
               const bool arrives = self->read_bytes_ > before || !self->Silent();
               if (!arrives || self->awaits_room_ || self->read_bytes_ > most) {
                 return self->Fail(CallEnd::kLost, CallFault::kTimeout);
               }
               self->TakeArrived(most);
             });
}

bool ClientConnection::AwaitsOpening() {
  if (connected_ || !socket_.is_open()) return false;
  const bool calls_on = call_.only_connects || LeftOfLimit() > kShortestTimer;
  return calls_on && IsOpeningSettled(socket_);
}

Duration ClientConnection::LeftOfLimit() const {
  const Duration spent = runtime::BootTimeNow() - started_at_;
  return std::max(kShortestTimer, call_.limit - spent);
}

void ClientConnection::Connect() {
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

void ClientConnection::SettleConnected() {
  CallResult result;
  result.end = CallEnd::kAnswered;
  result.new_connection = true;
  result.connection = connection_;
  const ClientPool::Handler handler = std::exchange(handler_, nullptr);
  if (const auto pool = pool_.lock()) pool->Finished(number_);
  Close(false);
  handler(std::move(result));
}

void ClientConnection::WatchAndWrite(Duration opening) {
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

void ClientConnection::Write() {
  if (IsTooLate()) return Fail(CallEnd::kNotSent, CallFault::kDelay);
  handed_over_ = true;
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(call_.bytes), call_.body ? asio::buffer(*call_.body) : asio::const_buffer()};
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this(), number = number_](ErrorCode error, std::size_t bytes) {
        if (self->number_ != number) return;
        if (error) {
          self->NoteError(error);
          // The read end may still bring an answer.
          self->handed_over_ = bytes > 0;
          const bool reads = self->buffer_.pending() || self->awaits_room_;
          if (!reads) self->Fail(CallEnd::kLost);
          return;
        }
        self->written_ = true;
        self->call_.bytes.clear();
        self->call_.body.reset();
      });
}

void ClientConnection::Read() {
  if (buffer_.pending() || closed_) return;
  socket_.async_read_some(buffer_.BeginRead(),
                          [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                            self->buffer_.EndRead(error ? 0 : bytes);
                            self->read_bytes_ += bytes;
                            self->OnRead(error);
                          });
}

void ClientConnection::OnRead(ErrorCode error) {
  if (closed_) return;
  // A resting connection has nothing to read: bytes belong to no request, and an end is an end.
  if (!handler_) return Close(false);
  if (error == asio::error::eof) return OnEnd();
  if (error) return Fail(CallEnd::kLost);
  Parse();
}

void ClientConnection::NoteError(const ErrorCode& error) {
  // A reset that follows the server's orderly end is reported as a broken pipe (RFC 9112, section
  // 8: an answer that ended in order is whole, although the request was not read to its end).
  const bool ended_before = error == asio::error::broken_pipe;
  if (!ended_before && error != asio::error::operation_aborted) broken_ = true;
}

void ClientConnection::Parse() {
  const AnswerState state = answer_.Read(buffer_);
  // A holder that was evicted for the answer may have been the one that waited for it.
  if (closed_) return;
  switch (state) {
    case AnswerState::kIncomplete:
      return Read();
    case AnswerState::kMalformed:
      return Fail(CallEnd::kMalformed);
    case AnswerState::kWhole:
      return Settle();
    case AnswerState::kAwaitsRoom:
      return AwaitRoom();
  }
}

void ClientConnection::AwaitRoom() {
  const auto pool = pool_.lock();
  if (!pool) return;
  awaits_room_ = true;
  if (!std::exchange(awaited_room_, true)) ++pool->counts().calls_that_awaited_room;
  const auto retry = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnRoom();
  };
  if (!std::exchange(asked_for_room_, true)) {
    pool->options().account->OnReturn([weak = weak_from_this(), retry] {
      const auto self = weak.lock();
      if (!self) return;
      self->asked_for_room_ = false;
      asio::post(self->socket_.get_executor(), retry);
    });
  }
  room_timer_.expires_after(kRoomRetryInterval);
  room_timer_.async_wait([retry](ErrorCode error) {
    if (!error) retry();
  });
}

void ClientConnection::OnRoom() {
  if (closed_ || !std::exchange(awaits_room_, false)) return;
  room_timer_.cancel();
  Parse();
}

void ClientConnection::OnEnd() {
  if (broken_ || !answer_.End()) return Fail(CallEnd::kLost);
  ended_ = true;
  Settle();
}

void ClientConnection::Settle() {
  CallResult result;
  result.end = CallEnd::kAnswered;
  const bool keep = answer_.keep_alive() && !ended_;
  result.server_closes = !keep;
  result.new_connection = new_connection_;
  result.connection = connection_;
  result.response = answer_.Take();
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

void ClientConnection::Fail(CallEnd end, CallFault fault) {
  if (!handed_over_) end = CallEnd::kNotSent;
  const ClientPool::Handler handler = std::exchange(handler_, nullptr);
  if (const auto pool = pool_.lock()) pool->Finished(number_);
  Close(true);
  answer_.Discard();
  if (!handler) return;
  CallResult result;
  result.end = end;
  result.fault = fault;
  result.awaited_room = awaits_room_;
  result.new_connection = new_connection_;
  result.connection = connection_;
  handler(std::move(result));
}

void ClientConnection::Close(bool discard) {
  if (closed_) return;
  closed_ = true;
  timer_.cancel();
  watch_.cancel();
  room_timer_.cancel();
  if (discard) DiscardOnClose(socket_);
  ErrorCode ignored;
  socket_.close(ignored);
  if (const auto pool = pool_.lock()) pool->Remove(shared_from_this());
}

}  // namespace graniteseam::event_http
