/// @file
/// An operator's configuration of many routes to one service.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace graniteseam::test {

/// Each version changes all routes.
inline std::string LargeConfigurationText(int version, int routes) {
  using nlohmann::json;
  json list = json::array();
  for (int number = 0; number < routes; ++number) {
    const std::string name = std::to_string(number);
    list.push_back({{"name", "route-" + name},
                    {"host", "a.example"},
                    {"path_prefix", "/prefix/" + name + "/"},
                    {"kind", "safe"},
                    {"timeout_ms", 1'200 + version % 7},
                    {"target_latency_ms", 300},
                    {"priority", 2},
                    {"service", "texts"},
                    {"attempts_maximum", 2}});
  }
  return json{{"version", version}, {"routes", list}, {"services", {{{"name", "texts"}}}}}.dump();
}

}  // namespace graniteseam::test
