/// @file
/// Named scenarios: which faults a run injects, how often, and whether two at once.
#pragma once

#include <string>
#include <vector>

#include "graniteseam/common/time.h"

namespace graniteseam::simulation {

struct Scenario {
  std::string name;
  std::string description;
  std::vector<std::string> faults;  ///< Names of fault kinds; empty for all.
  Duration interval_maximum{1'500'000};
  bool twice = false;
  bool replaces_controls = false;  ///< See control_replacements.h.
};

/// All scenarios; the first is the one that seeds run without `--scenario`.
const std::vector<Scenario>& Scenarios();
/// Returns nullptr when there is none of this name.
const Scenario* FindScenario(const std::string& name);

}  // namespace graniteseam::simulation
