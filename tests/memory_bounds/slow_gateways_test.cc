// Control processes that send a large configuration to many gateways which read slowly or not at
// all: each stays within its machine's memory.
#include "tests/memory_bounds/fleet.h"
#include "tests/memory_bounds/large_configuration.h"
#include "tests/memory_bounds/stand_in_gateways.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

constexpr int kGateways = 94;
constexpr int kRoutes = 4'000;
constexpr int kChanges = 30;
/// A link of 2 Mbit/s.
constexpr std::size_t kLinkBytesPerSecond = 250'000;

/// Changes the whole configuration again and again while the gateways do what they do.
struct ChangedFleet : Fleet {
  explicit ChangedFleet(GatewayHabit habit) {
    cr_assert(Operate("PUT", LargeConfigurationText(1, kRoutes), 0).status == 200);
    for (int control = 1; control <= kControls; ++control) {
      crowds.push_back(std::make_unique<StandInGateways>(Internal(control), kGateways, habit));
    }
    for (int version = 2; version <= kChanges; ++version) {
      const auto answer = Operate("PUT", LargeConfigurationText(version, kRoutes), version - 1);
      cr_assert(answer.status == 200, "version %d: %d", version, answer.status);
    }
  }

  void CheckMemory() {
    cr_expect(ControlsRun());
    const long peak = ControlPeakKib();
    cr_expect(peak <= KibOf(kControlMemoryMb), "a control process held %ld KiB", peak);
    cr_log_info("a control process held %ld KiB", peak);
    // The router of the fleet takes the same changes.
    const long router_peak = RouterPeakKib();
    cr_expect(router_peak <= KibOf(kRouterMemoryMb), "the router held %ld KiB", router_peak);
    cr_log_info("the router held %ld KiB", router_peak);
  }

  std::vector<std::unique_ptr<StandInGateways>> crowds;
};

}  // namespace

// A gateway behind a narrow link was sent each superseded configuration first.
Test(slow_gateways, over_narrow_links_receive_no_superseded_configuration, .timeout = 250) {
  ChangedFleet fleet({kLinkBytesPerSecond, false});
  const Instant changed = runtime::BootTimeNow();
  std::vector<std::uint64_t> before;
  for (const auto& crowd : fleet.crowds) before.push_back(crowd->bytes_read());
  fleet.AwaitOrFail("the gateways to have the last configuration", [&]() -> testbed::Missing {
    for (const auto& crowd : fleet.crowds) {
      if (crowd->OldestConfiguration() < kChanges) {
        return "one has " + std::to_string(crowd->OldestConfiguration());
      }
    }
    return "";
  });
  cr_log_info("in force at all gateways %ld ms after the last change",
              (runtime::BootTimeNow() - changed).count() / 1'000);
  // What they were receiving, its replacement, and what the binary form may exceed the text by.
  const std::size_t most = 3 * kGateways * LargeConfigurationText(kChanges, kRoutes).size();
  for (std::size_t crowd = 0; crowd < before.size(); ++crowd) {
    const std::uint64_t read = fleet.crowds[crowd]->bytes_read() - before[crowd];
    cr_expect(read <= most, "%lu KiB for %d gateways", read >> 10, kGateways);
  }
  fleet.CheckMemory();
}

Test(slow_gateways, that_ask_the_leader_over_narrow_links, .timeout = 200) {
  ChangedFleet fleet({kLinkBytesPerSecond, true});
  fleet.CheckMemory();
}

Test(slow_gateways, that_read_nothing, .timeout = 200) {
  ChangedFleet fleet({0, true});
  fleet.CheckMemory();
}
