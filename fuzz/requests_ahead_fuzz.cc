/// @file
/// Requests that a client sends ahead, in pieces of any size and with answers at any time, against
/// a plain parser of the same bytes: the server must hand on the same sequence, once each, and
/// answer in that order. Also across refusals, drains, a closed server, a client that ends its
/// sending or leaves, and connections that end. Each input is played twice: with requests that run
/// one after the other, and in parallel, within bounds and with answers as the input's last bytes
/// say: at once or later, in any order, large or small. Afterwards nothing may be charged any more.
#include <algorithm>
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
#include "src/event_http/byte_account.h"
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

/// What the body of each answer ends with, before the target.
constexpr std::string_view kAnswer = "answer to /r";

/// More than one connection can hold, its input and its responses included.
constexpr std::size_t kAccountBytes = std::size_t{64} << 20;

/// How requests run and are answered.
struct Manner {
  bool parallel = false;
  bool all_beside = false;  ///< Requests with bodies run in parallel too.
  std::size_t requests_maximum = 16;
  std::size_t answer_bytes_maximum = std::size_t{256} << 10;
  std::size_t answered_at_once = 0;  ///< One request in so many is; 0: none.
  std::size_t padding = 0;           ///< Bytes in front of each answer.
  bool any_order = false;            ///< Otherwise the newest request is answered first.
  bool leaves = false;               ///< The client leaves with requests in progress.
  bool gone_answers = false;         ///< A client's leaving answers its other requests.
  bool counts_bytes = false;         ///< Afterwards it is looked whether all bytes returned.
};

/// Taken from the end of an input, so that what its first bytes say stays the same.
Manner DrawManner(const std::uint8_t* data, std::size_t size) {
  constexpr std::size_t kBytes = 10;
  constexpr std::size_t kRequestsAheadMaximum = 16;
  constexpr std::size_t kLargePadding = std::size_t{64} << 10;
  constexpr std::size_t kSmallPadding = 300;
  const std::size_t taken = std::min(size, kBytes);
  InputReader input(data + size - taken, taken);
  Manner manner;
  manner.parallel = true;
  manner.all_beside = input.Draw(3) == 0;
  manner.requests_maximum = 1 + input.Draw(kRequestsAheadMaximum);
  manner.answer_bytes_maximum >>= 5 * input.Draw(4);
  manner.answered_at_once = input.Draw(4);
  const std::size_t padding = input.Draw(8);
  manner.padding = padding == 0 ? kLargePadding : padding == 1 ? kSmallPadding : 0;
  manner.any_order = input.Draw(2) == 0;
  manner.leaves = input.Draw(8) == 0;
  manner.gone_answers = input.Draw(2) == 0;
  manner.counts_bytes = input.Draw(8) == 0;
  return manner;
}

/// A server whose loop is turned by hand, and one client of it.
class Exchanges {
 public:
  explicit Exchanges(const Manner& manner) : manner_(manner) {
    event_http::ServerOptions options;
    if (manner.parallel) {
      options.may_run_beside = [this](const auto& request) {
        return manner_.all_beside || request.method == "GET";
      };
    }
    options.requests_ahead_maximum = manner.requests_maximum;
    options.answer_bytes_ahead = manner.answer_bytes_maximum;
    options.account = account_;
    options.address = {"127.0.0.1", 0};
    options.clock = [] { return Instant{} + std::chrono::hours(1); };
    server_ = std::make_unique<event_http::Server>(
        context_, options, [this](const auto& exchange) { Take(exchange); });
    server_->SetLimits(Limits());
    if (ErrorOf(Attempt([this] { return server_->Start(); })) != nullptr) Abort("can't listen");
    Turn();
    // An answer with padding is not taken at once.
    client_ = std::make_unique<test::RawClient>(server_->port(), manner.padding > 0 ? 4'096 : 0);
    if (!client_->connected()) Abort("can't connect");
  }
  ~Exchanges() {
    for (const auto& exchange : held_) exchange->OnGone(nullptr);
  }
  Exchanges(const Exchanges&) = delete;
  Exchanges& operator=(const Exchanges&) = delete;

  void Send(const std::string& bytes) { client_->Send(bytes); }
  void EndSending() {
    client_->EndSending();
    for (int round = 0; round < kQuietRounds; ++round) {
      Turn();
      std::this_thread::sleep_for(kRoundPause);
    }
    handed_on_at_end_ = sequence_.size();
  }
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
    std::size_t index = manner_.parallel ? held_.size() - 1 : 0;
    if (manner_.any_order) index = (answered_ * 7 + 3) % held_.size();
    const auto exchange = held_[index];
    held_.erase(held_.begin() + static_cast<std::ptrdiff_t>(index));
    Answer(*exchange);
    return true;
  }

  bool ReadAnswers() {
    const std::string piece = client_->ReadArrived(std::size_t{1} << 16, closed_);
    answers_ += piece;
    for (std::size_t at = answers_.find(kAnswer, counted_to_); at != std::string::npos;
         at = answers_.find(kAnswer, counted_to_)) {
      ++arrived_;
      counted_to_ = at + kAnswer.size();
    }
    return !piece.empty();
  }

