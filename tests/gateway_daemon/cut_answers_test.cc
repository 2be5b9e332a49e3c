// Answers that a server begins and does not end, through a whole gateway process: callers never get
// a success that is not the server's whole answer, and each gets the answer to its own request.
#include <criterion/criterion.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/gateway_daemon/gateway_stand_ins.h"
#include "tests/gateway_daemon/scripted_server.h"
#include "tests/support/raw_client.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

enum class Ending { kClose, kReset };
constexpr Ending kEndings[] = {Ending::kClose, Ending::kReset};

/// A gateway whose server answers as it is told.
struct Fixture {
  ScriptedServer worker{[this](const ServedConnection& connection, const TakenRequest& request) {
    ScriptedServer::Script script;
    {
      const std::lock_guard lock(mutex);
      script = next_script;
    }
    return script(connection, request);
  }};
  ControlStandIn control;
  RunningGateway gateway;
  std::mutex mutex;
  ScriptedServer::Script next_script;  ///< Guarded by the mutex.
  int number = 0;

  explicit Fixture(traffic::RouteKind kind, double link_mbps = 0)
      : control({worker.address()}, {}, [kind](traffic::Route& route) { route.kind = kind; }),
        gateway("g-1", control.server.port(), std::chrono::seconds(2), link_mbps) {
    AnswerBy([](const auto& connection, const auto& request) {
      return connection.Send(WholeAnswer(request));
    });
    Ask("GET");
  }

  void AnswerBy(ScriptedServer::Script script) {
    const std::lock_guard lock(mutex);
    next_script = std::move(script);
  }

  std::string Request(const std::string& method, bool last = true) {
    const std::string id = std::to_string(++number);
    return method + " /" + id + " HTTP/1.1\r\nHost: a\r\nAttempt: " + id +
           "\r\nContent-Length: 0\r\n" + (last ? "Connection: close\r\n" : "") + "\r\n";
  }

  /// Sends requests until one reaches the server: a gateway rests a server that fails.
  /// @return the answer to that one.
  std::string Ask(const std::string& method) {
    constexpr int kTriesMaximum = 6'000;
    for (int tries = 0; tries < kTriesMaximum; ++tries) {
      RawClient client(gateway.settings.caller_address.port);
      client.Send(Request(method));
      bool closed = false;
      std::string answer = client.ReadToEnd(closed);
      if (worker.Took(std::to_string(number))) return answer;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    cr_assert_fail("No request reached the server.");
    return {};
  }

  /// Sends each proper prefix of an answer from `first` bytes on, and asserts that it is no
  /// success.
  /// `$ID` in the answer stands for the request's id.
  void AssertNoPrefixSucceeds(const std::string& method, const std::string& answer,
                              std::size_t first = 1) {
    for (const Ending ending : kEndings) {
      for (std::size_t bytes = first; bytes < answer.size(); ++bytes) {
        AnswerBy([&, bytes](const ServedConnection& connection, const TakenRequest& request) {
          connection.Send(WithId(answer.substr(0, bytes), request.id));
          ending == Ending::kClose ? connection.End() : connection.Reset();
          return false;
        });
        AssertFailure(Ask(method), answer.substr(0, bytes));
      }
    }
  }

  static std::string WithId(std::string text, const std::string& id) {
    for (std::size_t at = 0; (at = text.find("$ID", at)) != std::string::npos;) {
      text.replace(at, 3, id);
    }
    return text;
  }

  /// An answer of the gateway's own to the newest request, which promises nothing.
  void AssertFailure(const std::string& answer, const std::string& sent) const {
    cr_assert(answer.starts_with("HTTP/1.1 502 "), "After \"%s\": %s", sent.c_str(),
              answer.c_str());
    cr_assert(answer.find("Attempt: " + std::to_string(number) + "\r\n") != std::string::npos, "%s",
              answer.c_str());
    cr_assert(answer.find("Seal: ") == std::string::npos, "%s", answer.c_str());
  }
};

std::string Head(const std::string& status_line, const std::string& fields = "") {
  return "HTTP/1.1 " + status_line + "\r\nAttempt: $ID\r\nSeal: s\r\n" + fields + "\r\n";
}

}  // namespace

/// Guards against an answer without length that is taken for whole after its connection's reset.
Test(cut_answers, answer_without_length_that_is_reset_is_no_success, .timeout = 120) {
  for (const auto kind : {traffic::RouteKind::kUnsafe, traffic::RouteKind::kDownload}) {
    Fixture fixture(kind);
    for (const std::string body : {"", "b", "body"}) {
      fixture.AnswerBy([body](const ServedConnection& connection, const TakenRequest& request) {
        connection.Send(Fixture::WithId(Head("200 OK"), request.id) + body);
        connection.Reset();
        return false;
      });
      fixture.AssertFailure(fixture.Ask("POST"), body);
    }
  }
}

