// The router's path to servers, with servers that answer wrongly, late, cut or crossed.
#include "src/http/request_driver.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <set>
#include <thread>
#include <vector>

#include "tests/http/router_fixture.h"
#include "tests/http/scripted_server.h"

using namespace std::chrono_literals;
using namespace graniteseam;
using namespace graniteseam::test;
using routing::RequestOutcome;

namespace {

Script Right(const std::string& body = "right") { return {Answer(200, body), false, {}}; }

void ExpectUnknownAndRunOnce(RouterFixture& router, const ScriptedServer& server) {
  const http::CallerReply reply = router.Call(kShutOffs);
  cr_assert(reply.outcome == RequestOutcome::kOutcomeUnknown);
  cr_assert_eq(reply.status, 502);
  cr_assert_eq(server.requests(), 1, "what may have run is never sent again");
  // The journal is told too, so that a resend is not run either.
  while (router.completions().empty()) std::this_thread::sleep_for(1ms);
  cr_assert(router.completions()[0].kind == control::CompletionKind::kUnknownOutcome);
}

}  // namespace

Test(request_driver, forwards_the_request_with_the_documented_headers) {
  std::string seen;
  ScriptedServer server([&](const std::string& request, int) {
    seen = request;
    return Script{Answer(201, "made", "X-Note: kept\r\nConnection: keep-alive\r\n"), false, {}};
  });
  RouterFixture router;
  router.AddServer("a", kReadings, server.address());
  for (std::uint32_t shard = 0; shard < 4; ++shard) {
    router.Assign(shard, control::ShardState::kAssigned, "a", 9);
  }
  router.Start();
  const http::CallerReply reply = router.Call(kReadings, "meter-1");
  cr_assert(reply.outcome == RequestOutcome::kAnswered);
  cr_assert_eq(reply.status, 201);
  cr_assert_str_eq(reply.body.c_str(), "made");
  cr_assert_eq(HeaderOf(seen, "Graniteseam-Epoch"), "9");
  cr_assert_eq(HeaderOf(seen, "Graniteseam-Shard"),
               std::to_string(routing::ShardOfKey("meter-1", 4)));
  cr_assert(seen.ends_with("body"));
  bool note = false;
  for (const auto& [name, value] : reply.headers) {
    note = note || name == "X-Note";
    cr_assert_neq(name, "Connection");
    cr_assert_neq(name, "Graniteseam-Attempt");
  }
  cr_assert(note);
}

Test(request_driver, never_gives_out_an_answer_with_another_attempts_id) {
  ScriptedServer server([](const std::string&, int) {
    return Script{Answer(200, "for someone else", "", "other"), false, {}};
  });
  RouterFixture router;
  router.AddServer("a", kShutOffs, server.address());
  router.Start();
  ExpectUnknownAndRunOnce(router, server);
  router.Call(kShutOffs);
  cr_assert_eq(server.connections(), 2, "the connection was closed and not used again");
}

Test(request_driver, takes_a_truncated_answer_for_none) {
  ScriptedServer server([](const std::string&, int) {
    std::string bytes = Answer(200, "a longer body");
    bytes.resize(bytes.size() - 4);
    return Script{bytes, true, {}};
  });
  RouterFixture router;
  router.AddServer("a", kShutOffs, server.address());
  router.Start();
  ExpectUnknownAndRunOnce(router, server);
}

// Guards against lines of chunks and trailers that are kept for as long as a server sends them.
Test(request_driver, bounds_chunk_extensions_and_trailers_of_answers) {
  const std::string head =
      "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\nGraniteseam-Attempt: {attempt}\r\n\r\n";
  const std::string much(std::size_t{17} << 20, 'x');
  for (const char* start : {"5;", "5\r\nhello\r\n0\r\nX-Trailer: "}) {
    ScriptedServer server([&](const std::string&, int) {
      return Script{head + start + much, false, {}};
    });
    RouterFixture router;
    router.AddServer("a", kShutOffs, server.address());
    router.Start();
    ExpectUnknownAndRunOnce(router, server);
  }
}

Test(request_driver, takes_an_answer_whose_end_is_not_marked_for_none) {
  ScriptedServer server([](const std::string&, int) {
    return Script{"HTTP/1.1 200 OK\r\nGraniteseam-Attempt: {attempt}\r\n\r\nhalf", true, {}};
  });
  RouterFixture router;
  router.AddServer("a", kShutOffs, server.address());
  router.Start();
  ExpectUnknownAndRunOnce(router, server);
}

