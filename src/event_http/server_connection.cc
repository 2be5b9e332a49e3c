#include "src/event_http/server_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

#include "src/event_http/chunk_end.h"
#include "src/event_http/socket_options.h"

namespace graniteseam::event_http {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Statuses of the server's own answers (RFC 9110, section 15; RFC 6585, section 5).
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kServiceUnavailable = 503;
/// What a client may send ahead while requests are in progress and nothing further may begin.
constexpr std::size_t kReadAheadBytes = 65'536;
/// How long a client that was refused may go on sending, so that it sees why.
constexpr Duration kLinger{1'000'000};

}  // namespace

class ServerConnection::ExchangeImpl : public Exchange {
 public:
  ExchangeImpl(Request request, std::weak_ptr<ServerConnection> connection, Pipeline::Ticket ticket,
               Instant received_at, Duration connection_wait)
      : request_(std::move(request)),
        connection_(std::move(connection)),
        ticket_(ticket),
        received_at_(received_at),
        connection_wait_(connection_wait) {}

  const Request& request() const override { return request_; }
  Instant received_at() const override { return received_at_; }
  Duration connection_wait() const override { return connection_wait_; }
  void Respond(const Response& response) override {
    if (const auto connection = connection_.lock()) connection->Respond(ticket_, response);
  }
  void OnGone(std::function<void()> handler) override {
    const auto connection = connection_.lock();
    if (connection) connection->pipeline_.SetGoneHandler(ticket_, std::move(handler));
  }

 private:
  const Request request_;
  const std::weak_ptr<ServerConnection> connection_;
  const Pipeline::Ticket ticket_;
  const Instant received_at_;
  const Duration connection_wait_;
};

ServerConnection::ServerConnection(asio::ip::tcp::socket socket,
                                   const std::shared_ptr<Server::Impl>& server)
    : socket_(std::move(socket)),
      server_(server),
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

ServerConnection::ErrorCode ServerConnection::ReadArrived() {
  ErrorCode error;
  while (!error && buffer_.size() < kReadAheadBytes) error = ReadSome();
  return error;
}

ServerConnection::ErrorCode ServerConnection::ReadSome() {
  ErrorCode error;
  const std::size_t bytes = socket_.read_some(buffer_.BeginRead(), error);
  const std::size_t taken = error || lingering_ ? 0 : bytes;
  buffer_.EndRead(taken);
  read_times_.OnRead(taken, clock_());
  if (!error) last_activity_ = clock_();
  return error;
}

void ServerConnection::Close() {
  if (closed_) return;
  closed_ = true;
  ErrorCode ignored;
  socket_.close(ignored);
  piece_timer_.cancel();
  ReturnPacedBytes(paced_bytes_left_);
  ReturnUnbegunBytes();
  Pipeline::Remains remains = pipeline_.Clear();
  ReturnBytes(remains.body_bytes);
  for (const auto& handler : remains.gone_handlers) handler();
  if (const auto server = server_.lock()) server->Remove(shared_from_this());
}

void ServerConnection::Drop() {
  ReturnBytes(pipeline_.Clear().body_bytes);
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

// --- Reading ---

void ServerConnection::Read() {
  if (awaits_input_ || closed_ || input_ended_) return;
  if (busy() && buffer_.size() >= kReadAheadBytes) return;
  awaits_input_ = true;
  // What has arrived stays in the socket until it is handled, so that the socket tells of all of
  // it.
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](ErrorCode error) {
                       self->awaits_input_ = false;
                       self->OnReadable(error);
                     });
}

void ServerConnection::OnReadable(ErrorCode error) {
  if (closed_) return;
  if (leaves_unread_) {
    // Readable without bytes: the client has closed.
    if (socket_.available(error) == 0) Close();
    return;
  }
  if (!error) error = ReadSome();
  if (error == asio::error::would_block) return Read();
  // The client sends nothing more. It may still take the answer that is on its way; one that was
  // not made yet has nobody who waits for it, since a client that left looks the same.
  input_ended_ = error == asio::error::eof;
  if (input_ended_ && writing_) return;
  if (error) return Close();
  if (lingering_) return Read();  // What came was thrown away.
  Advance();
}

bool ServerConnection::TakesRequests() const {
  return !refusal_status_ && !write_closes_ && !input_ended_ && !lingering_ && !closed_;
}

bool ServerConnection::MayParse() const {
  if (next_ || !TakesRequests()) return false;
  // Without parallel requests, nothing is parsed before the response is written.
  const auto server = server_.lock();
  const bool parallel = server && server->options().may_run_beside;
  return parallel ? pipeline_.MayParse() : !busy();
}

void ServerConnection::Advance() {
  const auto server = server_.lock();
  if (!server) return Close();
  ParseRead(*server);
  Read();
}

void ServerConnection::ParseRead(Server::Impl& server) {
  if (parser_) ExpectContinue();
  Dispatch(server);
  while (MayParse() && !buffer_.empty()) {
    if (!ParseSome(server)) break;
  }
}

