// Pipelined requests with safe methods that run in parallel, over real connections.
//
// Before, the requests that a client pipelined ran one after the other: with 260 ms of work each, a
// fourth of them was answered after a second.
#include <criterion/criterion.h>

#include "src/event_http/read_times.h"
#include "tests/event_http/stepped_server.h"

using namespace graniteseam;
using namespace graniteseam::event_http;
using namespace graniteseam::event_http::test;

namespace {

constexpr std::size_t kAhead = 16;

ServerOptions Parallel() {
  ServerOptions options;
  options.may_run_beside = [](const Request& request) { return request.method == "GET"; };
  return options;
}

std::string GetHeld(int number) { return Get("/hold?" + std::to_string(number)); }

std::string Post(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";
}

std::string GetAndClose(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
}

void AnswerWithTarget(SteppedServer& stepped, std::size_t index) {
  SteppedServer::Answer(*stepped.held.at(index),
                        "answer to " + stepped.held.at(index)->request().target + ";");
}

void TurnUntilHeld(SteppedServer& stepped, std::size_t count) {
  cr_assert(stepped.TurnUntil([&] { return stepped.held.size() >= count; }), "%zu of %zu begun.",
            stepped.held.size(), count);
}

}  // namespace

Test(parallel_requests, pipelined_reads_all_begin_before_the_first_is_answered) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(GetHeld(1) + GetHeld(2) + GetHeld(3) + GetHeld(4));
  TurnUntilHeld(stepped, 4);
}

Test(parallel_requests, early_answers_wait_for_the_ones_ahead_of_them) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(GetHeld(1) + GetHeld(2) + GetHeld(3));
  TurnUntilHeld(stepped, 3);
  AnswerWithTarget(stepped, 2);
  AnswerWithTarget(stepped, 1);
  stepped.Turn();
  bool closed = false;
  cr_assert(client.ReadArrived(1 << 16, closed).empty());
  AnswerWithTarget(stepped, 0);
  const std::string answers = stepped.ReadAnswers(client, 3);
  const std::size_t first = answers.find("answer to /hold?1;");
  const std::size_t second = answers.find("answer to /hold?2;");
  const std::size_t third = answers.find("answer to /hold?3;");
  cr_assert(first < second && second < third && third != std::string::npos, "%s", answers.c_str());
}

Test(parallel_requests, order_waits_for_reads_ahead_and_holds_back_reads_behind) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(GetHeld(1) + Post("/hold?2") + GetHeld(3));
  TurnUntilHeld(stepped, 1);
  stepped.Turn();
  cr_assert_eq(stepped.held.size(), 1, "The order began beside a read.");
  AnswerWithTarget(stepped, 0);
  TurnUntilHeld(stepped, 2);
  stepped.Turn();
  cr_assert_eq(stepped.held.size(), 2, "A read began beside an order.");
  AnswerWithTarget(stepped, 1);
  TurnUntilHeld(stepped, 3);
  AnswerWithTarget(stepped, 2);
  stepped.ReadAnswers(client, 3);
}

