// From a signed bundle to an answered request, with real processes.
#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>

#include "src/runtime/clock.h"
#include "testbed/caller/traffic.h"
#include "tests/end_to_end/small_fleet.h"

using namespace graniteseam;
using namespace graniteseam::testbed;

namespace {

/// A fresh operation id.
std::string NewOperation() {
  Stream stream;
  stream.repeatable = false;
  TrafficSource source({stream}, 1.0, runtime::RandomBits(), runtime::BootTimeNow());
  return source.Next(runtime::WallMillis()).operation;
}

std::string OtherServer(const std::string& server) {
  return server == "transcripts-1" ? "transcripts-2" : "transcripts-1";
}

}  // namespace

Test(end_to_end, request_is_answered_by_the_owner_and_after_a_move_by_the_new_owner) {
  SmallFleet fleet;
  fleet.Roll(fleet.WriteBundle(1, "author"));
  fleet.AwaitServing();

  const std::string key = "a-17";
  const auto answer = fleet.GetUntilAnswered(key);
  const auto run = fleet.LastRunOf(key);
  cr_assert(run.has_value());
  cr_assert(answer.server == run->server);
  cr_assert(fleet.Shard(run->shard).owner.value == answer.server);

  const std::string target = OtherServer(answer.server);
  fleet.Operate({"shard", "move", "transcripts", std::to_string(run->shard), target});
  AwaitOrFail("an answer from the new owner", [&]() -> Missing {
    const auto moved = fleet.GetUntilAnswered(key);
    return moved.server == target ? "" : moved.server + " still answers";
  });
  const auto run_after = fleet.LastRunOf(key);
  cr_assert(run_after->server == target);
  cr_assert(run_after->epoch > run->epoch);
  fleet.CheckHistoryIsClean();
}

Test(end_to_end, operation_sent_again_through_another_router_gets_its_kept_answer) {
  SmallFleet fleet;
  fleet.Roll(fleet.WriteBundle(1, "author"));
  fleet.AwaitServing();

  std::string operation;
  RouterAnswer first;
  AwaitOrFail("an answered operation", [&]() -> Missing {
    operation = NewOperation();
    first = fleet.Post(operation, 0);
    return first.outcome == "answered" ? "" : first.body;
  });
  AwaitOrFail("the kept answer", [&]() -> Missing {
    const auto again = fleet.Post(operation, 1);
    cr_assert(again.outcome != "answered" && again.outcome != "not_run");
    if (again.outcome != "kept") return again.body;
    cr_assert(again.body == first.body);
    return "";
  });
  const auto runs = fleet.ReadAll().runs;
  cr_assert(std::count_if(runs.begin(), runs.end(),
                          [&](const auto& run) { return run.operation == operation; }) == 1);
  fleet.CheckHistoryIsClean();
}

Test(end_to_end, keys_of_a_killed_server_are_answered_by_others) {
  SmallFleet fleet;
  fleet.Roll(fleet.WriteBundle(1, "author"));
  fleet.AwaitServing();

  const std::string key = "a-4";
  const std::string owner = fleet.GetUntilAnswered(key).server;
  fleet.fleet().Kill(owner);
  AwaitOrFail("an answer from another server", [&]() -> Missing {
    const auto answer = fleet.GetUntilAnswered(key);
    return answer.server != owner ? "" : "the killed server seems to answer";
  });
  fleet.CheckHistoryIsClean();
}

Test(end_to_end, one_of_two_bundles_with_equal_versions_wins_and_resends_change_nothing) {
  SmallFleet fleet;
  const auto bundle = fleet.WriteBundle(1, "author");
  fleet.Roll(bundle);
  fleet.Roll(bundle);
  const auto other = fleet.WriteBundle(1, "someone-else");
  cr_assert(fleet.ExitCode({"bundle", "submit", other}) != 0);
  fleet.Roll(fleet.WriteBundle(3, "author"));
  cr_assert(fleet.ExitCode({"bundle", "submit", fleet.WriteBundle(2, "author")}) != 0);
  cr_assert(
      fleet.Operate({"bundle", "status", "--json"}).find("\"in_force\":3") != std::string::npos ||
      fleet.Operate({"bundle", "status", "--json"}).find("\"in_force\": 3") != std::string::npos);
}
