// Control processes that start again after many changes of a large configuration.
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "tests/memory_bounds/fleet.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

constexpr int kUsualRoutes = 12;
constexpr int kAddedRoutes = 350;
constexpr int kAdditions = 5;
constexpr int kChanges = 180;
/// What a start may take: half of the machine's memory.
constexpr long kStartMemoryMb = kControlMemoryMb / 2;

/// Routes of the size that docs/CAPACITY.md states, and how often they change. The long form, run
/// by hand, sets the number of changes by this variable.
constexpr int kManyRoutes = 4'000;
constexpr int kChangesOfMany = 24;
constexpr char kChangesVariable[] = "GRANITESEAM_RESTART_CHANGES";

int RoutesOf(int version) {
  return kUsualRoutes + std::min(version - 1, kAdditions) * kAddedRoutes;
}

std::string ConfigurationText(int version, int routes) {
  using nlohmann::json;
  json list = json::array();
  for (int number = 0; number < routes; ++number) {
    const std::string name = std::to_string(number);
    list.push_back(
        {{"name", "r-9n73hh2" + name},
         {"host", "a.example"},
         {"path_prefix", "/lepu270/" + name + "/"},
         {"kind", "safe"},
         {"timeout_ms", 1'200 + version % 7},
         {"target_latency_ms", 300},
         {"priority", 2},
         {"split",
          {{{"service", "texts"}, {"weight", 90}}, {{"service", "texts-b"}, {"weight", 0}}}},
         {"attempts_maximum", 2}});
  }
  return json{{"version", version},
              {"routes", list},
              {"services", {{{"name", "texts"}}, {{"name", "texts-b"}}}}}
      .dump();
}

/// Makes the changes, kills all control processes, starts them again and reads the newest one back.
/// @param routes_of the routes of a version.
template <class RoutesOf>
void CheckRestart(int changes, const RoutesOf& routes_of) {
  Fleet fleet;
  for (int version = 1; version <= changes; ++version) {
    const auto answer =
        fleet.Operate("PUT", ConfigurationText(version, routes_of(version)), version - 1);
    cr_assert(answer.status == 200, "version %d: %d", version, answer.status);
  }
  const long in_service = fleet.ControlPeakKib();
  cr_expect(in_service <= KibOf(kControlMemoryMb), "held %ld KiB in service", in_service);

  fleet.KillControls();
  for (int control = 1; control <= Fleet::kControls; ++control) fleet.StartControl(control, false);
  const auto read = fleet.Operate("GET", "", 0);
  cr_assert(read.status == 200);
  cr_expect(nlohmann::json::parse(read.body) ==
            nlohmann::json::parse(ConfigurationText(changes, routes_of(changes))));
  const long at_start = fleet.ControlPeakKib();
  cr_expect(at_start <= KibOf(kStartMemoryMb), "held %ld KiB at the start", at_start);
  cr_log_info("%d changes: %ld KiB in service, %ld KiB at the start", changes, in_service,
              at_start);
}

}  // namespace

// Control processes outgrew their machines as they read their logs after a kill of all, and no
// configuration could be read back.
Test(restart, after_many_changes_of_a_large_configuration, .timeout = 280) {
  CheckRestart(kChanges, RoutesOf);
}

// The same at the largest configuration that is planned for.
Test(restart, after_changes_of_the_largest_configuration, .timeout = 3'600) {
  const char* const wanted = std::getenv(kChangesVariable);
  const int changes = wanted == nullptr ? kChangesOfMany : std::atoi(wanted);
  CheckRestart(changes, [](int) { return kManyRoutes; });
}