// Guards against a wait that no log tells: before, a request counted as received only when it was
// parsed, which the requests ahead of it delay.
Test(parallel_requests, request_sent_ahead_is_received_when_read_and_tells_its_wait) {
  for (const bool parallel : {false, true}) {
    SteppedServer stepped(parallel ? Parallel() : ServerOptions{});
    RawClient client(stepped.server->port());
    const Instant read = stepped.now;
    client.Send(Get("/hold") + "POST /hold HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx" +
                GetHeld(3));
    TurnUntilHeld(stepped, 1);
    stepped.TurnAfterSweeps();
    stepped.now += Duration{250'000};
    const auto first = std::exchange(stepped.held, {}).front();
    SteppedServer::Answer(*first, "first;");
    TurnUntilHeld(stepped, 1);
    stepped.now += Duration{50'000};
    const auto second = std::exchange(stepped.held, {}).front();
    SteppedServer::Answer(*second, "second;");
    TurnUntilHeld(stepped, 1);
    cr_assert(first->received_at() == read && second->received_at() == read);
    cr_assert(stepped.held.front()->received_at() == read);
    cr_assert(first->connection_wait() == Duration{});
    cr_assert(second->connection_wait() == Duration{250'000});
    cr_assert(stepped.held.front()->connection_wait() == Duration{300'000});
  }
}

// Guards against an account of reads that grows with the number of single bytes sent ahead.
Test(parallel_requests, instants_of_reads_are_bounded_and_never_earlier_than_the_read) {
  ReadTimes times;
  const Instant start{};
  constexpr int kReads = 1'000;
  for (int read = 1; read <= kReads; ++read) times.OnRead(1, start + Duration{read});
  for (int read = 1; read <= kReads; ++read) {
    times.OnConsumed(1);
    cr_assert(times.last_consumed_at() >= start + Duration{read});
    if (read < static_cast<int>(ReadTimes::kReadsMaximum)) {
      cr_assert(times.last_consumed_at() == start + Duration{read});
    }
  }
  times.OnConsumed(0);
  cr_assert(times.last_consumed_at() == start + Duration{kReads});
}

Test(parallel_requests, client_that_leaves_ends_each_request_in_progress_once) {
  SteppedServer stepped(Parallel());
  {
    RawClient client(stepped.server->port());
    client.Send(GetHeld(1) + GetHeld(2) + GetHeld(3));
    TurnUntilHeld(stepped, 3);
    AnswerWithTarget(stepped, 1);
  }
  cr_assert(stepped.TurnUntil([&] { return stepped.server->connections() == 0; }));
  cr_assert_eq(stepped.gone, 2);
}

// The client sends again what it sent behind the answer that ends the connection.
Test(parallel_requests, nothing_begins_behind_a_request_that_ends_the_connection) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(GetHeld(1) + GetAndClose("/hold?2") + GetHeld(3));
  TurnUntilHeld(stepped, 2);
  stepped.Turn();
  cr_assert_eq(stepped.held.size(), 2);
  AnswerWithTarget(stepped, 1);
  AnswerWithTarget(stepped, 0);
  const std::string answers = stepped.ReadToEnd(client);
  cr_assert_eq(Count(answers, " 200 OK"), 2);
  cr_assert_eq(Count(answers, "Connection: close"), 1);
  cr_assert(answers.find("answer to /hold?2;") > answers.find("Connection: close"));
}

Test(parallel_requests, drain_answers_all_that_began_and_ends_with_the_last_one) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(GetHeld(1) + GetHeld(2) + GetHeld(3));
  TurnUntilHeld(stepped, 3);
  stepped.server->BeginDrain();
  AnswerWithTarget(stepped, 1);
  AnswerWithTarget(stepped, 0);
  stepped.Turn();
  AnswerWithTarget(stepped, 2);
  const std::string answers = stepped.ReadToEnd(client);
  cr_assert_eq(Count(answers, " 200 OK"), 3);
  cr_assert_eq(Count(answers, "Connection: close"), 1);
  cr_assert(answers.find("Connection: close") > answers.find("answer to /hold?2;"));
}

Test(parallel_requests, closed_server_answers_all_that_began) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(GetHeld(1) + GetHeld(2));
  TurnUntilHeld(stepped, 2);
  stepped.server->Close();
  AnswerWithTarget(stepped, 1);
  AnswerWithTarget(stepped, 0);
  cr_assert_eq(Count(stepped.ReadToEnd(client), " 200 OK"), 2);
}

Test(parallel_requests, order_behind_reads_is_refused_by_a_server_that_closed_meanwhile) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(GetHeld(1) + Post("/order"));
  TurnUntilHeld(stepped, 1);
  stepped.server->Close();
  AnswerWithTarget(stepped, 0);
  const std::string answers = stepped.ReadToEnd(client);
  cr_assert_eq(Count(answers, " 200 OK"), 1, "%s", answers.c_str());
  cr_assert_eq(Count(answers, " 503 "), 1, "%s", answers.c_str());
  cr_assert_eq(stepped.handed_on.size(), 1);
}

Test(parallel_requests, malformed_request_is_refused_after_the_answers_ahead_of_it) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(GetHeld(1) + GetHeld(2) + "GET / HTTP/nine\r\n\r\n" + GetHeld(3));
  TurnUntilHeld(stepped, 2);
  AnswerWithTarget(stepped, 1);
  stepped.Turn();
  AnswerWithTarget(stepped, 0);
  const std::string answers = stepped.ReadToEnd(client);
  cr_assert_eq(Count(answers, " 200 OK"), 2);
  cr_assert(answers.find(" 400 ") > answers.find("answer to /hold?2;"), "%s", answers.c_str());
  cr_assert_eq(stepped.held.size(), 2);
}

// An interim response between two answers would be taken for a part of the first.
Test(parallel_requests, leave_to_send_a_body_waits_for_the_answers_ahead) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(GetHeld(1) +
              "POST /order HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
              "Content-Length: 1\r\n\r\n");
  TurnUntilHeld(stepped, 1);
  stepped.Turn();
  bool closed = false;
  cr_assert(client.ReadArrived(1 << 16, closed).empty());
  AnswerWithTarget(stepped, 0);
  std::string answers;
  cr_assert(stepped.TurnUntil([&] {
    answers += client.ReadArrived(1 << 16, closed);
    return answers.find("100 Continue") != std::string::npos;
  }));
  cr_assert(answers.find("100 Continue") > answers.find("answer to /hold?1;"));
  client.Send("x");
  stepped.ReadAnswers(client, 1);
}