bool ServerConnection::ParseSome(Server::Impl& server) {
  if (!parser_) BeginMessage(server);
  if (!MayParseUnread(*parser_, buffer_.size())) return false;
  ErrorCode error;
  const std::size_t used = parser_->put(asio::buffer(buffer_.unread()), error);
  buffer_.Consume(used);
  read_times_.OnConsumed(used);
  if (error && error != http::error::need_more) {
    RefuseFor(error);
    return false;
  }
  const bool in_head = !parser_->is_header_done();
  if (in_head && head_limit_.Exceeded(used, buffer_.size())) {
    Refuse(kHeaderTooLarge);
    return false;
  }
  if (!in_head) TakeHead();
  if (!CountBody(server)) {
    Refuse(kServiceUnavailable);
    return false;
  }
  ExpectContinue();
  if (!parser_->is_done()) return used != 0;
  TakeParsed(server);
  Dispatch(server);
  return true;
}

void ServerConnection::BeginMessage(Server::Impl& server) {
  parser_.emplace();
  // Stops behind the head, whose fields are taken before those of a trailer join them.
  parser_->eager(false);
  parser_->header_limit(static_cast<std::uint32_t>(server.limits().header_bytes));
  head_limit_.Begin(server.limits().header_bytes);
  head_is_taken_ = false;
  parser_->body_limit(server.limits().body_bytes);
  message_start_ = clock_();
  continued_ = false;
}

/// Fields of a trailer are left out (RFC 9110, section 6.5.1): a request is judged by its head,
/// and a trailer could add a key, an id or a tenant to it.
void ServerConnection::TakeHead() {
  if (std::exchange(head_is_taken_, true)) return;
  head_fields_ = {};
  for (const auto& field : parser_->get()) {
    head_fields_.Add({field.name_string().data(), field.name_string().size()},
                     {field.value().data(), field.value().size()});
  }
  parser_->eager(true);
}

bool ServerConnection::CountBody(Server::Impl& server) {
  const std::size_t size = parser_->get().body().size();
  if (size <= counted_bytes_) return true;
  if (!server.TakeBodyBytes(size - counted_bytes_)) return false;
  counted_bytes_ = size;
  return true;
}

void ServerConnection::ReturnBytes(std::size_t bytes) {
  if (const auto server = server_.lock()) server->ReturnBodyBytes(bytes);
}

void ServerConnection::ReturnUnbegunBytes() {
  ReturnBytes(std::exchange(counted_bytes_, 0));
  if (next_) ReturnBytes(next_->body_bytes);
  next_.reset();
}

/// A client that waits for leave to send its body gets it (RFC 9110, section 10.1.1), but not
/// before the responses to earlier requests: it would take it for a part of those.
void ServerConnection::ExpectContinue() {
  if (continued_ || busy() || !parser_->is_header_done() || parser_->is_done()) return;
  continued_ = true;
  if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) return;
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  ErrorCode ignored;
  socket_.write_some(asio::buffer(kContinue), ignored);
}

// --- Requests ---

void ServerConnection::TakeParsed(Server::Impl& server) {
  ParsedRequest parsed;
  parsed.keep_alive = parser_->keep_alive();
  auto message = parser_->release();
  parser_.reset();
  parsed.request.method = std::string(message.method_string());
  parsed.request.target = std::string(message.target());
  parsed.request.fields = std::move(head_fields_);
  parsed.request.body = std::move(message.body());
  parsed.body_bytes = std::exchange(counted_bytes_, 0);
  parsed.received_at = read_times_.last_consumed_at();
  parsed.beside = server.MayRunBeside(parsed.request);
  next_ = std::move(parsed);
}

bool ServerConnection::Dispatch(Server::Impl& server) {
  if (!next_ || !TakesRequests()) return false;
  if (!pipeline_.Admits(next_->beside)) return false;
  // It came whole only after the close, when its answer might come too late.
  if (server.closing() && !serves_while_closing_) {
    Refuse(kServiceUnavailable);
    return false;
  }
  ParsedRequest parsed = *std::move(next_);
  next_.reset();
  const auto ticket = pipeline_.Add(parsed.beside, !parsed.keep_alive, parsed.body_bytes);
  server.Handle(std::make_shared<ExchangeImpl>(std::move(parsed.request), weak_from_this(), ticket,
                                               parsed.received_at, clock_() - parsed.received_at));
  return true;
}

// --- Responses ---

void ServerConnection::Respond(Pipeline::Ticket ticket, const Response& response) {
  if (closed_ || !pipeline_.IsOpen(ticket)) return;
  ReturnBytes(pipeline_.Finish(ticket, response));
  WriteNext();
}

