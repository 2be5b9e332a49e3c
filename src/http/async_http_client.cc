// The only file of this component that sees Boost.Beast.
#include "src/http/async_http_client.h"

// Beast's templates compare with 0 where they are instantiated, which is here.
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"

#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <optional>
#include <utility>

#include "src/runtime/answer_status.h"
#include "src/runtime/chunk_end.h"

namespace graniteseam::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

using ErrorCode = boost::system::error_code;
/// What of an answer may be read and not parsed yet: a part of a body, or a line of its framing.
constexpr std::size_t kUnparsedBytesMaximum = std::size_t{128} << 10;
/// Of one read.
constexpr std::size_t kReadBytes = std::size_t{16} << 10;

using Response = beast::http::response_parser<beast::http::string_body>;

Error TransportError(const runtime::SocketAddress& address, ErrorCode error) {
  const bool malformed =
      error.category() == beast::http::make_error_code(beast::http::error::bad_version).category();
  if (error == beast::http::error::body_limit || error == beast::http::error::header_limit ||
      error == beast::http::error::buffer_overflow) {
    return {ErrorKind::kTooLarge, ToString(address) + " sent an answer that is too long.",
            "Correct the program at that address."};
  }
  if (malformed && error != beast::http::error::end_of_stream) {
    return {ErrorKind::kMalformedMessage,
            ToString(address) + " sent no HTTP answer: " + error.message() + ".",
            "Correct the program at that address."};
  }
  return {ErrorKind::kTransport,
          "No answer from " + ToString(address) + ": " + error.message() + ".",
          "Check the program at that address and the network between."};
}

}  // namespace

/// One connection with its buffers. Lives as long as an operation is under way on it.
class AsyncHttpClient::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(runtime::EventLoop& loop, runtime::SocketAddress address, TlsContext* tls)
      : stream_(loop.context()), address_(std::move(address)) {
    if (tls != nullptr) UseTls(*tls);
  }

  void Start(HttpCall call, Duration limit, Handler handler);
  /// Drops the handler, so that nothing of the call under way is told any more.
  void Abandon() {
    handler_ = {};
    Close();
  }

  bool busy() const { return static_cast<bool>(handler_); }
  /// Whether the connection may take a call: open, and silent. Bytes that wait here belong to no
  /// call.
  bool usable() { return !closed_ && (!connected_ || Silent()); }

 private:
  void Close();
  bool Silent();
  void UseTls(TlsContext& tls);
  void Connect();
  void OnConnected();
  void Prepare(HttpCall call);
  void PrepareParser();
  template <class Operation>
  void OnStream(Operation operation);
  void Write();
  void OnWritten(ErrorCode error);
  void Read();
  void OnBytes(ErrorCode error, std::size_t bytes);
  /// Parses what was read, as far as the parser takes it, and drops interim answers.
  /// @return no error when more is needed.
  ErrorCode Parse();
  /// The peer sends no more: that ends an answer without a length, and cuts off every other.
  void OnEnd();
  void OnWhole();
  void Finish(const Outcome<HttpReply>& reply);
  void FailWith(ErrorCode error);

  beast::tcp_stream stream_;
  std::optional<asio::ssl::context> tls_context_;
  std::optional<asio::ssl::stream<beast::tcp_stream&>> tls_stream_;  ///< Present when TLS is on.
  runtime::SocketAddress address_;
  beast::flat_buffer buffer_{kUnparsedBytesMaximum};
  beast::http::request<beast::http::string_body> request_;
  std::optional<Response> response_;
  int interim_answers_ = 0;  ///< To the present call.
  Handler handler_;
  bool connected_ = false;
  bool closed_ = false;
};

void AsyncHttpClient::Session::Start(HttpCall call, Duration limit, Handler handler) {
  handler_ = std::move(handler);
  Prepare(std::move(call));
  stream_.expires_after(limit);
  if (connected_) return Write();
  Connect();
}

bool AsyncHttpClient::Session::Silent() {
  if (tls_stream_ && SSL_has_pending(tls_stream_->native_handle()) != 0) return false;
  char byte = 0;
  const ssize_t peeked =
      ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void AsyncHttpClient::Session::UseTls(TlsContext& tls) {
  const std::shared_ptr<SSL_CTX> context = tls.Current();
  SSL_CTX_up_ref(context.get());  // asio's context gives it back.
  tls_context_.emplace(context.get());
  tls_stream_.emplace(stream_, *tls_context_);
  X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(tls_stream_->native_handle()), address_.ip.c_str());
}

/// Runs `operation` on the TLS stream or, when TLS is off, on the plain one.
template <class Operation>
void AsyncHttpClient::Session::OnStream(Operation operation) {
  if (tls_stream_) {
    operation(*tls_stream_);
  } else {
    operation(stream_);
  }
}

void AsyncHttpClient::Session::Connect() {
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address_.ip), address_.port);
  stream_.async_connect(endpoint, [self = shared_from_this()](ErrorCode error) {
    if (error) return self->FailWith(error);
    self->OnConnected();
  });
}

