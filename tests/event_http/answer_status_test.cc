// Answers whose status is none, and interim answers.
#include <array>
#include <string>
#include <utility>

#include "tests/event_http/stepped_pool.h"

using namespace graniteseam;
using namespace graniteseam::event_http;

namespace {

constexpr std::chrono::seconds kLimit{5};
constexpr char kInterim[] = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";

/// What a call is told whose server sends `bytes` and keeps the connection.
struct Told {
  CallResult result;
  bool connection_kept = false;
};

Told TellOf(const std::string& bytes) {
  SteppedPool stepped;
  stepped.Start(kLimit);
  Tcp::socket first = stepped.Accept();
  stepped.TakeRequest(first);
  asio::write(first, asio::buffer(bytes));
  cr_assert(stepped.TurnUntil([&] { return stepped.results.size() == 1; }));
  stepped.Turn();
  Told told{std::move(stepped.results[0])};
  std::array<char, 1> byte{};
  boost::system::error_code error;
  first.non_blocking(true);
  first.read_some(asio::buffer(byte), error);
  told.connection_kept = error == asio::error::would_block;
  return told;
}

std::string StatusLine(const std::string& status) { return "HTTP/1.1 " + status + "\r\n"; }

}  // namespace

/// Guards against a status beyond 100 to 599 that is handed to a caller, or whose connection is
/// used again.
Test(answer_status, status_that_is_none_is_malformed) {
  for (const std::string status :
       {"000 No", "000 ", "001 No", "010 No", "099 No", "600 No", "700 No", "999 No", "20 No",
        "2000 No", "+20 No", "-20 No", "0x1 No", "2 0 No", "101 Switching Protocols"}) {
    const Told told = TellOf(StatusLine(status) + "Content-Length: 2\r\n\r\nab");
    cr_assert(told.result.end == CallEnd::kMalformed, "\"%s\" ended with %d", status.c_str(),
              static_cast<int>(told.result.end));
    cr_assert_not(told.connection_kept, "%s", status.c_str());
  }
}

/// Guards against a bound that leaves out a status of an extension (RFC 9110, section 15).
Test(answer_status, every_final_status_is_handed_over) {
  for (int status = 200; status <= 599; ++status) {
    const bool bodiless = status == 204 || status == 304;
    const Told told = TellOf(StatusLine(std::to_string(status) + " Reason") +
                             (bodiless ? "\r\n" : "Content-Length: 2\r\n\r\nab"));
    cr_assert(told.result.end == CallEnd::kAnswered, "%d", status);
    cr_assert_eq(told.result.response.status, status);
    cr_assert(told.connection_kept, "%d", status);
  }
}

/// Guards against an interim answer that is taken for the final one, or for a malformed one.
Test(answer_status, interim_answers_are_skipped) {
  for (const std::string status : {"100 Continue", "102 Processing", "103 Early Hints", "199 x"}) {
    const Told told = TellOf(StatusLine(status) + "\r\n" + AnswerOf("ab"));
    cr_assert(told.result.end == CallEnd::kAnswered, "%s", status.c_str());
    cr_assert_eq(told.result.response.status, 200);
    cr_assert(told.result.response.body == "ab");
    cr_assert(told.connection_kept, "%s", status.c_str());
  }
}

/// Guards against a server that keeps a call open by interim answers, and against a status that
/// passes because it stands behind one.
Test(answer_status, interim_answers_are_bounded_and_vouch_for_nothing) {
  std::string many;
  for (int i = 0; i < 17; ++i) many += kInterim;
  cr_assert(TellOf(many + AnswerOf("ab")).result.end == CallEnd::kMalformed);
  const Told told = TellOf(kInterim + StatusLine("000 No") + "Content-Length: 0\r\n\r\n");
  cr_assert(told.result.end == CallEnd::kMalformed);
}

/// Guards against a call that waits for a body, whose length the server chooses, behind a status
/// that is none.
Test(answer_status, status_that_is_none_ends_the_call_before_its_body) {
  const Told told = TellOf(StatusLine("600 No") + "Content-Length: 1000000\r\n\r\n");
  cr_assert(told.result.end == CallEnd::kMalformed);
}

/// Guards against bytes without end in the status line.
Test(answer_status, reason_without_end_is_malformed) {
  const Told told = TellOf("HTTP/1.1 200 " + std::string(std::size_t{128} << 10, 'x'));
  cr_assert(told.result.end == CallEnd::kMalformed);
}