void ServerConnection::WriteNext() {
  if (writing_) return;
  auto ready = pipeline_.TakeReady();
  if (!ready) return;
  const auto server = server_.lock();
  // The caller sends again what came behind the answer that ends the connection, so it is the last
  // answer in progress. After a close, what was sent ahead is refused instead.
  if (server && server->draining() && !server->closing() && !refusal_status_) {
    pipeline_.EndWithLast();
  }
  // What the client sent ahead of a request that ran alone is answered before the connection ends.
  const bool leaves = !server || server->draining() || server->closing();
  ErrorCode ignored;
  const bool nothing_behind = ready->last && !next_ && !parser_ && !refusal_status_ &&
                              buffer_.empty() && (!leaves || socket_.available(ignored) == 0);
  const bool close = ready->ends_connection || (leaves && nothing_behind);
  Write(Serialize(ready->response, close), close, ready->response.bulk);
}

void ServerConnection::Write(std::string text, bool close, bool bulk) {
  writing_ = true;
  write_closes_ = close;
  output_ = std::move(text);
  written_bytes_ = 0;
  last_activity_ = last_written_ = clock_();
  const auto server = server_.lock();
  if (!bulk || !server || !server->pacer().Paces(output_.size())) return WriteSome(output_.size());
  paced_bytes_left_ = output_.size();
  server->pacer().Add(paced_bytes_left_);
  WritePiece();
}

void ServerConnection::WriteSome(std::size_t bytes) {
  asio::async_write(
      socket_, asio::buffer(output_.data() + written_bytes_, bytes),
      [self = shared_from_this(), begin = written_bytes_](ErrorCode error, std::size_t taken) {
        self->OnTaken(begin + taken);
        return asio::transfer_all()(error, taken);
      },
      [self = shared_from_this(), begin = written_bytes_](ErrorCode error, std::size_t taken) {
        self->OnTaken(begin + taken);
        const bool more = !error && self->written_bytes_ < self->output_.size();
        more ? self->WritePiece() : self->OnWritten(error);
      });
}

void ServerConnection::OnTaken(std::size_t written_bytes) {
  written_bytes_ = written_bytes;
  last_activity_ = last_written_ = clock_();
}

void ServerConnection::WritePiece() {
  const auto server = server_.lock();
  if (!server) return Close();
  const std::size_t bytes = std::min(WritePacer::kPieceBytes, output_.size() - written_bytes_);
  piece_timer_.expires_after(server->pacer().Reserve(bytes, clock_()));
  // The timer is cancelled when there is nothing to wait for any more.
  piece_timer_.async_wait([self = shared_from_this(), bytes](ErrorCode) {
    if (!self->closed_) self->WriteDue(bytes);
  });
}

void ServerConnection::WriteDue(std::size_t piece_bytes) {
  const auto server = server_.lock();
  if (!server) return Close();
  const std::size_t left = output_.size() - written_bytes_ - piece_bytes;
  const std::size_t bytes = piece_bytes + server->pacer().MakeUp(left, clock_());
  ReturnPacedBytes(bytes);
  WriteSome(bytes);
}

void ServerConnection::ReturnPacedBytes(std::size_t bytes) {
  paced_bytes_left_ -= bytes;
  if (const auto server = server_.lock()) server->pacer().Remove(bytes);
}

void ServerConnection::OnWritten(ErrorCode error) {
  if (closed_) return;
  writing_ = false;
  output_.clear();
  output_.shrink_to_fit();
  written_bytes_ = 0;
  last_activity_ = clock_();
  // A message that is being parsed has its time from here on.
  message_start_ = last_activity_;
  if (error) return Close();
  // A client that ended its sending has nothing left that could reset the answer.
  if (write_closes_) return input_ended_ ? Close() : Linger();
  WriteNext();
  if (writing_) return Advance();
  // Nobody waits for responses that were not made yet.
  if (input_ended_) return Close();
  if (pipeline_.empty() && refusal_status_) return WriteRefusal();
  const auto server = server_.lock();
  // The server was closed amid an answer that did not say so.
  if (server && server->closing() && pipeline_.empty()) {
    const bool idle = buffer_.empty() && !next_ && !parser_;
    return idle ? CloseUnlessArrived(ArrivedRequests::kRefuse) : Refuse(kServiceUnavailable);
  }
  Advance();
}

void ServerConnection::Linger() {
  lingering_ = true;
  parser_.reset();
  ReturnUnbegunBytes();
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

void ServerConnection::RefuseFor(ErrorCode error) {
  if (error == http::error::header_limit) return Refuse(kHeaderTooLarge);
  if (error == http::error::body_limit) return Refuse(kBodyTooLarge);
  Refuse(kBadRequest);
}

void ServerConnection::Refuse(int status) {
  parser_.reset();
  ReturnUnbegunBytes();
  refusal_status_ = status;
  const auto server = server_.lock();
  if (status == kServiceUnavailable && server && server->closing())
    ++server->close_counts().refused;
  if (!busy()) WriteRefusal();
}

void ServerConnection::WriteRefusal() {
  Response response;
  response.status = *refusal_status_;
  Write(Serialize(response, true), true);
}

}  // namespace graniteseam::event_http