Test(parallel_requests, clients_that_read_nothing_are_bounded_in_what_they_begin) {
  constexpr int kClients = 50;
  constexpr std::size_t kSent = 3 * kAhead;
  ServerOptions options = Parallel();
  options.requests_ahead_maximum = kAhead;
  SteppedServer stepped(options);
  std::vector<std::unique_ptr<RawClient>> clients;
  std::string bytes;
  for (std::size_t number = 0; number < kSent; ++number) bytes += GetHeld(static_cast<int>(number));
  for (int client = 0; client < kClients; ++client) {
    clients.push_back(std::make_unique<RawClient>(stepped.server->port()));
    clients.back()->Send(bytes);
  }
  TurnUntilHeld(stepped, kClients * kAhead);
  for (int round = 0; round < 20; ++round) stepped.Turn();
  cr_assert_eq(stepped.held.size(), kClients * kAhead);
}

Test(parallel_requests, large_answers_that_wait_hold_back_further_requests) {
  ServerOptions options = Parallel();
  options.answer_bytes_ahead = 1'000;
  SteppedServer stepped(options);
  RawClient client(stepped.server->port());
  client.Send(GetHeld(1) + GetHeld(2));
  TurnUntilHeld(stepped, 2);
  SteppedServer::Answer(*stepped.held.at(1), std::string(2'000, 'x') + ";");
  client.Send(GetHeld(3));
  for (int round = 0; round < 20; ++round) stepped.Turn();
  cr_assert_eq(stepped.held.size(), 2);
  AnswerWithTarget(stepped, 0);
  TurnUntilHeld(stepped, 3);
}

// The slow request is in progress; its client has not stopped sending a head.
Test(parallel_requests, head_in_parts_has_its_time_from_the_last_answer_on) {
  SteppedServer stepped(Parallel());
  ServerLimits limits;
  limits.header_timeout = std::chrono::seconds(2);
  limits.idle_timeout = kIdle;
  stepped.server->SetLimits(limits);
  RawClient client(stepped.server->port());
  client.Send(GetHeld(1) + "GET /late HTTP/1.1\r\n");
  TurnUntilHeld(stepped, 1);
  stepped.now += std::chrono::seconds(5);
  stepped.TurnAfterSweeps();
  cr_assert_eq(stepped.server->connections(), 1);
  AnswerWithTarget(stepped, 0);
  stepped.ReadAnswers(client, 1);
  stepped.TurnAfterSweeps();
  client.Send("Host: a\r\n\r\n");
  stepped.ReadAnswers(client, 1);
}

// The last answer in progress ended the connection, and the refusal was never sent.
Test(parallel_requests, read_sent_to_a_closed_server_is_refused_after_the_answers_ahead_of_it) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(GetHeld(1));
  TurnUntilHeld(stepped, 1);
  stepped.server->Close();
  client.Send(GetHeld(2));
  stepped.Turn();
  AnswerWithTarget(stepped, 0);
  const std::string answers = stepped.ReadToEnd(client);
  cr_assert_eq(Count(answers, " 200 OK"), 1, "%s", answers.c_str());
  cr_assert_eq(Count(answers, " 503 "), 1, "%s", answers.c_str());
  cr_assert_eq(stepped.held.size(), 1);
}

// The order began although its answer could not reach anybody.
Test(parallel_requests, nothing_begins_for_a_client_that_ended_its_sending) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(Get("/large") + GetHeld(2) + Post("/order"));
  TurnUntilHeld(stepped, 1);
  client.EndSending();
  for (int round = 0; round < 20; ++round) stepped.Turn();
  AnswerWithTarget(stepped, 0);
  const std::string answers = stepped.ReadToEnd(client);
  cr_assert_eq(Count(answers, " 200 OK"), 2, "%zu begun.", stepped.handed_on.size());
  cr_assert_eq(stepped.handed_on.size(), 2);
}

