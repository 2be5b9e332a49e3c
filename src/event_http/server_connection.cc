#include "src/event_http/server_connection.h"

#include <utility>

#include "src/event_http/server_statuses.h"
#include "src/event_http/socket_options.h"

namespace graniteseam::event_http {
namespace {

namespace asio = boost::asio;

/// How long a client that was refused may go on sending, so that it sees why.
constexpr Duration kLinger{1'000'000};

}  // namespace

ServerConnection::ServerConnection(asio::ip::tcp::socket socket,
                                   const std::shared_ptr<Server::Impl>& server)
    : socket_(std::move(socket)),
      server_(server),
      account_(server->account()),
      clock_(server->options().clock),
      pipeline_({server->options().requests_ahead_maximum, server->options().answer_bytes_ahead}),
      piece_timer_(socket_.get_executor()) {}

void ServerConnection::Start() {
  SetSocketOptions(socket_);
  ErrorCode ignored;
  socket_.non_blocking(true, ignored);
  last_activity_ = clock_();
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
  closed_ = true;
  ErrorCode ignored;
  socket_.close(ignored);
  piece_timer_.cancel();
  ReturnPacedBytes(paced_bytes_left_);
  ForgetUnbegun();
  buffer_.Clear();
  output_.Clear();
  for (const auto& handler : pipeline_.Clear()) handler();
  if (const auto server = server_.lock()) server->Remove(shared_from_this());
}

void ServerConnection::Drop() {
  pipeline_.Clear();
  Close();
}

void ServerConnection::Sweep(Instant now) {
  const auto server = server_.lock();
  if (!server || closed_) return;
  const Duration quiet = now - last_activity_;
  if (lingering_) {
    if (quiet > kLinger) FinishLinger();
  } else if (writing_) {
    if (now - last_written_ > server->options().write_timeout) Close();
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

void ServerConnection::WriteRefusal() {
  Response response;
  response.status = *refusal_status_;
  Write(std::move(response), true);
}

}  // namespace graniteseam::event_http
