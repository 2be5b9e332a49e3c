// What a call gets when its server's bytes, or the end of its connection, lie unread in the socket
// as the pool decides. The loop is turned by hand, so that nothing is read before.
#include "src/event_http/client_pool.h"

#include <algorithm>
#include <deque>
#include <string>
#include <thread>
#include <vector>

#include "tests/event_http/stepped_pool.h"

using namespace graniteseam;
using namespace graniteseam::event_http;

namespace {

/// Ample for what the test does before it.
constexpr std::chrono::seconds kLimit{2};
constexpr std::chrono::milliseconds kBeyond{100};
constexpr std::chrono::milliseconds kSweepDue{600};
/// Several reads of a connection, and less than its socket holds.
constexpr std::size_t kLongBody = 40'000;

}  // namespace

/// A server that answers before it is asked ended the process: the call was settled twice.
Test(client_pool, answer_that_arrives_before_its_request_ends_the_call_once) {
  SteppedPool stepped;
  stepped.Start(kLimit);
  // Begins to connect, and no more.
  stepped.context.restart();
  stepped.context.poll_one();
  Tcp::socket connection = stepped.acceptor.accept();
  SteppedPool::Answer(connection, "early");
  cr_assert(stepped.TurnUntil([&] { return !stepped.results.empty(); }));
  stepped.Turn();
  cr_assert(stepped.results.size() == 1);
}

/// A call was sent over a kept connection whose end lay unread, and was lost.
Test(client_pool, connection_whose_end_lies_unread_is_not_used_again) {
  SteppedPool stepped;
  stepped.Start(std::chrono::seconds(5));
  {
    Tcp::socket connection = stepped.Accept();
    stepped.TakeRequest(connection);
    SteppedPool::Answer(connection, "first");
    cr_assert(stepped.TurnUntil([&] { return stepped.results.size() == 1; }));
  }
  stepped.Start(std::chrono::seconds(5));
  Tcp::socket connection = stepped.Accept();
  stepped.TakeRequest(connection);
  SteppedPool::Answer(connection, "second");
  cr_assert(stepped.TurnUntil([&] { return stepped.results.size() == 2; }));
  cr_assert(stepped.results[1].end == CallEnd::kAnswered);
  cr_assert(stepped.results[1].new_connection);
  cr_assert(stepped.results[1].response.body == "second");
}

/// A second answer to an earlier call lay unread and was taken for the next call's.
Test(client_pool, connection_with_a_surplus_answer_unread_is_not_used_again) {
  SteppedPool stepped;
  Tcp::socket first = stepped.ServeFirst();
  SteppedPool::Answer(first, "surplus");
  stepped.Start(std::chrono::seconds(5));
  Tcp::socket second = stepped.Accept();
  stepped.TakeRequest(second);
  SteppedPool::Answer(second, "second");
  cr_assert(stepped.TurnUntil([&] { return stepped.results.size() == 2; }));
  cr_assert(stepped.results[1].end == CallEnd::kAnswered);
  cr_assert(stepped.results[1].response.body == "second");
}

/// Guards against a surplus answer that comes after the next call was sent, and looks like the
/// answer to it.
Test(client_pool, call_uses_none_of_the_connections_that_it_avoids) {
  SteppedPool stepped;
  Tcp::socket first = stepped.ServeFirst();
  stepped.Start(std::chrono::seconds(5), {stepped.results[0].connection});
  Tcp::socket second = stepped.Accept();
  stepped.TakeRequest(second);
  SteppedPool::Answer(first, "surplus");
  SteppedPool::Answer(second, "second");
  cr_assert(stepped.TurnUntil([&] { return stepped.results.size() == 2; }));
  cr_assert(stepped.results[1].response.body == "second");
  cr_assert(stepped.results[1].connection != stepped.results[0].connection);
}

/// A connection that one call avoids is kept for others.
Test(client_pool, avoided_connection_serves_other_calls) {
  SteppedPool stepped;
  Tcp::socket first = stepped.ServeFirst();
  const ConnectionNumber avoided = stepped.results[0].connection;
  stepped.Start(std::chrono::seconds(5), {avoided});
  stepped.Start(std::chrono::seconds(5));
  stepped.TakeRequest(first);
  SteppedPool::Answer(first, "third");
  cr_assert(stepped.TurnUntil([&] { return stepped.results.size() == 2; }));
  cr_assert(stepped.results[1].response.body == "third");
  cr_assert(stepped.results[1].connection == avoided && !stepped.results[1].new_connection);
}

/// A late process ended calls as lost whose whole answers lay in their sockets: an answer takes
/// several reads, and the limit's timer was run after the first.
Test(client_pool, answer_that_arrived_before_the_limit_is_taken_after_it) {
  SteppedPool stepped;
  stepped.Start(kLimit);
  Tcp::socket connection = stepped.Accept();
  stepped.TakeRequest(connection);
  SteppedPool::Answer(connection, std::string(kLongBody, 'x'));
  std::this_thread::sleep_for(kLimit + kBeyond);
  cr_assert(stepped.TurnUntil([&] { return !stepped.results.empty(); }));
  cr_assert(stepped.results[0].end == CallEnd::kAnswered);
  cr_assert(stepped.results[0].response.body.size() == kLongBody);
}