/// Guards against a success with a part of a chunked body: cut in a chunk, in its line, behind the
/// last chunk, and in a trailer.
Test(cut_answers, chunked_answer_cut_at_any_byte_is_no_success, .timeout = 300) {
  Fixture fixture(traffic::RouteKind::kUnsafe);
  const std::string head = Head("200 OK", "Transfer-Encoding: chunked\r\n");
  fixture.AssertNoPrefixSucceeds("POST", head + "4;e=1\r\nbody\r\n2\r\nxx\r\n0\r\nT: 1\r\n\r\n",
                                 head.size());
  // The same bytes, whole.
  fixture.AnswerBy([&](const ServedConnection& connection, const TakenRequest& request) {
    return connection.Send(Fixture::WithId(head, request.id) +
                           "4;e=1\r\nbody\r\n2\r\nxx\r\n0\r\n\r\n");
  });
  const std::string whole = fixture.Ask("POST");
  cr_assert(whole.starts_with("HTTP/1.1 200 ") && whole.ends_with("bodyxx"), "%s", whole.c_str());
}

/// Guards against an interim answer, or a head behind one, that is taken for the final answer.
Test(cut_answers, answer_cut_behind_an_interim_one_is_no_success, .timeout = 300) {
  Fixture fixture(traffic::RouteKind::kUnsafe);
  const std::string answer =
      Head("103 Early Hints", "Link: a\r\n") + Head("200 OK", "Content-Length: 2\r\n") + "ab";
  fixture.AssertNoPrefixSucceeds("POST", answer);
  fixture.AnswerBy([&](const ServedConnection& connection, const TakenRequest& request) {
    return connection.Send(Fixture::WithId(answer, request.id));
  });
  const std::string whole = fixture.Ask("POST");
  cr_assert(whole.starts_with("HTTP/1.1 200 ") && whole.ends_with("ab"), "%s", whole.c_str());
}

/// Guards against a status that is none and reaches the caller, and against a request that may have
/// run and is sent again, or called not run, for it.
Test(cut_answers, answer_whose_status_is_none_is_a_failure, .timeout = 120) {
  Fixture fixture(traffic::RouteKind::kUnsafe);
  for (const std::string status : {"000 No", "010 No", "099 No", "101 Switching Protocols",
                                   "600 No", "700 No", "999 No", "1000 No"}) {
    for (const std::string fields : {"", "Not-Executed: 1\r\n"}) {
      const std::string head = Head(status, fields + "Content-Length: 4\r\n");
      std::atomic<int> sends{0};
      fixture.AnswerBy([&](const ServedConnection& connection, const TakenRequest& request) {
        ++sends;
        return connection.Send(Fixture::WithId(head, request.id) + "body");
      });
      fixture.AssertFailure(fixture.Ask("POST"), head);
      cr_assert_eq(sends, 1, "%s", head.c_str());
    }
  }
}

/// Guards against a part of a head that passes for an answer that has no body anyway.
Test(cut_answers, answers_without_body_that_are_cut_in_their_head_are_no_success, .timeout = 300) {
  Fixture fixture(traffic::RouteKind::kUnsafe);
  fixture.AssertNoPrefixSucceeds("HEAD", Head("200 OK", "Content-Length: 9\r\n"));
  fixture.AssertNoPrefixSucceeds("POST", Head("204 No Content"));
  fixture.AssertNoPrefixSucceeds("GET", Head("304 Not Modified"));
  const std::pair<std::string, std::string> whole[] = {
      {"HEAD", Head("200 OK", "Content-Length: 9\r\n")},
      {"POST", Head("204 No Content")},
      {"GET", Head("304 Not Modified")}};
  for (const auto& [method, head] : whole) {
    fixture.AnswerBy([&head](const ServedConnection& connection, const TakenRequest& request) {
      return connection.Send(Fixture::WithId(head, request.id));
    });
    const std::string answer = fixture.Ask(method);
    cr_assert(answer.starts_with(head.substr(0, head.find("\r\n"))), "%s", answer.c_str());
    cr_assert(answer.ends_with("\r\n\r\n"), "%s", answer.c_str());
  }
}

