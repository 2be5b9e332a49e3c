// A control process that comes back without its disk after many changes of a large configuration.
#include "tests/memory_bounds/fleet.h"
#include "tests/memory_bounds/large_configuration.h"
#include "tests/memory_bounds/stand_in_gateways.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

constexpr int kRoutes = 4'000;
constexpr int kChanges = 60;

}  // namespace

Test(lost_disk, is_made_up_for_within_the_memory_of_each_process, .timeout = 250) {
  Fleet fleet;
  for (int version = 1; version <= kChanges; ++version) {
    const auto answer = fleet.Operate("PUT", LargeConfigurationText(version, kRoutes), version - 1);
    cr_assert(answer.status == 200, "version %d: %d", version, answer.status);
  }
  const long before = fleet.ControlPeakKib();
  fleet.KillControl(Fleet::kControls);
  fleet.LoseDisk(Fleet::kControls);
  const Instant started = runtime::BootTimeNow();
  fleet.StartControl(Fleet::kControls, false);
  StandInGateways gateway(fleet.Internal(Fleet::kControls), 1, {std::size_t{64} << 20, false});
  fleet.AwaitOrFail("its state to be that of the others", [&]() -> testbed::Missing {
    const std::uint64_t has = gateway.OldestConfiguration();
    return has == kChanges ? "" : "it has configuration " + std::to_string(has);
  });
  cr_log_info("caught up after %ld ms", (runtime::BootTimeNow() - started).count() / 1'000);
  const long peak = fleet.ControlPeakKib();
  cr_log_info("held %ld KiB before, %ld KiB after, itself %ld KiB", before, peak,
              fleet.PeakKib(Fleet::kControls));
  cr_expect(peak <= KibOf(kControlMemoryMb), "a control process held %ld KiB", peak);
}