  /// Answers all, until what is expected has happened, and nothing more.
  /// @param requests that must be handed on; nullopt when that depends on an ending.
  /// @param closes whether the connection ends after them.
  void Finish(std::optional<std::size_t> requests, bool closes) {
    const auto limit = [&] {
      // A large answer comes in many pieces, with pauses.
      const bool arriving = !closed_ && arrived_ < answered_;
      return requests || arriving ? kPatientRounds : kQuietRounds;
    };
    for (int quiet = 0; quiet < limit(); ++quiet) {
      const bool turned = Turn();
      const bool answered = AnswerNext();
      const bool read = ReadAnswers();
      if (turned || answered || read) {
        quiet = 0;
      } else if (requests && sequence_.size() >= *requests && arrived_ >= *requests &&
                 closed_ == closes) {
        return;
      } else {
        std::this_thread::sleep_for(kRoundPause);
      }
    }
  }

  /// Lets the client leave: every request in progress must be told so, once.
  void Leave() {
    Turn();
    const std::size_t in_progress = held_.size();
    const std::size_t gone_before = gone_;
    client_.reset();
    WaitUntil([this] { return server_->connections() == 0; });
    const std::size_t told = gone_ - gone_before;
    // Answers of gone handlers end the exchanges of others, which are told all the same.
    if (told != in_progress) Abort(std::to_string(in_progress - told) + " were not told");
    while (AnswerNext()) {
    }
    Turn();
  }

  /// Whether exactly all bytes are returned once the connection is gone.
  void CheckHeldBytes() {
    client_.reset();
    WaitUntil([this] { return server_->connections() == 0; });
    held_.clear();
    Turn();
    const std::size_t held = account_->held();
    if (held != 0) Abort(std::to_string(held) + " bytes are still charged");
  }

  const std::vector<std::string>& sequence() const { return sequence_; }
  /// How many requests had begun when the server saw that its client ends its sending.
  std::optional<std::size_t> handed_on_at_end() const { return handed_on_at_end_; }
  const std::string& answers() const { return answers_; }

 private:
  void Take(const std::shared_ptr<event_http::Exchange>& exchange) {
    const event_http::Request& request = exchange->request();
    sequence_.push_back(request.method + " " + request.target + " " + request.body);
    const std::size_t every = manner_.answered_at_once;
    if (answers_at_once_ && every != 0 && sequence_.size() % every == 0) return Answer(*exchange);
    held_.push_back(exchange);
    exchange->OnGone([this, gone = exchange.get()] {
      ++gone_;
      std::erase_if(held_, [gone](const auto& one) { return one.get() == gone; });
      while (manner_.gone_answers && AnswerNext()) {
      }
    });
  }

  void Answer(event_http::Exchange& exchange) {
    event_http::Response response;
    response.body =
        std::string(manner_.padding, '.') + "answer to " + exchange.request().target + ";";
    exchange.Respond(response);
    ++answered_;
  }

  static event_http::ServerLimits Limits() {
    event_http::ServerLimits limits;
    limits.header_bytes = kHeaderBytes;
    limits.body_bytes = kBodyBytes;
    return limits;
  }

  template <class Condition>
  void WaitUntil(Condition condition) {
    for (int round = 0; round < kPatientRounds; ++round) {
      Turn();
      if (condition()) return;
      std::this_thread::sleep_for(kRoundPause);
    }
    Abort("what must come did not: " + std::to_string(sequence_.size()) + " handed on");
  }

  const Manner manner_;
  const std::shared_ptr<event_http::ByteAccount> account_ =
      std::make_shared<event_http::ByteAccount>(kAccountBytes);
  boost::asio::io_context context_;
  std::deque<std::shared_ptr<event_http::Exchange>> held_;
  std::unique_ptr<event_http::Server> server_;
  std::unique_ptr<test::RawClient> client_;
  std::vector<std::string> sequence_;
  std::string answers_;
  std::optional<std::size_t> handed_on_at_end_;
  std::size_t answered_ = 0;
  std::size_t arrived_ = 0;     ///< Answers in what was read.
  std::size_t counted_to_ = 0;  ///< Bytes of it that were searched for answers.
  std::size_t gone_ = 0;
  bool answers_at_once_ = true;
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
    const std::size_t found = answers.find(kAnswer, at);
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

void Check(InputReader input, const Manner& manner) {
  std::string bytes;
  const std::size_t requests = 1 + input.Draw(kRequestsMaximum);
  for (std::size_t number = 0; number < requests && bytes.size() < kScriptBytes; ++number) {
    AppendRequest(input, number, bytes);
  }
  Exchanges exchanges(manner);
  const Endings endings = Play(input, bytes, exchanges);
  const ExpectedRequests expected = ParsePlainly(bytes);
  if (manner.leaves) {
    exchanges.Leave();
    Endings left = endings;
    left.end_sending = true;
    CheckSequence(exchanges.sequence(), expected, left);
  } else {
    std::optional<std::size_t> awaited;
    if (!endings.any()) awaited = expected.sequence.size();
    exchanges.Finish(awaited, expected.refused || expected.last_closes);
    CheckSequence(exchanges.sequence(), expected, endings);
    CheckAnswers(exchanges.answers(), exchanges.sequence().size(), expected, endings);
    if (exchanges.handed_on_at_end().value_or(exchanges.sequence().size()) <
        exchanges.sequence().size()) {
      Abort("handed on for a client that had left: " + exchanges.sequence().back());
    }
  }
  if (manner.counts_bytes && !endings.close) exchanges.CheckHeldBytes();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  Check(InputReader(data, size), {});
  Check(InputReader(data, size), DrawManner(data, size));
  return 0;
}