/// Guards against a success with an empty body after a cut in the head of a later answer on a kept
/// connection, and against the rest of an earlier answer in its place.
Test(cut_answers, second_answer_of_a_kept_connection_cut_in_its_head_is_no_success,
     .timeout = 300) {
  Fixture fixture(traffic::RouteKind::kUnsafe);
  const std::string second = Head("200 OK", "Content-Length: 4\r\n") + "next";
  for (const Ending ending : kEndings) {
    for (std::size_t bytes = 0; bytes < second.size(); ++bytes) {
      std::atomic<int> place{0};
      fixture.AnswerBy([&](const ServedConnection& connection, const TakenRequest& request) {
        place = request.place;
        if (request.place == 1) return connection.Send(WholeAnswer(request));
        connection.Send(Fixture::WithId(second.substr(0, bytes), request.id));
        ending == Ending::kClose ? connection.End() : connection.Reset();
        return false;
      });
      std::string answer = fixture.Ask("POST");
      while (place == 1) {
        cr_assert(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("body"));
        answer = fixture.Ask("POST");
      }
      fixture.AssertFailure(answer, second.substr(0, bytes));
    }
  }
}

/// Guards against large, paced answers that begin before the server has sent them whole.
Test(cut_answers, download_that_is_cut_is_no_success, .timeout = 120) {
  constexpr double kLinkMbps = 100;
  constexpr std::size_t kBodyBytes = std::size_t{1} << 20;
  Fixture fixture(traffic::RouteKind::kDownload, kLinkMbps);
  const std::string length = "Content-Length: " + std::to_string(kBodyBytes) + "\r\n";
  const std::string whole = Head("200 OK", length) + std::string(kBodyBytes, 'd');
  for (const Ending ending : kEndings) {
    for (const std::size_t missing : {kBodyBytes / 2, std::size_t{1}}) {
      fixture.AnswerBy([&](const ServedConnection& connection, const TakenRequest& request) {
        connection.Send(Fixture::WithId(whole.substr(0, whole.size() - missing), request.id));
        ending == Ending::kClose ? connection.End() : connection.Reset();
        return false;
      });
      fixture.AssertFailure(fixture.Ask("GET"), "a part of a download");
    }
  }
  fixture.AnswerBy([&](const ServedConnection& connection, const TakenRequest& request) {
    return connection.Send(Fixture::WithId(whole, request.id));
  });
  const std::string answer = fixture.Ask("GET");
  cr_assert(answer.starts_with("HTTP/1.1 200 "));
  cr_assert_eq(answer.size() - answer.find("\r\n\r\n") - 4, kBodyBytes);
}

/// Guards against answers that are told to another request than their own, beside ones that are
/// cut: on one connection, sent ahead, and run side by side.
Test(cut_answers, requests_sent_ahead_get_their_own_answers_beside_cut_ones, .timeout = 120) {
  constexpr int kRounds = 50;
  constexpr int kAhead = 4;
  Fixture fixture(traffic::RouteKind::kSafe);
  const auto is_cut = [](const std::string& id) { return std::stoi(id) % 3 == 0; };
  fixture.AnswerBy([&](const ServedConnection& connection, const TakenRequest& request) {
    const std::string answer = WholeAnswer(request, "body of " + request.id);
    if (!is_cut(request.id)) return connection.Send(answer);
    connection.Send(answer.substr(0, answer.size() - 3));
    std::stoi(request.id) % 2 == 0 ? connection.End() : connection.Reset();
    return false;
  });
  int served = 0;
  for (int round = 0; round < kRounds; ++round) {
    RawClient client(fixture.gateway.settings.caller_address.port);
    std::string ahead;
    const int first = fixture.number + 1;
    for (int place = 1; place <= kAhead; ++place) ahead += fixture.Request("GET", place == kAhead);
    client.Send(ahead);
    bool closed = false;
    std::string answers = client.ReadToEnd(closed);
    for (int number = first; number < first + kAhead; ++number) {
      const std::size_t body = answers.find("\r\n\r\n") + 4;
      const std::string head = answers.substr(0, body);
      const std::string id = std::to_string(number);
      cr_assert(head.find("Attempt: " + id + "\r\n") != std::string::npos, "%s: %s", id.c_str(),
                answers.c_str());
      const std::size_t length = std::stoul(head.substr(head.find("Content-Length: ") + 16));
      if (head.starts_with("HTTP/1.1 200 ")) {
        cr_assert(!is_cut(id), "%s", answers.c_str());
        cr_assert_eq(answers.substr(body, length), "body of " + id);
        ++served;
      }
      answers.erase(0, body + length);
    }
    cr_assert(answers.empty(), "%s", answers.c_str());
  }
  cr_assert_gt(served, 0);
}