/// The same, for an answer that the end of its connection completes.
Test(client_pool, answer_that_its_connection_ended_before_the_limit_is_taken_after_it) {
  SteppedPool stepped;
  stepped.Start(kLimit);
  {
    Tcp::socket connection = stepped.Accept();
    stepped.TakeRequest(connection);
    asio::write(connection, asio::buffer("HTTP/1.1 200 OK\r\n\r\n" + std::string(kLongBody, 'x')));
  }
  std::this_thread::sleep_for(kLimit + kBeyond);
  cr_assert(stepped.TurnUntil([&] { return !stepped.results.empty(); }));
  cr_assert(stepped.results[0].end == CallEnd::kAnswered);
  cr_assert(stepped.results[0].response.body.size() == kLongBody);
}

/// One look at the kernel tells of 128 sockets: timers that were due ran before the others were
/// read.
Test(client_pool, answers_on_many_connections_are_all_taken_after_the_limit) {
  constexpr std::size_t kCalls = 300;
  SteppedPool stepped;
  for (std::size_t n = 0; n < kCalls; ++n) stepped.Start(kLimit);
  std::deque<Tcp::socket> connections;
  while (connections.size() < kCalls) connections.push_back(stepped.Accept());
  for (Tcp::socket& connection : connections) stepped.TakeRequest(connection);
  // Another timer of the pool is due before the answers come, so that the kernel tells of it first.
  std::this_thread::sleep_for(kSweepDue);
  for (Tcp::socket& connection : connections) SteppedPool::Answer(connection, "whole");
  cr_assert(stepped.results.empty());
  std::this_thread::sleep_for(kLimit + kBeyond);
  cr_assert(stepped.TurnUntil([&] { return stepped.results.size() == kCalls; }));
  const auto answered =
      std::count_if(stepped.results.begin(), stepped.results.end(),
                    [](const CallResult& result) { return result.end == CallEnd::kAnswered; });
  cr_assert(static_cast<std::size_t>(answered) == kCalls, "%zd of %zu", answered, kCalls);
}

/// Half an answer must not keep a call beyond its limit.
Test(client_pool, call_ends_at_its_limit_when_the_rest_of_its_answer_has_not_arrived) {
  SteppedPool stepped;
  stepped.Start(kLimit);
  Tcp::socket connection = stepped.Accept();
  stepped.TakeRequest(connection);
  const std::string answer = AnswerOf(std::string(kLongBody, 'x'));
  asio::write(connection, asio::buffer(answer.substr(0, answer.size() - 1)));
  std::this_thread::sleep_for(kLimit + kBeyond);
  cr_assert(stepped.TurnUntil([&] { return !stepped.results.empty(); }));
  cr_assert(stepped.results[0].end == CallEnd::kLost);
}

namespace {

/// A server's answer that begins as given and goes on for as long as its connection lives.
void ExpectEndOfCall(const std::string& start, const std::string& more) {
  ClientPoolOptions options;
  options.answer_bytes_maximum = 1 << 20;
  SteppedPool stepped(options);
  stepped.Start(std::chrono::seconds(30));
  Tcp::socket connection = stepped.Accept();
  stepped.TakeRequest(connection);
  asio::write(connection, asio::buffer(start));
  connection.non_blocking(true);
  boost::system::error_code error;
  const auto send = [&] {
    while (!error) connection.write_some(asio::buffer(more), error);
    if (error == asio::error::would_block) error = {};
    return !stepped.results.empty();
  };
  cr_assert(stepped.TurnUntil(send));
  cr_assert(stepped.results[0].end != CallEnd::kAnswered);
  cr_assert(stepped.results[0].fault != CallFault::kTimeout);
  cr_assert(stepped.TurnUntil([&] { return send() && error; }), "the connection stays open");
}

}  // namespace

