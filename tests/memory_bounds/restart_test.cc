// Control processes that start again after many changes of a large configuration.
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

std::string ConfigurationText(int version) {
  using nlohmann::json;
  const int routes = kUsualRoutes + std::min(version - 1, kAdditions) * kAddedRoutes;
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

}  // namespace

// Control processes outgrew their machines as they read their logs after a kill of all, and no
// configuration could be read back.
Test(restart, after_many_changes_of_a_large_configuration, .timeout = 280) {
  Fleet fleet;
  for (int version = 1; version <= kChanges; ++version) {
    const auto answer = fleet.Operate("PUT", ConfigurationText(version), version - 1);
    cr_assert(answer.status == 200, "version %d: %d", version, answer.status);
  }
  const long in_service = fleet.ControlPeakKib();
  cr_expect(in_service <= KibOf(kControlMemoryMb), "held %ld KiB in service", in_service);

  fleet.KillControls();
  for (int control = 1; control <= Fleet::kControls; ++control) fleet.StartControl(control, false);
  const auto read = fleet.Operate("GET", "", 0);
  cr_assert(read.status == 200);
  cr_expect(nlohmann::json::parse(read.body) == nlohmann::json::parse(ConfigurationText(kChanges)));
  const long at_start = fleet.ControlPeakKib();
  cr_expect(at_start <= KibOf(kStartMemoryMb), "held %ld KiB at the start", at_start);
}
