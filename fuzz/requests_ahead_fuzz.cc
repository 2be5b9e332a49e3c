/// @file
/// Requests that a client sends ahead, in pieces of any size and with answers at any time, against
/// a plain parser of the same bytes: the server must hand on the same sequence, once each, and
/// answer in that order. Also across refusals, drains, a closed server, a client that ends its
/// sending and connections that end. Each input is played twice: with requests that run one after
/// the other, and with reads that run in parallel and are answered in the reverse order.
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "fuzz/fuzz_target.h"
#include "fuzz/request_script.h"
#include "src/event_http/server.h"
#include "tests/support/raw_client.h"

namespace {

using namespace graniteseam;
using namespace graniteseam::fuzz;

constexpr std::size_t kRequestsMaximum = 64;
/// What is waited for comes within microseconds, on a busy machine within milliseconds. The longer
/// limit is used up by a server that is wrong only.
constexpr int kQuietRounds = 10;
constexpr int kPatientRounds = 5'000;
constexpr std::chrono::milliseconds kRoundPause{1};

[[noreturn]] void Abort(const std::string& what) {
  std::fprintf(stderr, "%s\n", what.c_str());
  std::abort();
}

/// A server whose loop is turned by hand, and one client of it.
class Exchanges {
 public:
  /// @param parallel whether reads run in parallel, and the newest request is answered first.
  explicit Exchanges(bool parallel) : parallel_(parallel) {
    event_http::ServerOptions options;
    if (parallel) {
      options.may_run_beside = [](const auto& request) { return request.method == "GET"; };
    }
    options.address = {"127.0.0.1", 0};
    options.clock = [] { return Instant{} + std::chrono::hours(1); };
    server_ = std::make_unique<event_http::Server>(
        context_, options, [this](const auto& exchange) { Take(exchange); });
    event_http::ServerLimits limits;
    limits.header_bytes = kHeaderBytes;
    limits.body_bytes = kBodyBytes;
    server_->SetLimits(limits);
    if (ErrorOf(Attempt([this] { return server_->Start(); })) != nullptr) Abort("can't listen");
    Turn();
    client_ = std::make_unique<test::RawClient>(server_->port());
    if (!client_->connected()) Abort("can't connect");
  }
  ~Exchanges() {
    for (const auto& exchange : held_) exchange->OnGone(nullptr);
  }
  Exchanges(const Exchanges&) = delete;
  Exchanges& operator=(const Exchanges&) = delete;

  void Send(const std::string& bytes) { client_->Send(bytes); }
  void EndSending() { client_->EndSending(); }
  void BeginDrain() { server_->BeginDrain(); }
  void Close() { server_->Close(); }

  /// @return whether anything happened.
  bool Turn() {
    context_.restart();
    bool any = false;
    while (context_.poll() > 0) any = true;
    return any;
  }

  bool AnswerNext() {
    if (held_.empty()) return false;
    const auto exchange = parallel_ ? held_.back() : held_.front();
    parallel_ ? held_.pop_back() : held_.pop_front();
    event_http::Response response;
    response.body = "answer to " + exchange->request().target + ";";
    exchange->Respond(response);
    ++answered_;
    return true;
  }

  bool ReadAnswers() {
    const std::string piece = client_->ReadArrived(std::size_t{1} << 16, closed_);
    answers_ += piece;
    return !piece.empty();
  }

  /// Answers all, until what is expected has happened, and nothing more.
  /// @param requests that must be handed on; nullopt when that depends on an ending.
  /// @param closes whether the connection ends after them.
  void Finish(std::optional<std::size_t> requests, bool closes) {
    for (int quiet = 0; quiet < (requests ? kPatientRounds : kQuietRounds); ++quiet) {
      const bool turned = Turn();
      const bool answered = AnswerNext();
      const bool read = ReadAnswers();
      if (turned || answered || read) {
        quiet = 0;
      } else if (requests && sequence_.size() >= *requests && answered_ >= *requests &&
                 closed_ == closes) {
        return;
      } else {
        std::this_thread::sleep_for(kRoundPause);
      }
    }
  }

  const std::vector<std::string>& sequence() const { return sequence_; }
  const std::string& answers() const { return answers_; }

 private:
  void Take(const std::shared_ptr<event_http::Exchange>& exchange) {
    const event_http::Request& request = exchange->request();
    sequence_.push_back(request.method + " " + request.target + " " + request.body);
    held_.push_back(exchange);
    exchange->OnGone([this, gone = exchange.get()] {
      std::erase_if(held_, [gone](const auto& one) { return one.get() == gone; });
    });
  }

