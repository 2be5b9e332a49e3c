#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "tests/operator_cli/command_runner.h"

using graniteseam::test::RunCommand;
using graniteseam::test::TemporaryFolder;

namespace {

/// A gateway's log: one request refused for want of an owner, one whose answer was lost, one that
/// went well, and an update. Lines of another program stand between them.
constexpr char kGatewayLog[] =
    "warming up\n"
    "  4.1 g-1 "
    "{\"at_ms\":1,\"wall_ms\":1000,\"process\":\"g-1\",\"event\":\"update\",\"instance\":\"\","
    "\"inputs\":\"version 68\"}\n"
    "{\"at_ms\":2,\"wall_ms\":1200,\"process\":\"g-1\",\"event\":\"refuse\",\"request\":\"aa\","
    "\"after_us\":150226,\"instance\":\"\",\"inputs\":\"no_owner, version 68, after 150 ms\"}\n"
    "{\"at_ms\":2,\"wall_ms\":1200,\"process\":\"g-1\",\"dropped\":3,\"event\":\"answer\","
    "\"request\":\"aa\",\"after_us\":150312,\"status\":503,\"outcome\":\"no_owner\",\"version\":68}"
    "\n"
    "{\"at_ms\":2,\"wall_ms\":1300,\"process\":\"g-1\",\"event\":\"send\",\"request\":\"bb\","
    "\"after_us\":80,\"instance\":\"i-7\",\"inputs\":\"load 1.0 of 2\"}\n"
    "{\"at_ms\":2,\"wall_ms\":1300,\"process\":\"g-1\",\"event\":\"attempt_failed\",\"request\":"
    "\"bb\",\"after_us\":9000,\"instance\":\"i-7\",\"inputs\":\"end lost, status 0, after 8 ms\"}\n"
    "{\"at_ms\":2,\"wall_ms\":1300,\"process\":\"g-1\",\"event\":\"answer\",\"request\":\"bb\","
    "\"after_us\":9100,\"status\":502,\"outcome\":\"outcome_unknown\"}\n"
    "{\"at_ms\":2,\"wall_ms\":1400,\"process\":\"g-1\",\"event\":\"answer\",\"request\":\"cc\","
    "\"after_us\":9100,\"status\":200,\"outcome\":\"relayed\"}\n"
    "{broken\n";

constexpr char kControlLog[] =
    "{\"at_ms\":9,\"wall_ms\":900,\"process\":\"c-1\",\"event\":\"leads\",\"term\":4}\n"
    "{\"at_ms\":9,\"wall_ms\":1250,\"process\":\"c-1\",\"event\":\"grant\",\"instance\":\"i-7\","
    "\"fence\":9,\"outcome\":\"done\"}\n"
    "{\"at_ms\":9,\"wall_ms\":1260,\"process\":\"c-1\",\"event\":\"release\",\"instance\":\"i-7\","
    "\"fence\":11,\"outcome\":\"unknown\"}\n"
    "{\"at_ms\":9,\"wall_ms\":1260,\"process\":\"c-1\",\"event\":\"release\",\"instance\":\"i-8\","
    "\"fence\":12,\"outcome\":\"done\"}\n"
    "{\"at_ms\":9,\"wall_ms\":90000,\"process\":\"c-1\",\"event\":\"follows\",\"term\":5}\n";

struct Logs {
  TemporaryFolder folder;
  std::string gateway = folder.Write("gateway.log", kGatewayLog);
  std::string control = folder.Write("control.log", kControlLog);

  auto explain(std::string const& request) const -> nlohmann::json {
    auto const result = RunCommand({"request", "explain", request, gateway, control, "--json"});
    cr_assert(result.exit_code == 0, "%s", result.errors.c_str());
    return nlohmann::json::parse(result.out);
  }
};

}  // namespace

Test(log_commands, refused_request_is_explained_by_the_gateways_reason) {
  const Logs logs;
  const auto story = logs.explain("aa");
  cr_assert(story["cause"].get<std::string>().find("no owner") != std::string::npos);
  cr_assert(story["events"].size() == 2);
  cr_assert(story["events"][0]["event"] == "refuse");
  cr_assert(story["events"][1]["dropped"] == 3);
}

Test(log_commands, lost_answer_names_the_server_and_what_was_believed_of_it) {
  const Logs logs;
  const auto story = logs.explain("bb");
  const auto cause = story["cause"].get<std::string>();
  cr_assert(cause.find("i-7") != std::string::npos &&
            cause.find("may have run") != std::string::npos);
  cr_assert(story["events"].size() == 3);
  std::vector<std::string> beliefs;
  for (const auto& belief : story["beliefs"]) beliefs.push_back(belief["event"].get<std::string>());
  // Neither the renewal that went well, nor another server's release, nor a change long after.
  cr_assert(beliefs == std::vector<std::string>({"leads", "update", "release"}));
}

// Guards against a rejection by a coordinator that reads like a gateway's own refusal.
Test(log_commands, rejection_by_a_coordinator_names_the_server_and_the_time_to_return) {
  const TemporaryFolder folder;
  const std::string begin = R"({"wall_ms":1000,"process":"g-1","request":"dd",)";
  const std::string log = folder.Write(
      "gateway.log",
      begin + R"("event":"slot_asked","after_us":80,"instance":"i-7"})" + "\n" + begin +
          R"("event":"slot_rejected","after_us":90,"instance":"i-7",)"
          R"("inputs":"return after 300 ms, queue 9, after 2 ms"})" +
          "\n" + begin + R"("event":"answer","after_us":99,"status":503,"outcome":"overloaded"})");
  const auto result = RunCommand({"request", "explain", "dd", log});
  for (const char* const told : {"coordinator of i-7", "return after 300 ms", "did not run"}) {
    cr_assert(result.out.find(told) != std::string::npos, "%s", result.out.c_str());
  }
}

Test(log_commands, request_without_a_line_is_said_to_have_none) {
  const Logs logs;
  const auto story = logs.explain("zz");
  cr_assert(story["events"].empty());
  cr_assert(story["cause"].get<std::string>().find("No log") != std::string::npos);
}

Test(log_commands, time_line_joins_the_beliefs_of_all_processes) {
  const Logs logs;
  const auto result = RunCommand({"log", "timeline", logs.gateway, logs.control, "--json"});
  cr_assert(result.exit_code == 0);
  std::vector<std::string> events;
  for (const auto& event : nlohmann::json::parse(result.out)) {
    events.push_back(event["event"].get<std::string>());
  }
  cr_assert(events ==
            std::vector<std::string>({"leads", "update", "release", "release", "follows"}));
  const auto table = RunCommand({"log", "timeline", logs.gateway, logs.control});
  cr_assert(table.out.find("1 lines held no event") != std::string::npos);
}

Test(log_commands, missing_and_empty_logs_are_errors_that_name_the_remedy) {
  const Logs logs;
  const auto missing = RunCommand({"log", "timeline", logs.folder.Path("none.log")});
  cr_assert(missing.exit_code != 0 && missing.errors.find("standard output") != std::string::npos);
  const auto empty = RunCommand({"log", "timeline", logs.folder.Write("empty.log", "")});
  cr_assert(empty.exit_code != 0 && !empty.errors.empty());
}
