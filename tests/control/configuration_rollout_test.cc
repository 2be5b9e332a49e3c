#include "src/control/configuration_rollout.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace graniteseam;
using namespace graniteseam::control;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
constexpr Duration kMs{1'000};
constexpr std::uint64_t kSent = 20;

/// Two routers that have version 10.
struct Fixture {
  ConfigurationRollout rollout;

  Fixture() {
    rollout.Heard({"r-1"}, 10, kStart);
    rollout.Heard({"r-2"}, 10, kStart);
    rollout.Committed(traffic::ConfigurationVersion{5}, kSent, kStart);
    static_cast<void>(rollout.TakeNotes());
  }

  std::vector<RolloutNote> Look(Instant now) {
    rollout.Look([](const RouterId&) { return kSent; }, now);
    return rollout.TakeNotes();
  }
};

std::size_t Count(const std::vector<RolloutNote>& notes, std::string_view what) {
  return static_cast<std::size_t>(std::count_if(
      notes.begin(), notes.end(), [&](const RolloutNote& note) { return note.what == what; }));
}

}  // namespace

Test(configuration_rollout, tells_when_the_last_router_has_a_change) {
  Fixture fixture;
  fixture.rollout.Heard({"r-1"}, kSent, kStart + 100 * kMs);
  cr_assert(fixture.rollout.TakeNotes().empty());
  fixture.rollout.Heard({"r-2"}, kSent + 3, kStart + 400 * kMs);
  const auto notes = fixture.rollout.TakeNotes();
  cr_assert(Count(notes, "configuration_in_force") == 1);
  cr_assert(notes.front().router == RouterId{"r-2"});
  cr_assert(fixture.rollout.NextDue() < Instant::max());
  cr_assert(fixture.Look(kStart + 1'100 * kMs).empty());
  cr_assert(fixture.rollout.NextDue() == Instant::max(), "nothing is left to look for");
}

Test(configuration_rollout, tells_once_that_a_router_is_behind_and_once_that_it_caught_up) {
  Fixture fixture;
  fixture.rollout.Heard({"r-1"}, kSent, kStart + 100 * kMs);
  cr_assert(fixture.Look(kStart + 900 * kMs).empty());
  const auto behind = fixture.Look(kStart + 1'000 * kMs);
  cr_assert(Count(behind, "router_behind") == 1);
  cr_assert(behind.front().router == RouterId{"r-2"});
  cr_assert(behind.front().inputs.starts_with("told version 10, sent version 20, heard 1000 ms"));
  cr_assert(fixture.Look(kStart + 2'000 * kMs).empty());
  fixture.rollout.Heard({"r-2"}, kSent, kStart + 2'500 * kMs);
  cr_assert(Count(fixture.rollout.TakeNotes(), "router_caught_up") == 1);
}

Test(configuration_rollout, router_that_is_not_heard_of_any_more_keeps_no_change_open) {
  Fixture fixture;
  fixture.rollout.Heard({"r-1"}, kSent, kStart + 2'100 * kMs);
  cr_assert(Count(fixture.rollout.TakeNotes(), "configuration_in_force") == 1);
}

Test(configuration_rollout, follows_a_bounded_number_of_changes) {
  Fixture fixture;
  for (std::uint64_t change = 1; change <= 1'000; ++change) {
    fixture.rollout.Committed(traffic::ConfigurationVersion{5 + change}, kSent + change, kStart);
  }
  static_cast<void>(fixture.rollout.TakeNotes());
  fixture.rollout.Heard({"r-1"}, kSent + 1'000, kStart);
  fixture.rollout.Heard({"r-2"}, kSent + 1'000, kStart);
  cr_assert(Count(fixture.rollout.TakeNotes(), "configuration_in_force") == 64);
}
