/// @file
/// What a run of a fleet came to, for people and for programs.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "testbed/fleet/fault_runner.h"
#include "testbed/history/history.h"
#include "testbed/support/traffic_summary.h"

namespace graniteseam::testbed {

/// Figures and verdict of one run.
struct FleetReport {
  std::string scenario;
  std::map<std::string, TrafficSummary> services;  ///< The empty name holds all.
  /// Runs on the busiest server over runs on the mean one, by service.
  std::map<std::string, double> imbalance;
  std::uint64_t shard_moves = 0;
  std::uint64_t operations = 0;
  /// Operations whose callers never found out what became of them.
  std::uint64_t operations_unresolved = 0;
  std::vector<FaultEvent> events;
  std::vector<Violation> violations;
  std::vector<std::string> problems;  ///< Anything else that must not be.

  bool Good() const { return violations.empty() && problems.empty(); }
};

/// Works the figures out and runs the checker.
FleetReport MakeReport(const Scenario& scenario, const History& history);

/// A page for people.
std::string ToText(const FleetReport& report);
std::string ToJson(const FleetReport& report);

}  // namespace graniteseam::testbed
