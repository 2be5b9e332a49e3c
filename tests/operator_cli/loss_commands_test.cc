// `graniteseamctl log losses`: the cause that small logs give for each late, refused or failed
// request.
#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "tests/operator_cli/command_runner.h"

using graniteseam::test::CommandResult;
using graniteseam::test::RunCommand;
using graniteseam::test::TemporaryFolder;
using nlohmann::json;

namespace {

/// Writes the lines of requests as a gateway does: all of a request, and its answer last.
class GatewayLog {
 public:
  GatewayLog& note(std::string const& event, int after_ms, std::string const& inputs = "") {
    m_text += json{{"at_ms", 1},        {"wall_ms", 1'000},     {"process", "g-1"},
                   {"event", event},    {"request", request()}, {"after_us", after_ms * 1'000},
                   {"instance", "i-1"}, {"inputs", inputs}}
                  .dump() +
              "\n";
    return *this;
  }
  GatewayLog& send(int after_ms, std::string const& load = "1.0 of 3", int latency_ms = 250) {
    return note("send", after_ms,
                "load " + load + ", reported 20 ms ago, latency " + std::to_string(latency_ms) +
                    " ms, work 100%");
  }
  /// Ends a request; its target latency is 800 ms.
  GatewayLog& answer(int after_ms, int status, std::string const& outcome,
                     json const& further = json::object()) {
    json line{{"at_ms", 1},           {"wall_ms", 1'000},
              {"process", "g-1"},     {"event", "answer"},
              {"request", request()}, {"after_us", after_ms * 1'000},
              {"status", status},     {"outcome", outcome},
              {"target", "/x"},       {"connection_wait_us", 0},
              {"age_us", 0},          {"target_us", 800'000}};
    line.update(further);
    m_text += line.dump() + "\n";
    ++m_requests;
    return *this;
  }
  GatewayLog& raw(std::string const& text) {
    m_text += text + "\n";
    return *this;
  }

  CommandResult run(std::vector<std::string> const& flags = {}) const {
    TemporaryFolder const folder;
    std::vector<std::string> arguments{"log", "losses", folder.Write("g-1.log", m_text)};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    return RunCommand(arguments);
  }
  json report() const {
    auto const result = run({"--json"});
    cr_assert(result.exit_code == 0, "%s", result.errors.c_str());
    return json::parse(result.out);
  }
  /// The report's only row.
  json only() const {
    auto const all = report();
    cr_assert(all["causes"].size() == 1, "%s", all.dump(2).c_str());
    return all["causes"][0];
  }

 private:
  std::string request() const { return "r" + std::to_string(m_requests); }

  std::string m_text;
  int m_requests = 0;
};

void expect(GatewayLog const& log, std::string const& cause, std::string const& kind, int lost_ms) {
  auto const row = log.only();
  cr_assert(row["cause"] == cause, "%s instead of %s", row.dump().c_str(), cause.c_str());
  cr_assert(row[kind] == 1, "%s: %s", cause.c_str(), row.dump().c_str());
  cr_assert(row["p50_us"] == lost_ms * 1'000, "%s: %s", cause.c_str(), row.dump().c_str());
}

}  // namespace

// The next tests guard against a cause that is taken for another one.

Test(log_losses, late_behind_other_requests_of_its_connection) {
  expect(GatewayLog().send(610).answer(900, 200, "relayed", {{"connection_wait_us", 600'000}}),
         "connection_wait", "late", 600);
}

Test(log_losses, late_or_refused_for_an_owner_without_room) {
  expect(GatewayLog().send(620).answer(900, 200, "relayed", {{"connection_wait_us", 20'000}}),
         "owner_without_room", "late", 600);
  expect(GatewayLog().note("refuse", 160, "overloaded, version 3").answer(160, 503, "overloaded"),
         "owner_without_room", "refused", 160);
}

Test(log_losses, late_or_refused_after_its_wait_for_a_slot) {
  expect(GatewayLog()
             .note("slot_asked", 2)
             .note("slot_queued", 5, "start in 500 ms, queue 9, after 3 ms")
             .note("slot_granted", 552)
             .send(552)
             .answer(900, 200, "relayed"),
         "slot_wait", "late", 550);
  expect(GatewayLog()
             .note("slot_asked", 2)
             .note("slot_queued", 5)
             .note("refuse", 302)
             .answer(302, 503, "overloaded"),
         "slot_wait", "refused", 300);
}

Test(log_losses, rejected_by_a_coordinator) {
  expect(GatewayLog()
             .note("slot_asked", 2)
             .note("slot_rejected", 9, "return after 300 ms, queue 40, after 7 ms")
             .note("refuse", 9)
             .answer(9, 503, "overloaded"),
         "rejected_by_coordinator", "refused", 7);
}

Test(log_losses, refused_for_a_hot_key) {
  expect(GatewayLog().note("refuse", 3).answer(3, 503, "hot_key"), "hot_key", "refused", 3);
}

Test(log_losses, late_in_the_queue_of_its_server) {
  // More than its usual time of 250 ms.
  expect(GatewayLog().send(10).answer(910, 200, "relayed", {{"work_percent", 100}}), "server_queue",
         "late", 650);
  // Full when it was sent; its usual time is not logged.
  expect(GatewayLog().note("send", 10, "load 12.0 of 3").answer(910, 200, "relayed"),
         "server_queue", "late", 900);
}

Test(log_losses, late_at_a_slow_server) {
  expect(GatewayLog().send(10).answer(910, 200, "relayed", {{"work_percent", 300}}), "slow_server",
         "late", 600);
}

Test(log_losses, late_or_refused_since_its_caller_came_back) {
  expect(GatewayLog().send(1).answer(251, 200, "relayed", {{"age_us", 700'000}}),
         "returned_after_rejection", "late", 700);
  // It could not be in time any more, whatever it then waited for.
  expect(GatewayLog().send(1'200).answer(1'500, 200, "relayed", {{"age_us", 800'000}}),
         "returned_after_rejection", "late", 800);
  expect(GatewayLog()
             .note("slot_asked", 1)
             .note("slot_rejected", 4)
             .answer(4, 503, "overloaded", {{"age_us", 800'000}}),
         "returned_after_rejection", "refused", 800);
}

Test(log_losses, refused_without_an_owner) {
  for (auto const* const outcome : {"no_owner", "stale_owner", "no_server"}) {
    expect(GatewayLog().note("refuse", 150).answer(150, 503, outcome), "no_owner", "refused", 150);
  }
}

Test(log_losses, lost_or_late_by_a_failed_attempt) {
  expect(GatewayLog()
             .send(10)
             .note("attempt_failed", 600, "end not_executed, status 503, after 590 ms")
             .send(640)
             .answer(900, 200, "relayed"),
         "failed_attempt", "late", 630);
  expect(GatewayLog().send(10).note("attempt_failed", 20).answer(20, 502, "outcome_unknown"),
         "failed_attempt", "failed", 10);
  expect(GatewayLog().send(10).note("attempt_failed", 20).answer(60, 503, "no_server"),
         "failed_attempt", "refused", 50);
  expect(GatewayLog().send(10).answer(30, 500, "relayed"), "failed_attempt", "failed", 20);
}

Test(log_losses, ended_by_its_deadline) {
  expect(GatewayLog().send(10).note("give_up", 2'500).answer(2'500, 504, "outcome_unknown"),
         "deadline", "failed", 2'500);
  expect(GatewayLog().note("refuse", 900).answer(900, 503, "deadline"), "deadline", "refused", 900);
}

Test(log_losses, other_refusals_are_not_given_a_cause_that_is_not_theirs) {
  expect(GatewayLog().note("refuse", 1).answer(1, 429, "quota"), "other", "refused", 1);
}

// Guards against shares that count a sampled line as one request.
Test(log_losses, share_and_percentiles_count_sampled_lines_with_their_factor) {
  GatewayLog log;
  log.send(1).answer(90, 200, "relayed", {{"sampled", 64}});
  for (int lost = 1; lost <= 36; ++lost) log.note("refuse", lost).answer(lost, 503, "hot_key");
  auto const report = log.report();
  cr_assert(report["requests"] == 100);
  cr_assert(report["causes"].size() == 1);
  auto const& row = report["causes"][0];
  cr_assert(row["refused"] == 36 && row["share"] == 0.36);
  cr_assert(row["p50_us"] == 18'000 && row["p99_us"] == 36'000);
}

// Guards against a request that counts as in time because an older gateway did not log its target.
Test(log_losses, answers_without_a_target_are_said) {
  auto const report = GatewayLog().send(1).answer(900, 200, "relayed", {{"target_us", 1}}).report();
  cr_assert(report["without_target"] == 0);
  GatewayLog old;
  old.raw(R"({"process":"g-1","event":"answer","request":"a","after_us":900000,"status":200,)"
          R"("outcome":"relayed"})");
  cr_assert(old.report()["without_target"] == 1);
  cr_assert(old.run().out.find("1 of them were answered and have no target") != std::string::npos);
}

// Guards against a torn or foreign line that ends the command or is taken for a request.
Test(log_losses, torn_and_foreign_lines_are_counted_and_said) {
  GatewayLog log;
  log.raw("listening on 10.0.0.1:80")
      .raw("")
      .raw(R"({"process":"g-1","event":"answer","request":"torn","after_us":90)")
      .raw(R"({"process":"g-1","event":7})")
      .raw(R"([1,{"event":"answer"}])")
      .raw("\xff\xfe{\"event\":\"\xff\"}")
      .raw(R"({"event":"answer","request":"a","after_us":"soon","status":200,"outcome":"relayed"})")
      .raw(R"({"event":"answer","request":"b","after_us":-5,"status":200,"outcome":"relayed"})")
      .raw(R"({"event":"answer","request":"c","after_us":1e300,"status":200,"outcome":"relayed"})")
      .raw(R"({"event":"answer","request":"d","after_us":5,"status":503,"outcome":[]})")
      .raw(R"({"event":"answer","request":"e","after_us":5,"status":503,"outcome":"hot_key",)"
           R"("sampled":18446744073709551615})")
      .raw(R"({"event":"answer","after_us":5,"status":503,"outcome":"hot_key"})")
      .raw(R"({"process":"c-1","event":"leads","term":4,"dropped":12})")
      .note("send", 1)
      .raw(R"(4.1 g-1 {"process":"g-1","event":"answer","request":"f","after_us":3000,)"
           R"("status":503,"outcome":"hot_key","age_us":0})");
  auto const report = log.report();
  cr_assert(report["requests"] == 1, "%s", report.dump().c_str());
  cr_assert(report["causes"].size() == 1 && report["causes"][0]["cause"] == "hot_key");
  cr_assert(report["unreadable"] == 11, "%s", report.dump().c_str());
  cr_assert(report["unanswered"] == 1 && report["dropped"] == 12);
  auto const table = log.run();
  cr_assert(table.exit_code == 0);
  for (auto const* const told :
       {"cause", "hot key", "100.00%", "1 requests.", "11 lines could not be read.",
        "12 lines were left out", "1 further requests have lines"}) {
    cr_assert(table.out.find(told) != std::string::npos, "%s: %s", told, table.out.c_str());
  }
}

Test(log_losses, missing_and_empty_logs_are_errors_that_name_the_remedy) {
  auto const missing = RunCommand({"log", "losses", "/nonexistent/g-1.log"});
  cr_assert(missing.exit_code == 2);
  cr_assert(missing.errors.find("standard output") != std::string::npos);
  auto const foreign = GatewayLog().raw("no event").run();
  cr_assert(foreign.exit_code == 2 && !foreign.errors.empty());
}