  const bool parallel_;
  boost::asio::io_context context_;
  std::deque<std::shared_ptr<event_http::Exchange>> held_;
  std::unique_ptr<event_http::Server> server_;
  std::unique_ptr<test::RawClient> client_;
  std::vector<std::string> sequence_;
  std::string answers_;
  std::size_t answered_ = 0;
  bool closed_ = false;
};

/// What was done beside sending and answering, after which fewer requests may be handed on.
struct Endings {
  bool drain = false;
  bool close = false;
  bool end_sending = false;

  bool any() const { return drain || close || end_sending; }
};

/// Sends everything in pieces, with answers and endings between, as the input says.
Endings Play(InputReader& input, const std::string& bytes, Exchanges& exchanges) {
  constexpr std::size_t kSteps = 64;
  constexpr std::size_t kPiece = 700;
  Endings endings;
  std::size_t sent = 0;
  while (sent < bytes.size() && !endings.end_sending) {
    const std::size_t step = input.Draw(kSteps);
    if (step == 0 && input.Draw(2) == 0) {
      endings.drain = true;
      exchanges.BeginDrain();
    } else if (step == 1 && input.Draw(4) == 0) {
      endings.drain = endings.close = true;
      exchanges.BeginDrain();
      exchanges.Close();
    } else if (step == 2 && input.Draw(4) == 0) {
      endings.end_sending = true;
      exchanges.EndSending();
    } else if (step % 3 == 0) {
      exchanges.AnswerNext();
    } else if (step % 3 == 1) {
      exchanges.Turn();
    } else {
      const std::size_t piece = 1 + input.Draw(step % 2 == 0 ? kPiece : 2);
      exchanges.Send(bytes.substr(sent, piece));
      sent += std::min(piece, bytes.size() - sent);
    }
    if (input.ended()) {
      exchanges.Send(bytes.substr(sent));
      sent = bytes.size();
    }
  }
  return endings;
}

void CheckSequence(const std::vector<std::string>& seen, const ExpectedRequests& expected,
                   const Endings& endings) {
  const std::vector<std::string>& sent = expected.sequence;
  for (std::size_t i = 0; i < seen.size(); ++i) {
    if (i >= sent.size()) Abort("handed on and never sent: " + seen[i]);
    if (seen[i] != sent[i]) Abort("handed on: " + seen[i] + "; its turn had: " + sent[i]);
  }
  if (!endings.any() && seen.size() != sent.size()) Abort("never handed on: " + sent[seen.size()]);
}

/// The answers name the requests in their order; what follows is one refusal at most.
void CheckAnswers(const std::string& answers, std::size_t handed_on,
                  const ExpectedRequests& expected, const Endings& endings) {
  std::size_t at = 0;
  std::size_t answered = 0;
  for (;; ++answered) {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    if (answers.compare(at, head.size(), head) != 0) break;
    const std::string body = "answer to /r";
    const std::size_t found = answers.find(body, at);
    const std::size_t end = answers.find(';', at);
    if (found == std::string::npos || end == std::string::npos || found > end) break;
    const std::string& request = expected.sequence.at(answered);
    const std::string target = answers.substr(found + 10, end - found - 10);
    if (request.find(' ' + target + ' ') == std::string::npos) {
      Abort("the answer for " + target + " stands in the place of " + request);
    }
    at = end + 1;
  }
  const std::string rest = answers.substr(at);
  if (rest.find("HTTP/1.1 200") != std::string::npos) Abort("an answer after a refusal");
  if (endings.end_sending) return;
  if (answered != handed_on) Abort(std::to_string(handed_on - answered) + " without an answer");
  const bool refused = rest.starts_with("HTTP/1.1 4") || rest.starts_with("HTTP/1.1 503");
  if (!endings.any() && refused != expected.refused) {
    Abort("handed on " + std::to_string(handed_on) + ", refused " + (refused ? "yes" : "no") +
          ": " + rest);
  }
}

void Check(InputReader input, bool parallel) {
  std::string bytes;
  const std::size_t requests = 1 + input.Draw(kRequestsMaximum);
  for (std::size_t number = 0; number < requests && bytes.size() < kScriptBytes; ++number) {
    AppendRequest(input, number, bytes);
  }
  Exchanges exchanges(parallel);
  const Endings endings = Play(input, bytes, exchanges);
  const ExpectedRequests expected = ParsePlainly(bytes);
  std::optional<std::size_t> awaited;
  if (!endings.any()) awaited = expected.sequence.size();
  exchanges.Finish(awaited, expected.refused || expected.last_closes);
  CheckSequence(exchanges.sequence(), expected, endings);
  CheckAnswers(exchanges.answers(), exchanges.sequence().size(), expected, endings);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  Check(InputReader(data, size), false);
  Check(InputReader(data, size), true);
  return 0;
}
