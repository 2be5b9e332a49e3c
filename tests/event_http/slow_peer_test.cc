// Peers that pause are waited for, and peers that have vanished are not: in both directions, over
// real sockets.
#include <criterion/criterion.h>

#include "src/event_http/peer_silence.h"
#include "src/event_http/write_pacer.h"
#include "tests/event_http/stepped_pool.h"
#include "tests/event_http/stepped_server.h"

using namespace graniteseam;
using namespace graniteseam::event_http;
using namespace graniteseam::event_http::test;

namespace {

constexpr std::chrono::seconds kPause{4};
constexpr std::chrono::seconds kSecond{1};
constexpr Instant kStart = InstantFromMicros(1'000'000'000);
/// More than the buffers of both sockets take.
constexpr std::size_t kUploadBytes = std::size_t{48} << 20;

/// Turns until the condition holds or `limit` has passed; `turn` does what is due.
template <class Turn, class Condition>
bool TurnFor(std::chrono::seconds limit, Turn turn, Condition condition) {
  const Instant end = runtime::BootTimeNow() + limit;
  while (runtime::BootTimeNow() < end) {
    turn();
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}

/// A server on the real clock, whose write timeout is short.
struct TimedServer {
  SteppedServer stepped;

  bool TurnFor(std::chrono::seconds limit, const std::function<bool()>& condition) {
    return ::TurnFor(
        limit,
        [this] {
          stepped.now = runtime::BootTimeNow();
          stepped.Turn();
        },
        condition);
  }
};

bool RecordEverySecond(PeerSilence& silence, Acknowledgements acknowledgements, int seconds,
                       Instant& now, Duration silent_more) {
  bool exceeds = false;
  for (int second = 0; second < seconds; ++second) {
    now += kSecond;
    acknowledgements.since_last += silent_more;
    exceeds = silence.Record(acknowledgements, now);
  }
  return exceeds;
}

void StartUpload(SteppedPool& pool) {
  Call call;
  call.limit = std::chrono::seconds(60);
  call.body = std::make_shared<std::string>(kUploadBytes, 'x');
  pool.Start(std::move(call));
}

}  // namespace

Test(slow_peer, window_that_stays_closed_is_no_silence) {
  PeerSilence silence;
  Instant now = kStart;
  // Each probe of the window is acknowledged by the time of the next check.
  cr_assert(!RecordEverySecond(silence, {true, std::chrono::milliseconds(100)}, 60, now, {}));
  cr_assert(!RecordEverySecond(silence, {false, 10 * kSecond}, 60, now, kSecond));
}

Test(slow_peer, nothing_acknowledged_is_silence) {
  PeerSilence silence;
  Instant now = kStart;
  cr_assert(!RecordEverySecond(silence, {true, {}}, 3, now, kSecond));
  cr_assert(RecordEverySecond(silence, {true, 3 * kSecond}, 2, now, kSecond));
}

Test(slow_peer, silence_begins_when_something_is_sent) {
  PeerSilence silence;
  Instant now = kStart;
  cr_assert(!RecordEverySecond(silence, {false, 100 * kSecond}, 60, now, kSecond));
  cr_assert(!RecordEverySecond(silence, {true, 160 * kSecond}, 3, now, kSecond));
}

/// Guards against a process that was stopped itself and takes its peers for vanished.
Test(slow_peer, time_without_checks_is_no_silence) {
  PeerSilence silence;
  Instant now = kStart;
  cr_assert(!RecordEverySecond(silence, {true, {}}, 1, now, kSecond));
  now += 10 * kSecond;
  cr_assert(!silence.Record({true, 11 * kSecond}, now));
}

/// Guards against LOST: a client that stops reading a download for 4 s was reset after 3 s.
Test(slow_peer, client_that_pauses_gets_its_whole_answer, .timeout = 60) {
  TimedServer server;
  RawClient client(server.stepped.server->port(), 1 << 16);
  client.Send(Get("/large"));
  std::string answer;
  bool closed = false;
  const auto read = [&]() -> bool {
    for (std::string piece; !(piece = client.ReadArrived(1 << 16, closed)).empty();)
      answer += piece;
    return closed || answer.size() > kLargeBody;
  };
  cr_assert(
      server.TurnFor(kSecond * 10, [&] { return !client.ReadArrived(1'000, closed).empty(); }));
  server.TurnFor(kPause, [] { return false; });
  answer.assign(1'000, ' ');
  cr_assert(server.TurnFor(kSecond * 30, read));
  cr_assert(!closed, "The answer ends after %zu bytes.", answer.size());
}

Test(slow_peer, client_that_vanishes_is_given_up, .timeout = 60) {
  TimedServer server;
  RawClient client(server.stepped.server->port());
  client.Send(Get("/hold"));
  cr_assert(server.TurnFor(kSecond * 10, [&] { return server.stepped.held.size() == 1; }));
  client.Vanish();
  Response response;
  response.body = std::string(1'000, 'x');
  // Its deadline is far away.
  response.deliver_by = runtime::BootTimeNow() + std::chrono::hours(1);
  // All of it fits into the socket; only the acknowledgement is missing.
  server.stepped.held.front()->Respond(std::move(response));
  server.stepped.held.clear();
  client.Send(Get("/large"));
  cr_assert(
      server.TurnFor(kSecond * 30, [&] { return server.stepped.server->connections() == 0; }));
}

/// Guards against LOST: a server that pauses before it reads a long upload lost it after 3 s.
Test(slow_peer, server_that_pauses_gets_the_whole_upload, .timeout = 60) {
  SteppedPool pool;
  StartUpload(pool);
  Tcp::socket connection = pool.Accept();
  TurnFor(
      kPause, [&] { pool.Turn(); }, [] { return false; });
  connection.non_blocking(true);
  std::size_t received = 0;
  std::vector<char> bytes(1 << 20);
  const bool whole = TurnFor(
      kSecond * 30, [&] { pool.Turn(); },
      [&] {
        boost::system::error_code error;
        while (!error) received += connection.read_some(asio::buffer(bytes), error);
        return received > kUploadBytes || error != asio::error::would_block;
      });
  cr_assert(whole && received > kUploadBytes, "%zu bytes of the upload came", received);
  connection.non_blocking(false);
  SteppedPool::Answer(connection, "whole");
  cr_assert(pool.TurnUntil([&] { return pool.results.size() == 1; }));
  cr_assert(pool.results[0].end == CallEnd::kAnswered);
  cr_assert(pool.results[0].response.body == "whole");
}

Test(slow_peer, server_that_vanishes_is_given_up_long_before_the_limit_of_the_call, .timeout = 60) {
  SteppedPool pool;
  StartUpload(pool);
  Tcp::socket connection = pool.Accept();
  pool.TakeRequest(connection);
  graniteseam::test::Vanish(connection.native_handle());
  cr_assert(TurnFor(
      kSecond * 30, [&] { pool.Turn(); }, [&] { return pool.results.size() == 1; }));
  cr_assert(pool.results[0].end == CallEnd::kLost);
}

/// Guards against the other limit of a paused client: the write timeout counts after the deadline.
Test(slow_peer, pause_within_the_deadline_outlasts_the_write_timeout) {
  SteppedServer server;
  RawClient client(server.server->port());
  client.Send(Get("/hold"));
  cr_assert(server.TurnUntil([&] { return server.held.size() == 1; }));
  Response response;
  response.body = std::string(kLargeBody, 'x');
  response.deliver_by = server.now + 10 * kWriteLimit;
  server.held.front()->Respond(std::move(response));
  server.held.clear();
  server.TurnAfterSweeps();
  server.now += 9 * kWriteLimit;
  server.TurnAfterSweeps();
  cr_assert(server.server->connections() == 1);
  server.now += 2 * kWriteLimit;
  server.TurnAfterSweeps();
  cr_assert(server.server->connections() == 0);
}

/// Guards against a client on a slow link that is cut although it takes bytes all the time: the
/// kernel asks for more only once it has sent a good part of what it holds.
Test(slow_peer, client_that_takes_little_at_a_time_is_not_hung_up_on) {
  SteppedServer server;
  RawClient client(server.server->port(), 1 << 16);
  client.Send(Get("/large"));
  bool closed = false;
  cr_assert(server.TurnUntil([&] { return !client.ReadArrived(1'000, closed).empty(); }));
  for (int step = 0; step < 6; ++step) {
    server.TurnAfterSweeps();
    // More than the receive window, so that the kernel sends some of what it holds.
    for (std::size_t read = 0; read < (1U << 17); read += 1'000) client.ReadArrived(1'000, closed);
    server.now += kWriteLimit / 2;
  }
  server.TurnAfterSweeps();
  cr_assert(!closed && server.server->connections() == 1);
}
