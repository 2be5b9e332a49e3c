/// @file
/// Zones that operators drain, and take back.

#include <criterion/criterion.h>

#include "src/traffic/traffic_state.h"

using namespace graniteseam;
using namespace graniteseam::traffic;

namespace {

const ZoneName kEast{"east"};
const ZoneName kWest{"west"};

InstanceReport Beat(const std::string& id, const ZoneName& zone, std::int64_t sequence) {
  InstanceReport report;
  report.id = {id};
  report.service = {"s"};
  report.address = "10.0.0." + id.substr(2) + ":80";
  report.zone = zone;
  report.sequence = sequence;
  return report;
}

/// "i-1" in the east, "i-2" in the west.
struct Zones {
  TrafficState state;
  std::uint64_t log_index = 0;

  Zones() {
    Report(Beat("i-1", kEast, 1));
    Report(Beat("i-2", kWest, 1));
  }

  void Report(const InstanceReport& report) { state.Report({report}, ++log_index); }
  /// @return whether it was accepted.
  bool Drain(const ZoneName& zone, bool drained) {
    const auto result = Attempt([&] { return state.DrainZone(zone, drained, ++log_index); });
    return ErrorOf(result) == nullptr;
  }
  const Instance& At(const std::string& id) const { return *state.instances().Find({id}); }
};

}  // namespace

Test(zone_drain, instances_of_a_drained_zone_get_no_new_work_until_it_is_taken_back) {
  Zones zones;
  cr_assert(zones.Drain(kEast, true));
  cr_assert(zones.At("i-1").state == InstanceState::kZoneDrained);
  cr_assert(zones.At("i-2").AcceptsNewWork());
  cr_assert(!zones.At("i-1").IsGone());
  zones.Report(Beat("i-1", kEast, 2));
  cr_assert(!zones.At("i-1").AcceptsNewWork(), "a heartbeat does not undo it");
  cr_assert(zones.Drain(kEast, false));
  cr_assert(zones.At("i-1").AcceptsNewWork());
}

Test(zone_drain, holds_for_instances_that_come_later) {
  Zones zones;
  cr_assert(zones.Drain(kEast, true));
  zones.Report(Beat("i-3", kEast, 1));
  cr_assert(zones.At("i-3").state == InstanceState::kZoneDrained);
  cr_assert(zones.Drain(kEast, false));
  cr_assert(zones.At("i-3").AcceptsNewWork());
}

Test(zone_drain, does_not_undo_an_instance_that_leaves) {
  Zones zones;
  InstanceReport drains = Beat("i-1", kEast, 2);
  drains.draining = true;
  zones.Report(drains);
  cr_assert(zones.Drain(kEast, true));
  cr_assert(zones.Drain(kEast, false));
  cr_assert(zones.At("i-1").state == InstanceState::kDraining);
}

Test(zone_drain, same_order_again_is_accepted_and_changes_nothing) {
  Zones zones;
  cr_assert(zones.Drain(kEast, true));
  const std::uint64_t version = zones.state.version();
  cr_assert(zones.Drain(kEast, true));
  cr_assert(zones.state.version() == version);
  cr_assert(zones.Drain(kWest, false), "a finish without a start");
  cr_assert(zones.state.version() == version);
}

Test(zone_drain, of_the_last_zone_with_work_is_refused) {
  Zones zones;
  cr_assert(zones.Drain(kEast, true));
  cr_assert(!zones.Drain(kWest, true));
  cr_assert(zones.At("i-2").AcceptsNewWork());
  cr_assert(zones.Drain(ZoneName{"north"}, true), "a zone of which nothing is known yet");
  cr_assert(zones.Drain(kEast, false));
  cr_assert(zones.Drain(kWest, true));
}

Test(zone_drain, instance_that_is_taken_back_warms_up_until_it_tells_that_it_does_not) {
  Zones zones;
  cr_assert(zones.Drain(kEast, true));
  cr_assert(zones.Drain(kEast, false));
  cr_assert(zones.At("i-1").IsWarmingUp());
  zones.Report(Beat("i-1", kEast, 2));
  cr_assert(!zones.At("i-1").IsWarmingUp());
}

Test(zone_drain, warm_up_that_begins_or_ends_is_news_and_its_length_is_not) {
  Zones zones;
  InstanceReport cold = Beat("i-1", kEast, 2);
  cold.warmup_left_ms = 2'900;
  cr_assert(zones.state.instances().WouldChange(cold));
  zones.Report(cold);
  cold.sequence = 3;
  cold.warmup_left_ms = 2'000;
  cr_assert(!zones.state.instances().WouldChange(cold));
  cr_assert(zones.state.instances().WouldChange(Beat("i-1", kEast, 4)));
}

Test(zone_drain, survives_in_the_image) {
  Zones zones;
  cr_assert(zones.Drain(kEast, true));
  TrafficState restored;
  restored.Restore(zones.state.Image());
  restored.Restore(zones.state.ZoneDrains());
  cr_assert(restored.instances().Find({"i-1"})->state == InstanceState::kZoneDrained);
  restored.Report({Beat("i-3", kEast, 1)}, 9);
  cr_assert(!restored.instances().Find({"i-3"})->AcceptsNewWork());
}
