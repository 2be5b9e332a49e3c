/// @file
/// Operators who race each other, and the tasks of operators on the control group, with real
/// processes.

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "tests/end_to_end/small_fleet.h"

using namespace graniteseam;           // NOLINT(google-build-using-namespace)
using namespace graniteseam::testbed;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kDone = 0;
constexpr int kVersionConflict = 4;

/// Runs a command for each argument, all at the same time, and returns the exit codes.
class Race {
 public:
  Race(const SmallFleet& fleet, const std::string& action, const std::vector<std::string>& bundles)
      : codes_(bundles.size(), -1) {
    for (std::size_t i = 0; i < bundles.size(); ++i) {
      operators_.emplace_back([this, &fleet, action, bundle = bundles[i], i] {
        codes_[i] = fleet.ExitCode({"bundle", action, bundle});
      });
    }
  }

  std::vector<int> Finish() {
    for (std::thread& thread : operators_) thread.join();
    return codes_;
  }

 private:
  std::vector<int> codes_;
  std::vector<std::thread> operators_;
};

std::string Leader(const SmallFleet& fleet) {
  const std::string status = fleet.Operate({"fleet", "status"});
  // The table's row begins with the control process's id.
  const auto row = status.rfind('\n', status.find("leader")) + 1;
  return "control-" + status.substr(row, status.find(' ', row) - row);
}

std::string InForce(const SmallFleet& fleet) {
  const std::string status = fleet.Operate({"bundle", "status"});
  const auto row = status.rfind('\n', status.find("in force")) + 1;
  return status.substr(row, status.find(' ', row) - row);
}

}  // namespace

Test(operator_race, one_of_equal_versions_wins_though_the_leader_dies) {
  SmallFleet fleet;
  fleet.Roll(fleet.WriteBundle(1, "author"));
  fleet.AwaitServing();

  std::vector<std::string> rivals;
  for (int i = 0; i < 5; ++i) {
    rivals.push_back(fleet.WriteBundle(2, "rival-" + std::to_string(i)));
  }
  const std::string leader = Leader(fleet);
  Race submits(fleet, "submit", rivals);
  fleet.fleet().Kill(leader);
  const std::vector<int> codes = submits.Finish();
  cr_assert(std::count(codes.begin(), codes.end(), kDone) == 1);
  cr_assert(std::count(codes.begin(), codes.end(), kVersionConflict) == 4);
  const auto started = Attempt([&] { return fleet.fleet().Start(leader); });
  cr_assert(ErrorOf(started) == nullptr);

  // Whoever asks again is told the same.
  cr_assert(Race(fleet, "submit", rivals).Finish() == codes);
  const auto winner = std::find(codes.begin(), codes.end(), kDone) - codes.begin();
  const std::string bundle = rivals[static_cast<std::size_t>(winner)];
  cr_assert(Race(fleet, "sign", {bundle, bundle, bundle}).Finish() == std::vector<int>(3, kDone));
  cr_assert(Race(fleet, "roll", {bundle, bundle, bundle}).Finish() == std::vector<int>(3, kDone));
  fleet.Operate({"bundle", "roll", bundle, "--wait"});
  cr_assert(InForce(fleet) == "2");
  fleet.CheckHistoryIsClean();
}

Test(operator_race, the_higher_of_two_versions_stays_in_force_whichever_is_rolled_last) {
  SmallFleet fleet;
  fleet.Roll(fleet.WriteBundle(1, "author"));
  fleet.AwaitServing();

  for (std::uint64_t version = 2; version < 8; version += 2) {
    const std::string lower = fleet.WriteBundle(version, "author");
    const std::string higher = fleet.WriteBundle(version + 1, "author");
    for (const std::string& bundle : {lower, higher}) {
      fleet.Operate({"bundle", "submit", bundle});
      fleet.Operate({"bundle", "sign", bundle});
    }
    const std::vector<int> codes = Race(fleet, "roll", {lower, higher}).Finish();
    cr_assert(codes[0] == kDone || codes[0] == kVersionConflict, "%d", codes[0]);
    cr_assert(codes[1] == kDone, "%d", codes[1]);
    fleet.Operate({"bundle", "roll", higher, "--wait"});
    cr_assert(InForce(fleet) == std::to_string(version + 1));
  }
  fleet.CheckHistoryIsClean();
}