void AsyncHttpClient::Session::OnConnected() {
  connected_ = true;
  ErrorCode ignored;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  if (!tls_stream_) return Write();
  tls_stream_->async_handshake(asio::ssl::stream_base::client,
                               [self = shared_from_this()](ErrorCode error) {
                                 if (error) return self->FailWith(error);
                                 self->Write();
                               });
}

void AsyncHttpClient::Session::Prepare(HttpCall call) {
  request_ = {};
  request_.version(11);
  request_.method(call.post ? beast::http::verb::post : beast::http::verb::get);
  request_.target(call.target);
  request_.set(beast::http::field::host, ToString(address_));
  if (call.post) request_.set(beast::http::field::content_type, "application/json");
  request_.body() = std::move(call.body);
  request_.prepare_payload();
  interim_answers_ = 0;
  PrepareParser();
}

void AsyncHttpClient::Session::PrepareParser() {
  response_.emplace();
  response_->eager(true);
  response_->body_limit(kReplyBytesMaximum);
}

void AsyncHttpClient::Session::Write() {
  OnStream([this](auto& stream) {
    beast::http::async_write(stream, request_,
                             [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                               self->OnWritten(error);
                             });
  });
}

void AsyncHttpClient::Session::OnWritten(ErrorCode error) { error ? FailWith(error) : Read(); }

void AsyncHttpClient::Session::Read() {
  const std::size_t room = buffer_.max_size() - buffer_.size();
  if (room == 0) return FailWith(beast::http::error::buffer_overflow);
  OnStream([&](auto& stream) {
    stream.async_read_some(buffer_.prepare(std::min(room, kReadBytes)),
                           [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                             self->OnBytes(error, bytes);
                           });
  });
}

void AsyncHttpClient::Session::OnBytes(ErrorCode error, std::size_t bytes) {
  if (error == asio::error::eof) return OnEnd();
  if (error) return FailWith(error);
  buffer_.commit(bytes);
  if (const ErrorCode malformed = Parse()) return FailWith(malformed);
  response_->is_done() ? OnWhole() : Read();
}

ErrorCode AsyncHttpClient::Session::Parse() {
  while (!response_->is_done() && runtime::MayParseUnread(*response_, buffer_.size())) {
    ErrorCode error;
    const std::size_t used = response_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error && error != beast::http::error::need_more) return error;
    if (response_->is_header_done()) {
      const runtime::StatusClass status =
          runtime::ClassOfStatus(static_cast<int>(response_->get().result_int()));
      if (status == runtime::StatusClass::kInvalid) return beast::http::error::bad_status;
      if (status == runtime::StatusClass::kInterim) {
        if (++interim_answers_ > runtime::kInterimAnswersMaximum)
          return beast::http::error::bad_status;
        PrepareParser();
      }
    }
    if (used == 0 || buffer_.size() == 0) break;
  }
  return {};
}

void AsyncHttpClient::Session::OnEnd() {
  ErrorCode error = beast::http::error::end_of_stream;
  if (response_->got_some()) {
    error = {};
    response_->put_eof(error);
  }
  if (error) return FailWith(error);
  response_->is_done() ? OnWhole() : FailWith(beast::http::error::partial_message);
}

void AsyncHttpClient::Session::OnWhole() {
  auto message = response_->release();
  if (!message.keep_alive() || buffer_.size() > 0) Close();
  Finish(HttpReply{static_cast<int>(message.result_int()), std::move(message.body())});
}

void AsyncHttpClient::Session::FailWith(ErrorCode error) {
  Close();
  Finish(TransportError(address_, error));
}

void AsyncHttpClient::Session::Finish(const Outcome<HttpReply>& reply) {
  stream_.expires_never();
  // Taken out first: the handler may start the next call.
  const Handler handler = std::exchange(handler_, {});
  if (handler) handler(reply);
}

void AsyncHttpClient::Session::Close() {
  closed_ = true;
  stream_.close();
}

AsyncHttpClient::AsyncHttpClient(runtime::EventLoop& loop, runtime::SocketAddress address,
                                 std::shared_ptr<TlsContext> tls)
    : loop_(loop), address_(std::move(address)), tls_(std::move(tls)) {}

AsyncHttpClient::~AsyncHttpClient() { Abandon(); }

void AsyncHttpClient::Start(HttpCall call, Duration limit, Handler handler) {
  if (!tls_ && !runtime::IsLoopback(address_)) {
    return handler(Error{ErrorKind::kPermissionDenied,
                         ToString(address_) + " is not on this machine and TLS is off.",
                         "Set server_tls_ca, or use loopback addresses only."});
  }
  if (!session_ || !session_->usable()) {
    session_ = std::make_shared<Session>(loop_, address_, tls_.get());
  }
  session_->Start(std::move(call), limit, std::move(handler));
}

void AsyncHttpClient::Abandon() {
  if (!session_) return;
  session_->Abandon();
  session_.reset();
}

bool AsyncHttpClient::busy() const { return session_ && session_->busy(); }

}  // namespace graniteseam::http
