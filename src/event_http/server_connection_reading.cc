// How a connection reads its requests and begins them.
#include <utility>

#include "src/event_http/server_connection.h"
#include "src/event_http/server_statuses.h"
#include "src/runtime/chunk_end.h"

namespace graniteseam::event_http {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// What a client may send ahead while requests are in progress and nothing further may begin.
constexpr std::size_t kReadAheadBytes = 65'536;
/// Larger messages leave the room that the account reserves to others.
constexpr std::size_t kSmallMessageBytes = 65'536;
constexpr std::string_view kLineEnd = "\r\n";

}  // namespace

class ServerConnection::ExchangeImpl : public Exchange {
 public:
  ExchangeImpl(ParsedRequest parsed, std::weak_ptr<ServerConnection> connection,
               Pipeline::Ticket ticket, Duration connection_wait)
      : parsed_(std::move(parsed)),
        connection_(std::move(connection)),
        ticket_(ticket),
        connection_wait_(connection_wait) {}

  const Request& request() const override { return parsed_.request; }
  Instant received_at() const override { return parsed_.received_at; }
  Duration connection_wait() const override { return connection_wait_; }
  void Respond(Response response) override {
    const auto connection = connection_.lock();
    if (connection) connection->Respond(ticket_, std::move(response));
  }
  void OnGone(std::function<void()> handler) override {
    const auto connection = connection_.lock();
    if (connection) connection->pipeline_.SetGoneHandler(ticket_, std::move(handler));
  }

 private:
  const ParsedRequest parsed_;
  const std::weak_ptr<ServerConnection> connection_;
  const Pipeline::Ticket ticket_;
  const Duration connection_wait_;
};

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

ServerConnection::ErrorCode ServerConnection::ReadArrived() {
  ErrorCode error;
  while (!error && buffer_.size() < kReadAheadBytes) error = ReadSome();
  return error;
}

ServerConnection::ErrorCode ServerConnection::ReadSome() {
  const auto server = server_.lock();
  if (!server) return asio::error::operation_aborted;
  std::vector<char>& area = server->read_area();
  ErrorCode error;
  const std::size_t bytes = socket_.read_some(asio::buffer(area), error);
  const std::size_t taken = error || lingering_ || refused_for_room_ ? 0 : bytes;
  buffer_.Append({area.data(), taken});
  const Instant now = clock_();
  read_times_.OnRead(taken, now);
  if (!error) last_activity_ = now;
  if (parser_) upload_rate_.Record(taken, now);
  return error;
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
  if (!ChargeUnread()) return RefuseForRoom();
  if (parser_) ExpectContinue();
  Dispatch(server);
  while (MayParse() && !buffer_.empty()) {
    if (!ParseSome(server)) break;
  }
  // Less than before: bytes were parsed.
  ChargeUnread();
}

bool ServerConnection::ParseSome(Server::Impl& server) {
  if (!parser_) BeginMessage(server);
  if (!runtime::MayParseUnread(*parser_, buffer_.size())) return false;
  ErrorCode error;
  const std::size_t used = parser_->put(asio::buffer(buffer_.unread()), error);
  if (!head_is_taken_) head_.Add(buffer_.unread().substr(0, used));
  buffer_.Consume(used);
  read_times_.OnConsumed(used);
  if (error && error != http::error::need_more) {
    RefuseFor(error);
    return false;
  }
  if (head_.TooMany()) {
    Refuse(kHeaderTooLarge);
    return false;
  }
  if (!head_is_taken_ && parser_->is_header_done()) {
    TakeHead();
  } else if (FramingExceeded(used)) {
    Refuse(InChunkLine() ? kBadRequest : kHeaderTooLarge);
    return false;
  }
  if (!ChargeMessage()) {
    RefuseForRoom();
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
  framing_limit_.Begin(server.limits().header_bytes);
  head_is_taken_ = false;
  head_ = {};
  message_charge_ = MakeCharge(account_);
  parser_->body_limit(server.limits().body_bytes);
  message_start_ = clock_();
  upload_rate_.Start(message_start_);
  continued_ = false;
}

/// Fields of a trailer are left out (RFC 9110, section 6.5.1): a request is judged by its head,
/// and a trailer could add a key, an id or a tenant to it.
void ServerConnection::TakeHead() {
  head_is_taken_ = true;
  framing_limit_.EndHead();
  head_fields_ = {};
  for (const auto& field : parser_->get()) {
    head_fields_.Add({field.name_string().data(), field.name_string().size()},
                     {field.value().data(), field.value().size()});
  }
  parser_->eager(true);
}

/// What the parser left of a message that is not whole belongs to a line that is not whole.
bool ServerConnection::FramingExceeded(std::size_t consumed) {
  const std::size_t unread = parser_->is_done() ? 0 : buffer_.size();
  return framing_limit_.Exceeded(consumed, parser_->get().body().size(), unread);
}

/// The parser takes the line of the last chunk together with the trailer.
bool ServerConnection::InChunkLine() const {
  if (!head_is_taken_ || parser_->is_done()) return false;
  std::string_view line = buffer_.unread();
  if (line.starts_with(kLineEnd)) line.remove_prefix(kLineEnd.size());
  return line.find(kLineEnd) == std::string_view::npos;
}

bool ServerConnection::ChargeMessage() {
  const std::size_t bytes = head_.held_bytes() + parser_->get().body().capacity();
  const bool small = bytes <= kSmallMessageBytes;
  return message_charge_->Set(bytes, small ? ChargeSize::kSmall : ChargeSize::kLarge, this);
}

bool ServerConnection::ChargeUnread() {
  return unread_charge_.Set(buffer_.held_bytes(), ChargeSize::kSmall, this);
}

void ServerConnection::ForgetUnbegun() {
  parser_.reset();
  message_charge_.reset();
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

void ServerConnection::TakeParsed(Server::Impl& server) {
  ParsedRequest parsed;
  parsed.keep_alive = parser_->keep_alive();
  auto message = parser_->release();
  parser_.reset();
  parsed.request.method = std::string(message.method_string());
  parsed.request.target = std::string(message.target());
  parsed.request.fields = std::move(head_fields_);
  parsed.request.body = std::move(message.body()).Join();
  message_charge_->Set(head_.held_bytes() + parsed.request.body.capacity(), ChargeSize::kLarge);
  parsed.charge = std::move(message_charge_);
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
  const auto ticket = pipeline_.Add(parsed.beside, !parsed.keep_alive);
  const Duration wait = clock_() - parsed.received_at;
  server.Handle(std::make_shared<ExchangeImpl>(std::move(parsed), weak_from_this(), ticket, wait));
  return true;
}

void ServerConnection::RefuseFor(ErrorCode error) {
  if (error == http::error::header_limit) return Refuse(kHeaderTooLarge);
  if (error == http::error::body_limit) return Refuse(kBodyTooLarge);
  Refuse(kBadRequest);
}

}  // namespace graniteseam::event_http
