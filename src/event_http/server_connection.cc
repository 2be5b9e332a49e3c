#include "src/event_http/server_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <string>
#include <utility>

#include "src/event_http/server_statuses.h"
#include "src/event_http/socket_options.h"

namespace graniteseam::event_http {
namespace {

namespace asio = boost::asio;

/// How long a client that was refused may go on sending, so that it sees why.
constexpr Duration kLinger{1'000'000};
/// Bodies that stop on their way make room for others after one to two windows of RateMeter.
constexpr char kRoomRetryAfterSeconds[] = "2";

}  // namespace

ServerConnection::ServerConnection(asio::ip::tcp::socket socket,
                                   const std::shared_ptr<Server::Impl>& server)
    : socket_(std::move(socket)),
      server_(server),
      account_(server->account()),
      clock_(server->options().clock),
      unread_charge_(*account_),
      pipeline_({server->options().requests_ahead_maximum, server->options().answer_bytes_ahead}),
      piece_timer_(socket_.get_executor()) {}

void ServerConnection::Start() {
  SetSocketOptions(socket_);
  ErrorCode ignored;
  socket_.non_blocking(true, ignored);
  last_activity_ = clock_();
  account_->Add(*this);
  Advance();
}

void ServerConnection::CloseUnlessArrived(ArrivedRequests arrived) {
  if (closed_ || unfinished()) return;
  const auto server = server_.lock();
  if (!server) return Close();
  ErrorCode error = ReadArrived();
  const bool idle = buffer_.empty() && !parser_ && !next_;
  if (idle) {
    if (error != asio::error::would_block) return Close();
    // The client may not have taken its last answer yet.
    const bool taken = clock_() - last_written_ > kLinger && IsAcknowledged(socket_);
    return taken ? Close() : LingerUnread();
  }
  if (!server->closing()) return Advance();
  server->close_counts().unread += buffer_.empty() || parser_ ? 0 : 1;
  serves_while_closing_ = arrived == ArrivedRequests::kServe;
  ParseRead(*server);
  while (!error && !busy() && TakesRequests()) {
    error = ReadArrived();
    ParseRead(*server);
  }
  serves_while_closing_ = false;
  if (!busy() && TakesRequests()) Refuse(kServiceUnavailable);
  // Tells of an end of the sending behind the request too.
  Read();
}

void ServerConnection::Close() {
  if (closed_) return;
  for (const auto& handler : Release()) handler();
  if (const auto server = server_.lock()) server->Remove(shared_from_this());
}

std::vector<std::function<void()>> ServerConnection::Release() {
  closed_ = true;
  ErrorCode ignored;
  socket_.close(ignored);
  piece_timer_.cancel();
  ReturnPacedBytes(paced_bytes_left_);
  ForgetUnbegun();
  buffer_.Clear();
  ChargeUnread();
  output_.Clear();
  return pipeline_.Clear();
}

void ServerConnection::Drop() {
  pipeline_.Clear();
  Close();
}

// --- Eviction ---

std::size_t ServerConnection::evictable_bytes() const {
  if (closed_ || lingering_) return 0;
  // Also responses that wait behind the one that the client does not read.
  if (writing_) {
    const bool paced_here =
        paced_bytes_left_ > 0 && UnacknowledgedBytes(socket_) <= WritePacer::kPieceBytes;
    if (paced_here) return 0;
    return output_.left() == 0 ? 0 : output_.charged_bytes() + pipeline_.waiting_charged_bytes();
  }
  // Where its bytes are not taken, the server itself makes the client slow.
  return parser_ && MayParse() ? message_charge_->bytes() + unread_charge_.bytes() : 0;
}

double ServerConnection::bytes_per_second(Instant now) const {
  return (writing_ ? download_rate_ : upload_rate_).Rate(now, ByteAccount::kRateMinimum);
}

/// Called from within a charge of another connection, whose caller may be anywhere in the process:
/// what runs handlers is posted.
void ServerConnection::Evict() {
  const auto server = server_.lock();
  if (server) {
    ErrorCode ignored;
    const auto peer = socket_.remote_endpoint(ignored);
    server->OnEviction({peer.address().to_string() + ":" + std::to_string(peer.port()),
                        evictable_bytes(), bytes_per_second(clock_()), !writing_});
  }
  if (!writing_) return Refuse(kRequestTimeout);
  asio::post(socket_.get_executor(), [self = shared_from_this(), server, gone = Release()] {
    for (const auto& handler : gone) handler();
    if (server) server->Remove(self);
  });
}

void ServerConnection::CountAcknowledged(Instant now) {
  const Instant before = std::exchange(acknowledged_checked_at_, now);
  if (!writing_) return;
  const std::size_t waiting = UnacknowledgedBytes(socket_);
  if (written_bytes_ <= waiting + acknowledged_bytes_) return;
  download_rate_.Record(written_bytes_ - waiting - acknowledged_bytes_, now);
  acknowledged_bytes_ = written_bytes_ - waiting;
  // It may have been acknowledged right after the check before.
  last_written_ = std::max(last_written_, before);
}

bool ServerConnection::WriteStalls(Instant now) const {
  const auto server = server_.lock();
  return !server || (now > deliver_by_ && now - last_written_ > server->options().write_timeout);
}

// --- The end of a connection ---

void ServerConnection::Sweep(Instant now) {
  const auto server = server_.lock();
  if (!server || closed_) return;
  CountAcknowledged(now);
  const Duration quiet = now - last_activity_;
  if ((writing_ || lingering_) && silence_.Exceeds(socket_, now)) {
    DiscardOnClose(socket_);
    return Close();
  }
  if (lingering_) {
    if (quiet > kLinger) FinishLinger();
  } else if (writing_) {
    if (WriteStalls(now)) Close();
  } else if (!pipeline_.empty()) {
    return;
  } else if (parser_ && !parser_->is_header_done()) {
    ErrorCode ignored;
    const bool late = now - message_start_ > server->limits().header_timeout;
    if (late && socket_.available(ignored) == 0) Refuse(kRequestTimeout);
  } else if (quiet > server->limits().idle_timeout) {
    parser_ ? Refuse(kRequestTimeout) : CloseUnlessArrived(ArrivedRequests::kServe);
  }
}

void ServerConnection::Linger() {
  lingering_ = true;
  ForgetUnbegun();
  ErrorCode ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  buffer_.Clear();
  ChargeUnread();
  Read();
}

void ServerConnection::LingerUnread() {
  lingering_ = true;
  leaves_unread_ = true;
  ErrorCode ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  Read();
}

void ServerConnection::FinishLinger() {
  // A close with unread bytes resets the connection, and what is not acknowledged is lost with it.
  if (!std::exchange(leaves_unread_, false) || IsAcknowledged(socket_)) return Close();
  Read();
}

void ServerConnection::Refuse(int status) {
  ForgetUnbegun();
  refusal_status_ = status;
  const auto server = server_.lock();
  if (status == kServiceUnavailable && server && server->closing())
    ++server->close_counts().refused;
  if (!busy()) WriteRefusal();
}

void ServerConnection::RefuseForRoom() {
  refused_for_room_ = true;
  if (const auto server = server_.lock()) server->CountRefusalForRoom();
  Refuse(kServiceUnavailable);
  buffer_.Clear();
  ChargeUnread();
}

Response ServerConnection::RoomRefusal() {
  Response response;
  response.status = kServiceUnavailable;
  response.fields.Add("Retry-After", kRoomRetryAfterSeconds);
  return response;
}

void ServerConnection::WriteRefusal() {
  if (refused_for_room_) return Write(RoomRefusal(), true);
  Response response;
  response.status = *refusal_status_;
  Write(std::move(response), true);
}

}  // namespace graniteseam::event_http
