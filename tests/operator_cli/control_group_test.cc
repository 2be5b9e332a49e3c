/// @file
/// How graniteseamctl finds the leader and what it does about lost answers.

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "tests/operator_cli/command_runner.h"
#include "tests/operator_cli/scripted_control.h"

using graniteseam::ErrorKind;
using graniteseam::test::CommandResult;
using graniteseam::test::RunCommand;
using graniteseam::test::ScriptedControl;

namespace {

CommandResult Drain(const std::string& control, const std::string& time_limit_ms = "20000") {
  return RunCommand({"server", "drain", "server-1", "--control", control, "--json",
                     "--time-limit-ms", time_limit_ms});
}

void Accept(httplib::Response& response) { ScriptedControl::Answer(response, R"({"index":41})"); }

/// An address where nothing listens: bound once, then given back.
std::string DeadAddress() {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  cr_assert(bind(descriptor, generic, size) == 0);
  cr_assert(getsockname(descriptor, generic, &size) == 0);
  close(descriptor);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

}  // namespace

Test(control_group, follows_the_leader_that_another_process_names) {
  ScriptedControl leader([](const auto&, auto& response, std::size_t) { Accept(response); });
  ScriptedControl follower([&](const auto&, auto& response, std::size_t) {
    ScriptedControl::Refuse(response, ErrorKind::kNotLeader, leader.address());
  });
  const CommandResult result = Drain(follower.address());
  cr_assert(result.exit_code == 0, "%s", result.errors.c_str());
  cr_assert(nlohmann::json::parse(result.out)["index"] == 41);
  cr_assert(leader.paths() == std::vector<std::string>{"POST /v1/servers/server-1/drain"});
}

Test(control_group, tries_the_next_address_when_one_is_dead) {
  ScriptedControl leader([](const auto&, auto& response, std::size_t) { Accept(response); });
  cr_assert(Drain(DeadAddress() + "," + leader.address()).exit_code == 0);
}

Test(control_group, outlasts_an_election) {
  ScriptedControl control([](const auto&, auto& response, std::size_t number) {
    if (number == 0) return ScriptedControl::Refuse(response, ErrorKind::kNotLeader);
    if (number == 1) return ScriptedControl::Refuse(response, ErrorKind::kUnavailable);
    Accept(response);
  });
  cr_assert(Drain(control.address()).exit_code == 0);
  cr_assert(control.paths().size() == 3);
}

Test(control_group, is_not_caught_by_two_processes_that_name_each_other) {
  std::string second_address;
  ScriptedControl first([&](const auto&, auto& response, std::size_t) {
    ScriptedControl::Refuse(response, ErrorKind::kNotLeader, second_address);
  });
  ScriptedControl second([&](const auto&, auto& response, std::size_t) {
    ScriptedControl::Refuse(response, ErrorKind::kNotLeader, first.address());
  });
  second_address = second.address();
  ScriptedControl leader([](const auto&, auto& response, std::size_t) { Accept(response); });
  cr_assert(Drain(first.address() + "," + leader.address()).exit_code == 0);
}

Test(control_group, sends_a_change_again_when_its_answer_was_lost) {
  ScriptedControl control([](const auto&, auto& response, std::size_t number) {
    if (number == 0) return ScriptedControl::LoseAnswer(response);
    Accept(response);
  });
  cr_assert(Drain(control.address()).exit_code == 0);
  cr_assert(control.paths().size() == 2);
}

Test(control_group, says_that_the_outcome_is_unknown_when_every_answer_was_lost) {
  ScriptedControl control(
      [](const auto&, auto& response, std::size_t) { ScriptedControl::LoseAnswer(response); });
  const CommandResult result = Drain(control.address(), "500");
  cr_assert(result.exit_code == 9);
  cr_assert(nlohmann::json::parse(result.errors)["kind"] == "outcome_unknown");
  const CommandResult reading =
      RunCommand({"fleet", "status", "--control", control.address(), "--time-limit-ms", "500"});
  cr_assert(reading.exit_code == 8, "a read that got lost changed nothing");
}

Test(control_group, says_that_nothing_was_sent_when_nobody_could_be_reached) {
  const CommandResult result = Drain(DeadAddress(), "300");
  cr_assert(result.exit_code == 8);
  cr_assert(nlohmann::json::parse(result.errors)["kind"] == "unavailable");
}

Test(control_group, shows_the_credential_and_keeps_control_characters_off_the_terminal) {
  std::string credential;
  ScriptedControl control([&](const auto& request, auto& response, std::size_t) {
    credential = request.get_header_value("Authorization");
    ScriptedControl::Answer(response, R"({"shards":[{"shard":{"service":"s\u001b[2J","index":0},
      "state":"assigned","owner":"server-1","epoch":3}]})");
  });
  const graniteseam::test::TemporaryFolder folder;
  const CommandResult result =
      RunCommand({"shard", "show", "--control", control.address(), "--credential-file",
                  folder.Write("credential", "secret\n")});
  cr_assert(result.exit_code == 0);
  cr_assert(credential == "Bearer secret");
  cr_assert(result.out.find('\x1b') == std::string::npos);
  cr_assert(result.out.find("server-1  3") != std::string::npos, "%s", result.out.c_str());
}

Test(control_group, adds_a_new_member_before_it_removes_the_lost_one) {
  const std::string lost = R"({"id":3,"disk":"11","address":"127.0.0.1:9","zone":"z"})";
  const std::string fresh = R"({"id":3,"disk":"22","address":"127.0.0.1:9","zone":"z"})";
  std::vector<std::string> changes;
  ScriptedControl control([&](const auto& request, auto& response, std::size_t) {
    if (request.path == "/v1/self") return ScriptedControl::Answer(response, fresh);
    if (request.path == "/v1/fleet") {
      return ScriptedControl::Answer(
          response, R"({"membership":{"voters":[)" + lost + R"(],"learners":[]}})");
    }
    const auto change = nlohmann::json::parse(request.body);
    changes.push_back(change["kind"].template get<std::string>() + " " +
                      change["member"]["disk"].template get<std::string>());
    const bool behind = changes.size() == 2;
    if (behind) return ScriptedControl::Refuse(response, ErrorKind::kFailedPrecondition);
    Accept(response);
  });
  const CommandResult result =
      RunCommand({"control", "replace", "3", control.address(), "--control", control.address()});
  cr_assert(result.exit_code == 0, "%s", result.errors.c_str());
  const std::vector<std::string> expected = {"add_learner 22", "promote 22", "promote 22",
                                             "remove 11"};
  cr_assert(changes == expected);
}