// Guards against a status beyond 100 to 599 that reaches the caller.
Test(request_driver, takes_an_answer_whose_status_is_none_for_none) {
  for (const std::string status :
       {"000 No", "010 No", "099 No", "101 Switching Protocols", "600 No", "999 No", "20 No"}) {
    ScriptedServer server([&](const std::string&, int) {
      return Script{"HTTP/1.1 " + status +
                        "\r\nGraniteseam-Attempt: {attempt}\r\nContent-Length: 4\r\n\r\nbody",
                    false,
                    {}};
    });
    RouterFixture router;
    router.AddServer("a", kShutOffs, server.address());
    router.Start();
    ExpectUnknownAndRunOnce(router, server);
  }
}

// Guards against an interim answer that is taken for the final one.
Test(request_driver, skips_interim_answers) {
  for (const std::string status : {"100 Continue", "102 Processing", "103 Early Hints", "199 x"}) {
    ScriptedServer server([&](const std::string&, int) {
      return Script{"HTTP/1.1 " + status + "\r\nLink: a\r\n\r\n" + Answer(200, "right"), false, {}};
    });
    RouterFixture router;
    router.AddServer("a", kShutOffs, server.address());
    router.Start();
    for (int call = 0; call < 2; ++call) {
      const http::CallerReply reply = router.Call(kShutOffs);
      cr_assert(reply.outcome == RequestOutcome::kAnswered, "%s", status.c_str());
      cr_assert_eq(reply.status, 200, "%s", status.c_str());
      cr_assert_str_eq(reply.body.c_str(), "right");
    }
    cr_assert_eq(server.connections(), 1, "%s", status.c_str());
  }
}

// Guards against a process that a status line without end brings down.
Test(request_driver, bounds_heads_of_answers) {
  const std::string head = "HTTP/1.1 200 OK\r\nGraniteseam-Attempt: {attempt}\r\n";
  std::string fields = head;
  while (fields.size() < std::size_t{1} << 20) fields += "Field: value\r\n";
  std::string interim;
  while (interim.size() < std::size_t{1} << 20) interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
  for (const std::string& start :
       {"HTTP/1.1 200 " + std::string(std::size_t{1} << 20, 'x'), fields, interim}) {
    ScriptedServer server([&](const std::string&, int) {
      return Script{start + "\r\nContent-Length: 0\r\n\r\n", false, {}};
    });
    RouterFixture router;
    router.AddServer("a", kShutOffs, server.address());
    router.Start();
    ExpectUnknownAndRunOnce(router, server);
  }
}

Test(request_driver, does_not_send_again_on_a_kept_connection_that_dies_under_the_request) {
  ScriptedServer server([](const std::string&, int number) {
    // The second request arrives on the kept connection, and the server falls silent for good.
    return number == 1 ? Right() : Script{"", true, {}};
  });
  RouterFixture router;
  router.AddServer("a", kShutOffs, server.address());
  router.Start();
  cr_assert(router.Call(kShutOffs).outcome == RequestOutcome::kAnswered);
  cr_assert(router.Call(kShutOffs).outcome == RequestOutcome::kOutcomeUnknown);
  cr_assert_eq(server.requests(), 2);
  cr_assert_eq(server.connections(), 1);
}

Test(request_driver, finds_a_kept_connection_dead_before_it_is_used) {
  ScriptedServer server([](const std::string&, int number) {
    Script script = Right();
    script.close = number == 1;
    return script;
  });
  RouterFixture router;
  router.AddServer("a", kShutOffs, server.address());
  router.Start();
  cr_assert(router.Call(kShutOffs).outcome == RequestOutcome::kAnswered);
  std::this_thread::sleep_for(50ms);  // For the close to arrive; either way the call must succeed
                                      // or be unknown, never doubled.
  const http::CallerReply reply = router.Call(kShutOffs);
  cr_assert_leq(server.requests(), 2);
  cr_assert(reply.outcome == RequestOutcome::kAnswered ||
            reply.outcome == RequestOutcome::kOutcomeUnknown);
}

Test(request_driver, late_answers_reach_nobody) {
  std::atomic<bool> release{false};
  ScriptedServer server([&](const std::string&, int number) {
    if (number > 1) return Right("second");
    return Script{Answer(200, "first, late"), false, [&] {
                    while (!release) std::this_thread::sleep_for(1ms);
                  }};
  });
  RouterFixture router;
  router.AddServer("a", kArchive, server.address());
  router.Start();
  const http::CallerReply first = router.Call(kArchive, {}, 100ms);
  cr_assert(first.outcome == RequestOutcome::kOutcomeUnknown);
  release = true;
  const http::CallerReply second = router.Call(kArchive);
  cr_assert_str_eq(second.body.c_str(), "second");
  cr_assert_eq(server.connections(), 2);
}

