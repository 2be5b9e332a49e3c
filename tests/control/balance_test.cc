/// @file
/// The control group moving shards by load and filling servers that joined empty.

#include <criterion/criterion.h>

#include "tests/control/control_harness.h"

using graniteseam::BundleVersion;
using graniteseam::Duration;
using graniteseam::RouterId;
using graniteseam::ShardId;
using graniteseam::control::RouterRenewal;
using graniteseam::control::ShardLoad;
using graniteseam::test::ControlHarness;
using graniteseam::test::HarnessOptions;
using graniteseam::test::kKeyed;

namespace {

constexpr Duration kSecond{1'000'000};
constexpr Duration kReportInterval{100'000};
constexpr std::uint32_t kShards = 12;

/// Shard `index` gets this many requests a second.
using RateOf = std::function<double(std::uint32_t)>;

/// Reports load as one router would, for a while.
void Load(ControlHarness& harness, const RateOf& rate_of, int seconds) {
  static std::uint64_t sequence = 0;
  for (int report = 0; report < seconds * 10; ++report) {
    RouterRenewal renewal;
    renewal.router = RouterId{"r-1"};
    renewal.sequence = ++sequence;
    renewal.bundle_version = BundleVersion{1};
    for (std::uint32_t index = 0; index < kShards; ++index) {
      renewal.shard_load.push_back({ShardId{kKeyed, index}, rate_of(index) / 10, 0});
    }
    harness.SendAsRouter(*harness.Leader(), 9, renewal);
    harness.RunFor(kReportInterval);
  }
}

void StartFleet(ControlHarness& harness) {
  for (const char* name : {"t-1", "t-2", "t-3"}) harness.AddServer(name);
  harness.RollBundle(1);
  cr_assert(harness.RunUntil([&] { return harness.AllOwned(); }, 5 * kSecond));
}

double LoadOf(const ControlHarness& harness, const std::string& name, const RateOf& rate_of) {
  double load = 0;
  for (std::uint32_t index = 0; index < kShards; ++index) {
    if (harness.Owns(name, index)) load += rate_of(index);
  }
  return load;
}

}  // namespace

Test(balance, overloaded_server_gives_shards_away_and_nothing_else_moves) {
  ControlHarness harness;
  StartFleet(harness);
  std::set<std::uint32_t> hot;
  for (std::uint32_t index = 0; index < kShards; ++index) {
    if (harness.Owns("t-1", index)) hot.insert(index);
  }
  const auto rate_of = [&](std::uint32_t index) { return hot.contains(index) ? 400.0 : 100.0; };
  const auto before = harness.LeaderNode().Fleet(harness.now()).shard_moves;
  Load(harness, rate_of, 20);
  const auto moves = harness.LeaderNode().Fleet(harness.now()).shard_moves - before;
  cr_assert(harness.AllOwned());
  cr_assert(moves >= 1 && moves <= 4, "%lu moves", moves);
  const double mean = (4 * 400.0 + 8 * 100.0) / 3;
  cr_assert(LoadOf(harness, "t-1", rate_of) <= 1.25 * mean);
  cr_assert(harness.most_owners_seen() == 1);
}

Test(balance, even_load_moves_nothing) {
  ControlHarness harness;
  StartFleet(harness);
  const auto before = harness.LeaderNode().Fleet(harness.now()).shard_moves;
  Load(
      harness, [](std::uint32_t) { return 100.0; }, 20);
  cr_assert(harness.LeaderNode().Fleet(harness.now()).shard_moves == before);
}

Test(balance, server_that_joins_later_is_filled_though_nothing_is_loaded) {
  ControlHarness harness;
  StartFleet(harness);
  const auto before = harness.LeaderNode().Fleet(harness.now()).shard_moves;
  harness.AddServer("t-4");
  harness.RunFor(4 * kSecond);
  cr_assert(harness.OwnedBy("t-4") == 0, "one that comes and goes costs no move");
  harness.RunFor(6 * kSecond);
  cr_assert(harness.OwnedBy("t-4") == 2);
  cr_assert(harness.LeaderNode().Fleet(harness.now()).shard_moves - before == 2);
  cr_assert(harness.AllOwned());
  cr_assert(harness.leases_lost() == 0);
  harness.RunFor(20 * kSecond);
  cr_assert(harness.LeaderNode().Fleet(harness.now()).shard_moves - before == 2);
}
