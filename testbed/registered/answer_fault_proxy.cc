#include "testbed/registered/answer_fault_proxy.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "graniteseam/common/time.h"
#include "src/runtime/listen.h"
#include "testbed/registered/listening.h"

namespace graniteseam::testbed {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Parser = http::response_parser<http::string_body>;

/// A surplus answer follows so soon that it arrives beside a retry.
constexpr std::int64_t kSurplusWithinMs = 60;
constexpr std::size_t kReadBytes = 16'384;
/// One answer in so many that get a fault does not end: each may take much of its client's time.
constexpr std::uint64_t kFaultsPerEndless = 16;
constexpr auto kFirstEndless = static_cast<std::size_t>(AnswerFault::kEndlessHead);
/// An endless answer goes on by this at a time.
constexpr std::size_t kEndlessPieceBytes = 16'384;
constexpr std::chrono::milliseconds kEndlessPause{1};
constexpr char kMalformedAnswer[] = "HTTP/7 fine\r\n\x01\x02: \r\n\r\n";
constexpr char kInterimAnswer[] = "HTTP/1.1 103 Early Hints\r\n\r\n";

auto ToEndpoint(runtime::SocketAddress const& address) -> Tcp::endpoint {
  return {asio::ip::make_address(address.ip), address.port};
}

}  // namespace

auto NameOf(AnswerFault fault) -> std::string_view {
  constexpr std::array<std::string_view, kAnswerFaults> kNames = {"none",
                                                                  "repeated",
                                                                  "rejection_appended",
                                                                  "reset",
                                                                  "closed",
                                                                  "cut",
                                                                  "withheld",
                                                                  "malformed",
                                                                  "unmarked",
                                                                  "interim",
                                                                  "undelimited",
                                                                  "endless_head",
                                                                  "endless_body",
                                                                  "endless_extension",
                                                                  "endless_trailer"};
  return kNames[static_cast<std::size_t>(fault)];
}

/// Everything runs on the proxy's event loop.
class AnswerFaultProxy::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, AnswerFaultOptions options, Tcp::endpoint server)
      : context_(context),
        acceptor_(context),
        options_(std::move(options)),
        server_(std::move(server)),
        random_(options_.seed) {}

  auto Listen(runtime::SocketAddress const& address) -> void;
  auto Accept() -> void;

  auto context() -> asio::io_context& { return context_; }
  auto options() const -> AnswerFaultOptions const& { return options_; }
  auto server() const -> Tcp::endpoint const& { return server_; }

  auto Draw(bool names_attempt) -> AnswerFault;
  auto DrawDelay() -> std::chrono::milliseconds {
    return std::chrono::milliseconds(random_() % kSurplusWithinMs);
  }
  auto DrawBool() -> bool { return random_() % 2 == 0; }

 private:
  asio::io_context& context_;
  Tcp::acceptor acceptor_;
  AnswerFaultOptions const options_;
  Tcp::endpoint const server_;
  std::mt19937_64 random_;
};

namespace {

/// One client's connection and the one to the server that it is joined to.
template <class Proxy>
class Session : public std::enable_shared_from_this<Session<Proxy>> {
 public:
  Session(std::shared_ptr<Proxy> proxy, Tcp::socket client)
      : proxy_(std::move(proxy)),
        client_(std::move(client)),
        server_(proxy_->context()),
        endless_timer_(proxy_->context()) {}

  auto Start() -> void {
    ErrorCode ignored;
    client_.set_option(Tcp::no_delay(true), ignored);
    server_.async_connect(proxy_->server(), [self = this->shared_from_this()](ErrorCode error) {
      if (error) return self->Close(true);
      ErrorCode none;
      self->server_.set_option(Tcp::no_delay(true), none);
      self->ReadClient();
      self->ReadServer();
    });
  }

 private:
  auto ReadClient() -> void {
    client_.async_read_some(asio::buffer(from_client_), [self = this->shared_from_this()](
                                                            ErrorCode error, std::size_t bytes) {
      if (self->closed_) return;
      if (error) return self->Close(true);
      self->WriteKeptBack();
      asio::async_write(self->server_, asio::buffer(self->from_client_, bytes),
                        [self](ErrorCode failed, std::size_t) {
                          if (self->closed_ || failed) return;
                          self->ReadClient();
                        });
    });
  }

  /// A surplus answer behind the begin of an endless one would end that, and make it a whole answer
  /// that no server gave.
  auto MayWriteSurplus() const -> bool { return !closes_ && endless_piece_.empty(); }