// The connection of a client that always has a further read in progress outlasted the drain.
Test(parallel_requests, drain_ends_a_connection_that_always_has_reads_in_progress) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(GetHeld(0) + GetHeld(1));
  TurnUntilHeld(stepped, 2);
  stepped.server->BeginDrain();
  std::size_t answered = 0;
  for (; answered < stepped.held.size() && answered < kAhead; ++answered) {
    AnswerWithTarget(stepped, answered);
    client.Send(GetHeld(static_cast<int>(stepped.held.size())));
    for (int round = 0; round < 5; ++round) stepped.Turn();
  }
  cr_assert_eq(answered, 2, "%zu begun.", stepped.held.size());
  const std::string answers = stepped.ReadToEnd(client);
  cr_assert_eq(Count(answers, "Connection: close"), 1);
  cr_assert(answers.find("answer to /hold?1;") > answers.find("Connection: close"));
}

// A client sends again what it sent behind the answer that ends the connection.
Test(parallel_requests, order_behind_reads_that_end_a_drained_connection_does_not_begin) {
  ServerOptions options = Parallel();
  options.account = std::make_shared<ByteAccount>(options.body_bytes_total);
  SteppedServer stepped(options);
  RawClient client(stepped.server->port());
  client.Send(GetHeld(1) + GetHeld(2) + Post("/order"));
  TurnUntilHeld(stepped, 2);
  stepped.server->BeginDrain();
  AnswerWithTarget(stepped, 0);
  stepped.Turn();
  AnswerWithTarget(stepped, 1);
  const std::string answers = stepped.ReadToEnd(client);
  cr_assert_eq(Count(answers, " 200 OK"), 2, "%s", answers.c_str());
  cr_assert_eq(Count(answers, "Connection: close"), 1);
  cr_assert_eq(stepped.handed_on.size(), 2);
  RawClient other(stepped.server->port());
  other.Send(Post("/order"));
  cr_assert_eq(Count(stepped.ReadToEnd(other), " 200 OK"), 1);
  stepped.held.clear();
  cr_assert_eq(options.account->held(), 0, "Its body bytes were not returned.");
}

// Bytes that the client goes on sending do not show that it takes its answer. All of this takes
// less time than the system itself gives an answer that nobody takes (3 s).
Test(parallel_requests, client_that_sends_but_takes_nothing_is_hung_up_on) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(Get("/large"));
  stepped.Turn();
  for (int round = 0; round < 3; ++round) {
    client.Send("G");
    stepped.Turn();
    stepped.now += kWriteLimit * 3 / 4;
    stepped.TurnAfterSweeps();
  }
  cr_assert_eq(stepped.server->connections(), 0);
}

// The connection rested for the time that a client has to read its last answer.
Test(parallel_requests,
     last_answer_to_a_client_that_ended_its_sending_ends_the_connection_at_once) {
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port());
  client.Send(GetAndClose("/large"));
  cr_assert(stepped.TurnUntil([&] { return !stepped.handed_on.empty(); }));
  client.EndSending();
  for (int round = 0; round < 20; ++round) stepped.Turn();
  cr_assert_eq(Count(stepped.ReadToEnd(client), " 200 OK"), 1);
  stepped.Turn();
  cr_assert_eq(stepped.server->connections(), 0);
}

// What the client sent met a socket that was closed already, and the reset discarded the rest of
// the answer.
Test(parallel_requests, answer_that_a_close_comes_amid_is_whole_for_a_client_that_goes_on_sending) {
  constexpr int kReceiveBytes = 4'096;
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port(), kReceiveBytes);
  client.Send(GetHeld(1));
  TurnUntilHeld(stepped, 1);
  SteppedServer::Answer(*stepped.held.at(0), std::string(std::size_t{64} << 10, 'x') + ";");
  stepped.server->Close();
  stepped.Turn();
  client.Send(GetHeld(2));
  const std::string answer = stepped.ReadToEnd(client);
  cr_assert(answer.ends_with(";"), "%zu bytes came.", answer.size());
}

// The same for an answer that the system had taken before the close.
Test(parallel_requests, answer_written_before_a_close_is_whole_for_a_client_that_goes_on_sending) {
  constexpr int kReceiveBytes = 4'096;
  SteppedServer stepped(Parallel());
  RawClient client(stepped.server->port(), kReceiveBytes);
  client.Send(GetHeld(1));
  TurnUntilHeld(stepped, 1);
  SteppedServer::Answer(*stepped.held.at(0), std::string(std::size_t{64} << 10, 'x') + ";");
  cr_assert(stepped.TurnUntil([&] { return stepped.server->busy() == 0; }));
  stepped.server->Close();
  stepped.Turn();
  client.Send(GetHeld(2));
  const std::string answer = stepped.ReadToEnd(client);
  cr_assert(answer.ends_with(";"), "%zu bytes came.", answer.size());
}
