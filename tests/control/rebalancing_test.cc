/// @file
/// Moves because of load, through whole control nodes in virtual time.

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/control/control_harness.h"

using graniteseam::Duration;
using graniteseam::test::ControlHarness;
using graniteseam::test::kKeyed;
namespace control = graniteseam::control;

namespace {

constexpr std::uint32_t kShards = 12;
constexpr Duration kRenewal{250'000};

/// Requests a second of each shard, reported as one router would.
struct Load {
  std::vector<double> rates = std::vector<double>(kShards, 40.0);

  void Report(ControlHarness& fleet, std::uint64_t sequence) const {
    control::RouterRenewal renewal;
    renewal.router = {"router-1"};
    renewal.sequence = sequence;
    renewal.bundle_version = {1};
    for (std::uint32_t shard = 0; shard < kShards; ++shard) {
      renewal.shard_load.push_back({{kKeyed, shard}, rates[shard] / 4, 0});
    }
    fleet.SendAsRouter(*fleet.Leader(), /*connection=*/1, renewal);
  }
};

void RunWithLoad(ControlHarness& fleet, const Load& load, int seconds) {
  static std::uint64_t sequence = 0;
  for (int renewal = 0; renewal < seconds * 4; ++renewal) {
    if (fleet.Leader()) load.Report(fleet, ++sequence);
    fleet.RunFor(kRenewal);
  }
}

std::string OwnerOf(const ControlHarness& fleet, std::uint32_t shard) {
  const auto owners = fleet.OwnersOf(shard);
  return owners.size() == 1 ? owners[0] : "";
}

double LoadOf(const ControlHarness& fleet, const Load& load, const std::string& server) {
  double total = 0;
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    if (OwnerOf(fleet, shard) == server) total += load.rates[shard];
  }
  return total;
}

double HighestLoad(const ControlHarness& fleet, const Load& load) {
  double highest = 0;
  for (const char* server : {"server-1", "server-2", "server-3"}) {
    highest = std::max(highest, LoadOf(fleet, load, server));
  }
  return highest;
}

ControlHarness& Started(ControlHarness& fleet) {
  for (const char* server : {"server-1", "server-2", "server-3"}) fleet.AddServer(server);
  cr_assert(fleet.RunUntil([&] { return fleet.Leader().has_value(); }, Duration(10'000'000)));
  fleet.RollBundle(1);
  cr_assert(fleet.RunUntil([&] { return fleet.AllOwned(); }, Duration(10'000'000)));
  return fleet;
}

}  // namespace

Test(rebalancing, gives_nothing_to_a_drained_server) {
  ControlHarness fleet;
  Started(fleet);
  Load load;
  fleet.Ask(control::DrainServer{{"server-3"}, true});
  RunWithLoad(fleet, load, 5);
  cr_assert(fleet.OwnedBy("server-3") == 0);
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    if (OwnerOf(fleet, shard) == "server-1") load.rates[shard] = 90;
  }
  RunWithLoad(fleet, load, 10);
  cr_assert(fleet.OwnedBy("server-3") == 0);
  cr_assert(LoadOf(fleet, load, "server-1") < 540, "it shed some to server-2");
}

Test(rebalancing, begins_anew_under_a_new_leader) {
  ControlHarness fleet;
  Started(fleet);
  Load load;
  load.rates[0] = load.rates[1] = 200;
  RunWithLoad(fleet, load, 5);
  fleet.StopLeaderAsPlanned();
  cr_assert(fleet.RunUntil([&] { return fleet.Leader().has_value(); }, Duration(10'000'000)));
  RunWithLoad(fleet, load, 10);
  const double mean = (10 * 40.0 + 2 * 200.0) / 3;
  cr_assert(HighestLoad(fleet, load) <= 1.25 * mean, "%f", HighestLoad(fleet, load));
  cr_assert(fleet.most_owners_seen() == 1);
}
