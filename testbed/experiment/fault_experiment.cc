#include "testbed/experiment/fault_experiment.h"

#include <fmt/format.h>

#include <algorithm>

#include "src/runtime/clock.h"

namespace graniteseam::testbed {

namespace {

constexpr std::size_t kViolationsShown = 3;
constexpr Duration kWarmUp{3'000'000};
const std::string kKeyedServices[] = {"transcripts", "readings"};

bool Disturbs(const std::vector<Disturbance>& disturbances, const RequestView& request) {
  return std::any_of(disturbances.begin(), disturbances.end(), [&](const Disturbance& span) {
    return request.due_us >= span.from_us && request.due_us < span.until_us;
  });
}

}  // namespace

std::int64_t NowMicros() { return ToMicros(runtime::BootTimeNow()); }

std::set<ShardId> OwnedBy(const control::ShardsView& view, const std::string& server) {
  std::set<ShardId> shards;
  for (const auto& entry : view.shards) {
    if (entry.owner.value == server) shards.insert(entry.shard);
  }
  return shards;
}

Result<std::string> FaultRun::PickOwner(std::uint32_t number) const {
  const std::string& service = kKeyedServices[number % std::size(kKeyedServices)];
  std::vector<std::string> servers;
  for (const auto& name : session.fleet().Names(Role::kServer, true)) {
    if (session.fleet().member(name).service == service) servers.push_back(name);
  }
  if (servers.empty()) {
    return Fail(ErrorKind::kUnavailable, "No server of " + service + " runs.",
                "Look at the fleet's logs.");
  }
  return servers[number / std::size(kKeyedServices) % servers.size()];
}

std::string FaultRun::PickRouter(std::uint32_t number) const {
  const auto routers = session.fleet().Names(Role::kRouter);
  return routers[number % routers.size()];
}

Result<Measurement> FaultExperiment::Measure(const RunOptions& options, Way,
                                             const Progress& progress) const {
  const FaultPlan wanted = plan();
  const std::uint32_t repetitions =
      options.repetitions == 0 ? wanted.repetitions : options.repetitions;
  BOOST_LEAF_AUTO(scenario, ScenarioOf(options, {"transcription", "heat-network"},
                                       wanted.server_factor, wanted.rate_factor));
  scenario.links.enabled = wanted.links;
  progress("starting the fleet", 0.0);
  BOOST_LEAF_AUTO(session, FleetSession::Start(scenario, options));
  BOOST_LEAF_AUTO(shard_of, session->MakeShardOf());
  FaultRun run{*session, shard_of, {}, {}};
  FleetSession::Pause(kWarmUp);
  for (std::uint32_t number = 0; number < repetitions; ++number) {
    BOOST_LEAF_CHECK(Disturb(run, number));
    progress(fmt::format("{} of {}", number + 1, repetitions), (number + 1.0) / repetitions);
  }
  BOOST_LEAF_AUTO(records, session->Finish());
  Measurement result;
  Summarise(run, records, result);
  result.Add("requests_count", static_cast<double>(records.requests.size()));
  result.AddAtMost("violations_count", static_cast<double>(records.violations.size()), 0.0);
  for (std::size_t index = 0; index < std::min(kViolationsShown, records.violations.size());
       ++index) {
    result.remarks.push_back(ViolationName(records.violations[index].kind) + ": " +
                             records.violations[index].description);
  }
  for (const auto& [ending, count] : FailuresOf(records.requests)) {
    result.remarks.push_back(fmt::format("Failed: {} {}", count, ending));
  }
  result.remarks.push_back(fmt::format(
      "{} repetitions; both deployments with {} of their servers and {} times their rate.",
      repetitions, wanted.server_factor, wanted.rate_factor));
  return result;
}

void AddLatencies(Measurement& result, const std::string& name, const std::vector<double>& samples,
                  double p99_limit_ms) {
  result.Add(name + "_p50_ms", Percentile(samples, 0.5));
  result.AddAtMost(name + "_p99_ms", Percentile(samples, 0.99), p99_limit_ms);
  result.Add(name + "_samples_count", static_cast<double>(samples.size()));
}

std::vector<double> LatenciesOfDisturbed(const FaultRun& run,
                                         const std::vector<RequestView>& requests) {
  std::vector<double> latencies;
  for (const RequestView& request : requests) {
    if (request.key.empty() || !request.answered) continue;
    const ShardId shard = run.shard_of(request.service, request.key);
    for (const Disturbance& span : run.disturbances) {
      const bool within = request.due_us >= span.from_us && request.due_us < span.until_us;
      if (within && span.shards.contains(shard)) latencies.push_back(request.LatencyMs());
    }
  }
  return latencies;
}

std::vector<double> LatenciesUndisturbed(const FaultRun& run,
                                         const std::vector<RequestView>& requests) {
  std::vector<double> latencies;
  for (const RequestView& request : requests) {
    if (request.key.empty() || !request.answered || Disturbs(run.disturbances, request)) continue;
    latencies.push_back(request.LatencyMs());
  }
  return latencies;
}

}  // namespace graniteseam::testbed