Test(request_driver, bytes_that_belong_to_no_request_spoil_the_connection) {
  ScriptedServer server([](const std::string&, int number) {
    // Two answers at once to the first request: the second must not become the next request's.
    return number == 1 ? Script{Answer(200, "one") + Answer(200, "crossed"), false, {}}
                       : Right("two");
  });
  RouterFixture router;
  router.AddServer("a", kArchive, server.address());
  router.Start();
  cr_assert_str_eq(router.Call(kArchive).body.c_str(), "one");
  cr_assert_str_eq(router.Call(kArchive).body.c_str(), "two");
}

Test(request_driver, every_caller_gets_its_own_answer) {
  ScriptedServer server(
      [](const std::string& request, int) { return Right(HeaderOf(request, "Graniteseam-Key")); });
  RouterFixture router;
  router.AddServer("a", kReadings, server.address());
  for (std::uint32_t shard = 0; shard < 4; ++shard) {
    router.Assign(shard, control::ShardState::kAssigned, "a", 1);
  }
  router.Start();
  std::atomic<int> wrong{0};
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; i < 100; ++i) {
        const std::string key = std::to_string(caller) + "-" + std::to_string(i);
        if (router.Call(kReadings, key).body != key) ++wrong;
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  cr_assert_eq(wrong, 0);
}

Test(request_driver, says_not_run_only_when_the_server_marked_it) {
  std::atomic<int> status{429};
  std::atomic<bool> marked{true};
  ScriptedServer server([&](const std::string&, int) {
    return Script{Answer(status, "", marked ? "Graniteseam-Outcome: not-run\r\n" : ""), false, {}};
  });
  RouterFixture router;
  router.AddServer("a", kShutOffs, server.address());
  router.Start();
  const http::CallerReply shed = router.Call(kShutOffs, {}, 500ms);
  cr_assert(shed.outcome == RequestOutcome::kNotRun);
  cr_assert_eq(shed.status, 429);
  cr_assert(shed.retry_after.has_value());
  marked = false;
  const http::CallerReply answered = router.Call(kShutOffs, {}, 500ms);
  cr_assert(answered.outcome == RequestOutcome::kAnswered, "without the mark it counts as run");
  cr_assert_eq(answered.status, 429);
}

Test(request_driver, nothing_listens_is_proven_not_run) {
  std::string address;
  {
    address = ScriptedServer([](const std::string&, int) { return Right(); }).address();
  }
  RouterFixture router;
  router.AddServer("a", kShutOffs, address);
  router.Start();
  const http::CallerReply reply = router.Call(kShutOffs, {}, 2s);
  cr_assert(reply.outcome == RequestOutcome::kNotRun);
  cr_assert_eq(reply.status, 503);
  while (router.completions().empty()) std::this_thread::sleep_for(1ms);
  cr_assert(router.completions()[0].kind == control::CompletionKind::kNotRun);
}

Test(request_driver, a_kept_answer_is_given_without_sending) {
  ScriptedServer server([](const std::string&, int) { return Right(); });
  RouterFixture router;
  router.AddServer("a", kShutOffs, server.address());
  router.verdict = control::ClaimVerdict::kAnswered;
  router.kept = control::KeptAnswer{201, "text/plain", "kept"};
  router.Start();
  const http::CallerReply reply = router.Call(kShutOffs);
  cr_assert(reply.outcome == RequestOutcome::kKept);
  cr_assert_str_eq(reply.body.c_str(), "kept");
  cr_assert_eq(server.requests(), 0);
}

Test(request_driver, holds_a_request_while_its_shard_moves) {
  ScriptedServer server([](const std::string&, int) { return Right("new owner"); });
  RouterFixture router;
  router.AddServer("old", kReadings, "127.0.0.1:1");
  router.AddServer("new", kReadings, server.address());
  const std::uint32_t shard = routing::ShardOfKey("meter-1", 4);
  router.Assign(shard, control::ShardState::kMoving, "old", 4);
  router.Start();
  std::thread mover([&] {
    while (router.driver().Status().held == 0) std::this_thread::sleep_for(1ms);
    router.Change([&](control::MapUpdate& update) {
      update.shards = {{{kReadings, shard}, control::ShardState::kAssigned, {"new"}, {5}}};
    });
  });
  const http::CallerReply reply = router.Call(kReadings, "meter-1");
  mover.join();
  cr_assert_str_eq(reply.body.c_str(), "new owner");
}