/// Guards against bytes without end in a head, which keep a call and take memory until its limit.
Test(client_pool, head_without_end_ends_the_call_and_its_connection) {
  const std::string line = "X-Field: value\r\n";
  std::string lines;
  for (int i = 0; i < 1'000; ++i) lines += line;
  ExpectEndOfCall("HTTP/1.1 200 OK\r\n", lines);
  ExpectEndOfCall("HTTP/1.1 200 OK\r\nX-Field: ", std::string(16'000, 'x'));
  ExpectEndOfCall("", std::string(16'000, 'x'));
}

/// Guards against the same in a body, whether or not its length is told.
Test(client_pool, body_without_end_ends_the_call_and_its_connection) {
  const std::string bytes(16'000, 'x');
  ExpectEndOfCall("HTTP/1.1 200 OK\r\n\r\n", bytes);
  ExpectEndOfCall("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n", bytes);
  ExpectEndOfCall("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", bytes);
}

// An extension of a chunk was kept until its line ended.
Test(client_pool, chunk_extension_without_end_ends_the_call_and_its_connection) {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string bytes(16'000, 'x');
  ExpectEndOfCall(head + "5;", bytes);
  ExpectEndOfCall(head + "5\r\nhello\r\n5;", bytes);
  ExpectEndOfCall(head + "5\r\nhello\r\n0;", bytes);
}

// Fields of trailers were kept without a bound.
Test(client_pool, trailer_without_end_ends_the_call_and_its_connection) {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string field = "X-Trailer: " + std::string(1'000, 'x') + "\r\n";
  ExpectEndOfCall(head + "5\r\nhello\r\n0\r\n", field);
  ExpectEndOfCall(head + "5\r\nhello\r\n0\r\nX-Trailer: ", std::string(16'000, 'x'));
  ExpectEndOfCall(head + "0\r\n", field);
}

namespace {

/// The result of a call whose server sends `text`, piece by piece, and then closes.
CallResult ResultOf(const std::string& text, std::size_t piece) {
  SteppedPool stepped;
  stepped.Start(std::chrono::seconds(30));
  Tcp::socket connection = stepped.Accept();
  stepped.TakeRequest(connection);
  for (std::size_t at = 0; at < text.size() && stepped.results.empty(); at += piece) {
    asio::write(connection, asio::buffer(text.substr(at, piece)));
    stepped.Turn();
  }
  connection.shutdown(Tcp::socket::shutdown_send);
  cr_assert(stepped.TurnUntil([&] { return !stepped.results.empty(); }));
  return stepped.results[0];
}

constexpr char kChunkedAnswer[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Head: head\r\n\r\n"
    "5;name=value\r\nhello\r\n7\r\n, world\r\n0;last\r\n"
    "X-Trailer: trailer\r\nX-Head: trailer\r\n\r\n";

}  // namespace

// Guards against limits that refuse extensions and trailers within them, however they arrive.
Test(client_pool, answer_in_chunks_with_extensions_and_a_trailer_is_taken) {
  for (const std::size_t piece : {1, 2, 7, 1'000}) {
    const CallResult result = ResultOf(kChunkedAnswer, piece);
    cr_assert(result.end == CallEnd::kAnswered, "in pieces of %zu", piece);
    cr_assert(result.response.body == "hello, world");
  }
}

// A server's trailer joined its head: a caller was told what no head had said.
Test(client_pool, fields_of_a_trailer_do_not_join_the_head) {
  const CallResult result = ResultOf(kChunkedAnswer, sizeof(kChunkedAnswer));
  cr_assert(result.end == CallEnd::kAnswered);
  cr_assert(result.response.fields.Find("X-Trailer") == nullptr);
  cr_assert_eq(result.response.fields.Count("X-Head"), std::size_t{1});
  cr_assert(*result.response.fields.Find("X-Head") == "head");
}

// Guards against a part of an answer in chunks that is taken for the whole of it: wherever its
// connection ends but behind it.
Test(client_pool, answer_in_chunks_that_is_cut_anywhere_is_lost) {
  const std::string whole = kChunkedAnswer;
  for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
    const CallResult result = ResultOf(whole.substr(0, bytes), whole.size());
    cr_assert(result.end == CallEnd::kLost, "cut after %zu bytes", bytes);
    cr_assert(result.fault == CallFault::kConnection);
  }
}

// Guards against an answer without a length whose connection was reset, not ended: a part of it
// may be missing.
Test(client_pool, answer_without_length_that_is_reset_is_lost) {
  SteppedPool stepped;
  stepped.Start(std::chrono::seconds(30));
  Tcp::socket connection = stepped.Accept();
  stepped.TakeRequest(connection);
  asio::write(connection, asio::buffer("HTTP/1.1 200 OK\r\n\r\nhello"));
  stepped.Turn();
  connection.set_option(asio::socket_base::linger(true, 0));
  connection.close();
  cr_assert(stepped.TurnUntil([&] { return !stepped.results.empty(); }));
  cr_assert(stepped.results[0].end == CallEnd::kLost);
}

// Interim answers without end kept a call, and its connection, until the call's limit.
Test(client_pool, interim_answers_without_end_end_the_call_and_its_connection) {
  ExpectEndOfCall("", "HTTP/1.1 102 Processing\r\n\r\n");
}

// Guards against a limit that refuses a server's usual interim answers, or that counts those of
// earlier calls over the connection.
Test(client_pool, few_interim_answers_precede_the_final_one) {
  SteppedPool stepped;
  constexpr std::size_t kCalls = 5;
  std::string interim;
  for (int count = 0; count < 8; ++count) interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
  Tcp::socket connection = stepped.ServeFirst();
  while (stepped.results.size() < kCalls) {
    const std::size_t before = stepped.results.size();
    stepped.Start(std::chrono::seconds(30));
    stepped.TakeRequest(connection);
    asio::write(connection, asio::buffer(interim + AnswerOf("final")));
    cr_assert(stepped.TurnUntil([&] { return stepped.results.size() > before; }));
    cr_assert(stepped.results.back().end == CallEnd::kAnswered);
    cr_assert(stepped.results.back().response.body == "final");
    cr_assert(!stepped.results.back().new_connection);
  }
}
