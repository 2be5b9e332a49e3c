/// @file
/// What all experiments have in common that disturb a real fleet again and again.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "testbed/fleet_session/fleet_session.h"
#include "testbed/measurement/experiment.h"

namespace graniteseam::testbed {

/// Size and length of a run.
struct FaultPlan {
  std::uint32_t repetitions = 20;
  double server_factor = 0.5;
  double rate_factor = 1.0;
  bool links = false;  ///< Whether links are simulated, so that they can be cut.
};

/// A run under way: what was disturbed and what was measured beside the callers' records.
struct FaultRun {
  FleetSession& session;
  ShardOf shard_of;
  std::vector<Disturbance> disturbances;
  std::map<std::string, std::vector<double>> samples;

  /// A server that owns shards, another one each time.
  Result<std::string> PickOwner(std::uint32_t number) const;
  /// A router, another one each time.
  std::string PickRouter(std::uint32_t number) const;
};

/// Starts both deployments, disturbs them `repetitions` times under load, checks the history.
class FaultExperiment : public Experiment {
 public:
  Driver driver() const final { return Driver::kFleet; }
  Result<Measurement> Measure(const RunOptions& options, Way way,
                              const Progress& progress) const final;

 protected:
  virtual FaultPlan plan() const = 0;
  /// Disturbs the fleet once and waits until it is whole again.
  virtual Result<void> Disturb(FaultRun& run, std::uint32_t number) const = 0;
  virtual void Summarise(const FaultRun& run, const SessionRecords& records,
                         Measurement& result) const = 0;
};

std::int64_t NowMicros();
std::set<ShardId> OwnedBy(const control::ShardsView& view, const std::string& server);

/// Adds p50 and p99 of `samples` under `<name>_p50_ms` and `<name>_p99_ms`, with the bound on p99.
void AddLatencies(Measurement& result, const std::string& name, const std::vector<double>& samples,
                  double p99_limit_ms);

/// The latencies of answered requests to the disturbed shards during their disturbances.
std::vector<double> LatenciesOfDisturbed(const FaultRun& run,
                                         const std::vector<RequestView>& requests);
/// The latencies of answered requests to keyed services outside of all disturbances.
std::vector<double> LatenciesUndisturbed(const FaultRun& run,
                                         const std::vector<RequestView>& requests);

}  // namespace graniteseam::testbed