Test(request_driver, leaves_a_silent_old_owner_when_the_map_names_a_new_one) {
  std::atomic<bool> release{false};
  ScriptedServer frozen([&](const std::string&, int) {
    return Script{Answer(200, "old"), false, [&] {
                    while (!release) std::this_thread::sleep_for(1ms);
                  }};
  });
  ScriptedServer fresh([](const std::string&, int) { return Right("new owner"); });
  RouterFixture router;
  router.AddServer("old", kReadings, frozen.address());
  router.AddServer("new", kReadings, fresh.address());
  const std::uint32_t shard = routing::ShardOfKey("meter-1", 4);
  router.Assign(shard, control::ShardState::kAssigned, "old", 4);
  router.Start();
  std::thread mover([&] {
    while (frozen.requests() == 0) std::this_thread::sleep_for(1ms);
    router.Change([&](control::MapUpdate& update) {
      update.shards = {{{kReadings, shard}, control::ShardState::kAssigned, {"new"}, {5}}};
    });
  });
  const http::CallerReply reply = router.Call(kReadings, "meter-1");
  mover.join();
  release = true;
  cr_assert_str_eq(reply.body.c_str(), "new owner");
}

Test(request_driver, a_caller_that_goes_away_ends_its_request) {
  std::atomic<bool> release{false};
  ScriptedServer server([&](const std::string&, int) {
    return Script{Answer(200, "late"), false, [&] {
                    while (!release) std::this_thread::sleep_for(1ms);
                  }};
  });
  RouterFixture router;
  router.AddServer("a", kArchive, server.address());
  router.Start();
  std::thread leaver([&] {
    while (server.requests() == 0) std::this_thread::sleep_for(1ms);
    router.driver().OnCallerGone(1);
  });
  const http::CallerReply reply = router.Call(kArchive);
  leaver.join();
  cr_assert(reply.outcome == RequestOutcome::kOutcomeUnknown);
  cr_assert_eq(router.driver().Status().requests, 0);
  release = true;
}

Test(request_driver, hedges_a_slow_attempt_and_gives_out_one_answer) {
  std::atomic<bool> freeze{false};
  std::atomic<bool> release{false};
  const auto answer = [&](const std::string&, int) {
    return Script{Answer(200, "right"), false, [&] {
                    const bool frozen = freeze.exchange(false);
                    while (frozen && !release) std::this_thread::sleep_for(1ms);
                  }};
  };
  ScriptedServer one(answer);
  ScriptedServer two(answer);
  RouterFixture router;
  router.AddServer("one", kSearch, one.address());
  router.AddServer("two", kSearch, two.address());
  router.Start();
  // The router has to learn how long an answer takes.
  for (int i = 0; i < 40; ++i) router.Call(kSearch);
  freeze = true;  // Whichever server is asked next does not answer.
  const http::CallerReply reply = router.Call(kSearch);
  release = true;
  cr_assert(reply.outcome == RequestOutcome::kAnswered);
  cr_assert_geq(router.driver().Status().hedges, 1);
  cr_assert_eq(router.driver().attempts(), 0, "nothing is remembered of attempts that ended");
}

Test(request_driver, a_stop_finishes_what_is_in_flight_and_refuses_what_is_new) {
  std::atomic<bool> release{false};
  ScriptedServer server([&](const std::string&, int) {
    return Script{Answer(200, "finished"), false, [&] {
                    while (!release) std::this_thread::sleep_for(1ms);
                  }};
  });
  RouterFixture router;
  router.AddServer("a", kShutOffs, server.address());
  router.Start();
  std::thread stopper([&] {
    while (server.requests() == 0) std::this_thread::sleep_for(1ms);
    router.driver().PrepareStop();
    cr_assert_not(router.driver().Ready());
    const http::CallerReply refused = router.Call(kArchive);
    cr_assert(refused.outcome == RequestOutcome::kNotRun);
    cr_assert_eq(refused.status, 503);
    // An operation may have been sent before, through another router.
    const http::CallerReply operation = router.Call(kShutOffs);
    cr_assert(operation.outcome == RequestOutcome::kOutcomeUnknown);
    cr_assert_eq(operation.status, 503);
    release = true;
  });
  const http::CallerReply reply = router.Call(kShutOffs);
  stopper.join();
  cr_assert_str_eq(reply.body.c_str(), "finished");
  while (!router.driver().Status().journal_idle) std::this_thread::sleep_for(1ms);
}
