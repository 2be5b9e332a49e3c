// An answer without a length is whole when its server ends the connection in order, and never when
// the connection breaks, whichever operation is told of it: over real sockets.
#include <criterion/criterion.h>
#include <sys/socket.h>

#include <string>

#include "tests/event_http/stepped_pool.h"

using namespace graniteseam;
using namespace graniteseam::event_http;

namespace {

constexpr int kRepetitions = 25;
/// More than the buffers of both sockets take.
constexpr std::size_t kUploadBytes = std::size_t{16} << 20;
const std::string kPartOfAnswer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of the body";

/// How the server ends the connection after it has sent what it sends.
enum class Ending { kReset, kOrderly, kOrderlyThenReset };

struct Course {
  Ending ending = Ending::kReset;
  std::chrono::milliseconds before_end{0};
  bool upload = true;
  bool read_before_end = false;  ///< The pool has read the part before the connection ends.
};

void EndConnection(Tcp::socket& connection, Ending ending) {
  if (ending != Ending::kReset) connection.shutdown(Tcp::socket::shutdown_send);
  if (ending == Ending::kOrderly) return;
  connection.set_option(asio::socket_base::linger(true, 0));
  connection.close();
}

CallResult Play(const Course& course) {
  SteppedPool pool;
  Call call;
  call.limit = std::chrono::seconds(20);
  if (course.upload) call.body = std::make_shared<std::string>(kUploadBytes, 'x');
  pool.Start(std::move(call));
  Tcp::socket connection = pool.Accept();
  pool.TakeRequest(connection);
  asio::write(connection, asio::buffer(kPartOfAnswer));
  if (course.read_before_end) {
    pool.TurnUntil([&, turns = 0]() mutable { return ++turns > 20; });
  }
  std::this_thread::sleep_for(course.before_end);
  EndConnection(connection, course.ending);
  cr_assert(pool.TurnUntil([&] { return pool.results.size() == 1; }));
  return pool.results[0];
}

void ExpectCut(Course course) {
  for (const int before_end_ms : {0, 5, 300}) {
    course.before_end = std::chrono::milliseconds(before_end_ms);
    const int repetitions = before_end_ms == 300 ? 3 : kRepetitions;
    for (int i = 0; i < repetitions; ++i) {
      cr_assert(Play(course).end == CallEnd::kLost, "ended after %d ms, repetition %d",
                before_end_ms, i);
    }
  }
}

void ExpectWhole(Course course) {
  for (const int before_end_ms : {0, 5, 300}) {
    course.before_end = std::chrono::milliseconds(before_end_ms);
    const int repetitions = before_end_ms == 300 ? 3 : kRepetitions;
    for (int i = 0; i < repetitions; ++i) {
      const CallResult result = Play(course);
      cr_assert(result.end == CallEnd::kAnswered, "ended after %d ms, repetition %d", before_end_ms,
                i);
      cr_assert(result.response.body == "part of the body");
    }
  }
}

}  // namespace

/// Guards against MIXED: the write took the error of the reset, the read then found an end, and the
/// part of the answer that had come was passed on as a whole one.
Test(broken_answer, is_not_whole_when_it_is_reset_during_the_upload, .timeout = 60) {
  ExpectCut({.ending = Ending::kReset});
}

Test(broken_answer, is_not_whole_when_it_is_reset_after_the_part_was_read, .timeout = 60) {
  ExpectCut({.ending = Ending::kReset, .read_before_end = true});
}

Test(broken_answer, is_not_whole_when_it_is_reset_without_an_upload, .timeout = 60) {
  ExpectCut({.ending = Ending::kReset, .upload = false});
}

/// Guards against early answers that are refused although their server ended them in order.
Test(broken_answer, is_whole_when_it_ends_in_order_during_the_upload, .timeout = 60) {
  ExpectWhole({.ending = Ending::kOrderly});
}

Test(broken_answer, is_whole_when_a_reset_follows_its_orderly_end, .timeout = 60) {
  ExpectWhole({.ending = Ending::kOrderlyThenReset, .read_before_end = true});
}

Test(broken_answer, is_whole_when_a_reset_follows_its_orderly_end_at_once, .timeout = 60) {
  ExpectWhole({.ending = Ending::kOrderlyThenReset});
}

Test(broken_answer, is_whole_when_it_ends_in_order_without_an_upload, .timeout = 60) {
  ExpectWhole({.ending = Ending::kOrderly, .upload = false});
}

/// Guards against a kept connection whose reset was noticed only by the look for unread bytes.
Test(broken_answer, reset_of_a_resting_connection_is_not_used_for_the_next_call, .timeout = 60) {
  for (int i = 0; i < kRepetitions; ++i) {
    SteppedPool pool;
    Tcp::socket connection = pool.ServeFirst();
    connection.set_option(asio::socket_base::linger(true, 0));
    connection.close();
    pool.Start(std::chrono::seconds(5));
    Tcp::socket next = pool.Accept();
    pool.TakeRequest(next);
    SteppedPool::Answer(next, "second");
    cr_assert(pool.TurnUntil([&] { return pool.results.size() == 2; }));
    cr_assert(pool.results[1].response.body == "second");
  }
}
