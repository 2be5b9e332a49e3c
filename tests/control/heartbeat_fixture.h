/// @file
/// What tests of heartbeats set up: a fleet whose instances lease keys by heartbeat, the faults
/// that they may meet, and a group whose followers take heartbeats.
#pragma once

#include <criterion/criterion.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tests/control/leased_world.h"
#include "tests/control/ranged_group.h"

namespace graniteseam::test {

inline constexpr Duration kSecond{1'000'000};
inline constexpr std::uint32_t kAllKeys = traffic::kLastKey + 1;

inline void MustHold(const std::optional<std::string>& violation) {
  cr_assert(!violation, "%s", violation ? violation->c_str() : "");
}

/// A fleet without faults, after the time in which all keys found an owner.
struct SettledWorld {
  LeasedWorld world;

  SettledWorld(std::uint64_t seed, int instances) : world(seed, instances, {}) {
    MustHold(world.Run(4 * kSecond));
  }
};

/// Messages are lost and late, and keys move.
inline auto message_faults() -> LeasedWorldFaults {
  LeasedWorldFaults faults;
  faults.heartbeat_lost = 0.1;
  faults.heartbeat_late = 0.2;
  faults.answer_lost = 0.1;
  faults.answer_late = 0.2;
  faults.move = 1;
  return faults;
}

/// Adds leaders and instances that go.
inline auto add_departures(LeasedWorldFaults& faults) -> void {
  faults.leader_change = 0.3;
  faults.crash = 0.2;
  faults.drain = 0.4;
  faults.move = 1;
}

inline auto follower_of(ControlHarness& harness) -> std::size_t {
  return *harness.Leader() == 0 ? 1 : 0;
}

/// A group with one ranged service whose keys two instances own. Orders are carried out at once.
struct RelayGroup {
  ControlHarness harness;
  std::vector<control::RangeOrder> grants;

  RelayGroup() {
    harness.on_range_order = [this](std::size_t process, control::RangeOrder const& order) {
      if (order.kind == control::RangeOrder::Kind::kGrant) grants.push_back(order);
      harness.GiveRangeResult(process,
                              {order.number, control::RangeOrderResult::Outcome::kDone, ""});
    };
    start_ranges(harness);
  }

  auto follower() -> std::size_t { return follower_of(harness); }
};

}  // namespace graniteseam::test