  auto WriteKeptBack() -> void {
    for (auto& surplus : std::exchange(kept_back_, {})) {
      if (MayWriteSurplus()) Write(std::move(surplus));
    }
  }

  auto ReadServer() -> void {
    server_.async_read_some(asio::buffer(from_server_),
                            [self = this->shared_from_this()](ErrorCode error, std::size_t bytes) {
                              if (self->closed_) return;
                              if (error) return self->CloseWhenWritten(error != asio::error::eof);
                              self->unread_.append(self->from_server_.data(), bytes);
                              self->ParseAnswers();
                              if (!self->closed_) self->ReadServer();
                            });
  }

  auto ParseAnswers() -> void {
    while (!unread_.empty() && !closed_) {
      if (!parser_) {
        parser_.emplace();
        parser_->eager(true);
        parser_->body_limit(boost::none);
      }
      ErrorCode error;
      auto const used = parser_->put(asio::buffer(unread_), error);
      answer_.append(unread_, 0, used);
      unread_.erase(0, used);
      if (error && error != http::error::need_more) return Close(true);
      if (!parser_->is_done()) return;
      TakeAnswer();
      parser_.reset();
      answer_.clear();
    }
  }

  auto TakeAnswer() -> void {
    auto const& options = proxy_->options();
    auto const id = parser_->get()[options.attempt_id];
    auto const fault = withholds_ ? AnswerFault::kWithheld : proxy_->Draw(!id.empty());
    if (options.counts) options.counts->Add(fault);
    auto const half = answer_.size() / 2;
    switch (fault) {
      case AnswerFault::kNone:
        return Write(answer_);
      case AnswerFault::kRepeated:
        Write(answer_);
        return proxy_->DrawBool() ? WriteLater(answer_) : kept_back_.push_back(answer_);
      case AnswerFault::kRejectionAppended:
        Write(answer_);
        return WriteLater(Failure(503, id, /*marked=*/true));
      case AnswerFault::kReset:
        return Close(true);
      case AnswerFault::kClosed:
        return CloseWhenWritten(false);
      case AnswerFault::kCut:
        Write(answer_.substr(0, half));
        return CloseWhenWritten(proxy_->DrawBool());
      case AnswerFault::kWithheld:
        withholds_ = true;
        return;
      case AnswerFault::kMalformed:
        Write(kMalformedAnswer);
        return CloseWhenWritten(false);
      case AnswerFault::kUnmarked:
        return Write(Failure(proxy_->DrawBool() ? 503 : 429, id, /*marked=*/false));
      case AnswerFault::kInterim:
        return Write(kInterimAnswer + answer_);
      case AnswerFault::kUndelimited:
        Write(HalfWithoutLength());
        return CloseWhenWritten(true);
      case AnswerFault::kEndlessHead:
        return WriteEndless(Begin(id) + "Long: ", "x");
      case AnswerFault::kEndlessBody:
        return WriteEndless(Begin(id) + "\r\n", "x");
      case AnswerFault::kEndlessExtension:
        return WriteEndless(Begin(id) + "Transfer-Encoding: chunked\r\n\r\n4;", "x");
      case AnswerFault::kEndlessTrailer:
        return WriteEndless(Begin(id) + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: 1\r\n");
    }
  }

  /// The whole head but for the field that states the length, and half of the body.
  auto HalfWithoutLength() const -> std::string {
    auto const head_end = answer_.find("\r\n\r\n") + 4;
    auto text = answer_.substr(0, head_end + (answer_.size() - head_end) / 2);
    auto const field = text.find("\r\nContent-Length:");
    if (field != std::string::npos) text.erase(field, text.find("\r\n", field + 2) - field);
    return text;
  }

  auto Failure(int status, std::string_view id, bool marked) const -> std::string {
    auto const& options = proxy_->options();
    auto text = "HTTP/1.1 " + std::to_string(status) + " Failure\r\nContent-Length: 0\r\n";
    text += options.attempt_id + ": " + std::string(id) + "\r\n";
    if (marked) text += options.not_executed + ": 1\r\n";
    return text + "\r\n";
  }

  /// The begin of the head of a success.
  auto Begin(std::string_view id) const -> std::string {
    return "HTTP/1.1 200 OK\r\n" + proxy_->options().attempt_id + ": " + std::string(id) + "\r\n";
  }

  /// Later answers are withheld.
  auto WriteEndless(std::string begin, std::string_view repeated) -> void {
    withholds_ = true;
    while (endless_piece_.size() < kEndlessPieceBytes) endless_piece_ += repeated;
    Write(std::move(begin));
  }

  auto WriteLater(std::string text) -> void {
    auto timer = std::make_shared<asio::steady_timer>(proxy_->context(), proxy_->DrawDelay());
    timer->async_wait([self = this->shared_from_this(), timer, text = std::move(text)](auto) {
      if (!self->closed_ && self->MayWriteSurplus()) self->Write(text);
    });
  }

  auto Write(std::string text) -> void {
    output_.push_back(std::move(text));
    WriteNext();
  }

  auto WriteNext() -> void {
    if (writing_) return;
    if (output_.empty()) {
      if (closes_) return Close(resets_);
      if (!endless_piece_.empty()) WriteNextPiece();
      return;
    }
    writing_ = true;
    asio::async_write(client_, asio::buffer(output_.front()),
                      [self = this->shared_from_this()](ErrorCode error, std::size_t) {
                        self->writing_ = false;
                        if (self->closed_) return;
                        if (error) return self->Close(true);
                        self->output_.pop_front();
                        self->WriteNext();
                      });
  }

  auto WriteNextPiece() -> void {
    endless_timer_.expires_after(kEndlessPause);
    endless_timer_.async_wait([self = this->shared_from_this()](ErrorCode error) {
      if (!error && !self->closed_) self->Write(self->endless_piece_);
    });
  }

  auto CloseWhenWritten(bool resets) -> void {
    closes_ = true;
    resets_ = resets;
    WriteNext();
  }

  auto Close(bool resets) -> void {
    if (std::exchange(closed_, true)) return;
    ErrorCode ignored;
    if (resets) client_.set_option(asio::socket_base::linger(true, 0), ignored);
    client_.close(ignored);
    server_.close(ignored);
    endless_timer_.cancel();
  }

  std::shared_ptr<Proxy> const proxy_;
  Tcp::socket client_;
  Tcp::socket server_;
  asio::steady_timer endless_timer_;
  std::array<char, kReadBytes> from_client_{};
  std::array<char, kReadBytes> from_server_{};
  std::string unread_;
  std::string answer_;  ///< Bytes of the answer that is being parsed.
  std::optional<Parser> parser_;
  std::deque<std::string> output_;
  std::vector<std::string> kept_back_;  ///< Copies that come with the client's next bytes.
  std::string endless_piece_;           ///< Is written again and again; empty for none.
  bool writing_ = false;
  bool withholds_ = false;
  bool closes_ = false;  ///< Once everything is written.
  bool resets_ = false;
  bool closed_ = false;
};

}  // namespace

auto AnswerFaultProxy::Impl::Listen(runtime::SocketAddress const& address) -> void {
  ListenOnceFree("proxy of a server", [&] {
    ErrorCode ignored;
    acceptor_.close(ignored);
    return runtime::Listen(acceptor_, address, "");
  });
}

auto AnswerFaultProxy::Impl::Accept() -> void {
  acceptor_.async_accept([self = shared_from_this()](ErrorCode error, Tcp::socket client) {
    if (error) return;
    std::make_shared<Session<Impl>>(self, std::move(client))->Start();
    self->Accept();
  });
}

auto AnswerFaultProxy::Impl::Draw(bool names_attempt) -> AnswerFault {
  auto const drawn = static_cast<double>(random_()) / static_cast<double>(random_.max());
  if (drawn >= options_.part) return AnswerFault::kNone;
  // A half of the faults are copies: they need a second request on the same connection to matter.
  if (!names_attempt || random_() % 2 == 0) return AnswerFault::kRepeated;
  if (random_() % kFaultsPerEndless == 0) {
    return static_cast<AnswerFault>(kFirstEndless + random_() % (kAnswerFaults - kFirstEndless));
  }
  return static_cast<AnswerFault>(1 + random_() % (kFirstEndless - 1));
}

AnswerFaultProxy::AnswerFaultProxy(AnswerFaultOptions options, runtime::SocketAddress const& listen,
                                   runtime::SocketAddress const& server)
    : impl_(std::make_shared<Impl>(loop_.context(), std::move(options), ToEndpoint(server))) {
  impl_->Listen(listen);
  asio::post(loop_.context(), [impl = impl_] { impl->Accept(); });
}

AnswerFaultProxy::~AnswerFaultProxy() { loop_.Stop(); }

}  // namespace graniteseam::testbed
