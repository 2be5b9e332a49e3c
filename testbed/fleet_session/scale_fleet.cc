#include "testbed/fleet_session/scale_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <sstream>

#include "src/runtime/clock.h"
#include "testbed/fleet/await.h"
#include "testbed/fleet/bundle_file.h"
#include "testbed/fleet_session/fleet_session.h"
#include "testbed/history/history.h"
#include "testbed/support/text_file.h"

namespace graniteseam::testbed {

namespace {

constexpr std::uint32_t kServersPerProcess = 275;
/// Routers are started this many at a time, as a rolling start does: each takes a whole map at its
/// first renewal.
constexpr std::uint32_t kRoutersPerProcess = 25;
constexpr Duration kReadyLimit{180'000'000};
constexpr Duration kCallersLimit{60'000'000};
/// Real servers beside the hollow ones: this part of the deployment's.
constexpr double kRealServers = 0.3;
constexpr double kRealRate = 0.25;

std::int64_t Now() { return ToMicros(runtime::BootTimeNow()); }

void AddCost(std::optional<ProcessCost> cost, ProcessCost& sum) {
  if (!cost) return;
  sum.processor_s += cost->processor_s;
  sum.resident_mb += cost->resident_mb;
}

/// Sums the values of a metric over its label sets in Prometheus' text format.
double SumOfMetric(const std::string& text, const std::string& name) {
  std::istringstream lines(text);
  double sum = 0.0;
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(name)) continue;
    const char next = line.size() > name.size() ? line[name.size()] : '\0';
    if (next == ' ' || next == '{') sum += std::stod(line.substr(line.rfind(' ') + 1));
  }
  return sum;
}

}  // namespace

ScaleFleet::ScaleFleet(const Scenario& scenario, const FleetPaths& paths, ScaleSize size)
    : log_("experiment"), size_(size), running_(scenario, paths, log_) {}

ScaleFleet::~ScaleFleet() {
  const std::string folder = running_.fleet().paths().folder;
  routers_.clear();
  servers_.clear();
  running_.Stop();
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
}

Result<std::unique_ptr<ScaleFleet>> ScaleFleet::Start(const RunOptions& options, ScaleSize size,
                                                      const Progress& progress) {
  BOOST_LEAF_AUTO(paths, PathsOf(options));
  BOOST_LEAF_AUTO(scenario, ScenarioOf(options, {"transcription"}, kRealServers, kRealRate));
  scenario.routers_per_zone = 1;
  Deployment hollow = scenario.deployments.front();
  hollow.name = "hollow";
  hollow.bundle = paths.folder + "/hollow-bundle.toml";
  hollow.servers.clear();
  constexpr double kTrickle = 2.0;
  hollow.rate = kTrickle;
  scenario.deployments.push_back(hollow);
  std::unique_ptr<ScaleFleet> fleet(new ScaleFleet(scenario, paths, size));
  BOOST_LEAF_CHECK(fleet->running_.Prepare());
  BOOST_LEAF_CHECK(fleet->WriteHollowBundle());
  progress("starting hollow servers", 0.0);
  BOOST_LEAF_CHECK(fleet->StartServers());
  progress("starting the control group", 0.0);
  BOOST_LEAF_CHECK(fleet->running_.StartMembers());
  BOOST_LEAF_CHECK(fleet->AwaitShards());
  progress("starting hollow routers", 0.0);
  BOOST_LEAF_CHECK(fleet->StartRouters());
  // The hollow deployment has no servers to call, and callers without requests take long to stop.
  for (const auto& name : fleet->running_.fleet().Names(Role::kCaller)) {
    if (!name.starts_with("caller-hollow")) {
      BOOST_LEAF_CHECK(fleet->running_.fleet().Start(name));
    }
  }
  return fleet;
}

Result<void> ScaleFleet::WriteHollowBundle() {
  const std::string& folder = running_.fleet().paths().folder;
  return WriteTextFile(folder + "/hollow-bundle.toml",
                       fmt::format("version = 1\nauthor = \"experiment\"\n"
                                   "[services.hollow]\nkind = \"keyed\"\nrepeatable = true\n"
                                   "shard_count = {}\n"
                                   "[groups.hollow]\nservices = [\"hollow\"]\n",
                                   size_.shards));
}

Result<void> ScaleFleet::StartServers() {
  const FleetPaths& paths = running_.fleet().paths();
  nlohmann::json machines = nlohmann::json::array();
  for (std::uint32_t first = 0; first < size_.servers; first += kServersPerProcess) {
    const std::uint32_t count = std::min(kServersPerProcess, size_.servers - first);
    BOOST_LEAF_AUTO(process,
                    HollowProcess::Start(
                        paths.programs, paths.Log(fmt::format("hollow-{}", first)),
                        {"--servers", std::to_string(count), "--first", std::to_string(first)}));
    BOOST_LEAF_AUTO(listed, process.Call("/machines"));
    machines.insert(machines.end(), listed.begin(), listed.end());
    servers_.push_back(std::move(process));
  }
  return running_.fleet().ListMachines(machines.dump());
}

Result<void> ScaleFleet::StartRouters() {
  const FleetPaths& paths = running_.fleet().paths();
  std::string control;
  for (const auto& name : running_.fleet().Names(Role::kControl)) {
    control += (control.empty() ? "" : ",") +
               runtime::ToString(running_.fleet().member(name).peer_address());
  }
  for (std::uint32_t first = 0; first < size_.routers; first += kRoutersPerProcess) {
    const std::uint32_t count = std::min(kRoutersPerProcess, size_.routers - first);
    BOOST_LEAF_AUTO(process, HollowProcess::Start(paths.programs,
                                                  paths.Log(fmt::format("hollow-router-{}", first)),
                                                  {"--routers", std::to_string(count), "--first",
                                                   std::to_string(first), "--control", control}));
    routers_.push_back(std::move(process));
    BOOST_LEAF_CHECK(AwaitRouters(first + count));
  }
  return {};
}

Result<std::uint64_t> ScaleFleet::SumOf(const std::vector<HollowProcess>& processes,
                                        const std::string& key) {
  std::uint64_t sum = 0;
  for (const HollowProcess& process : processes) {
    BOOST_LEAF_AUTO(stats, process.Call("/stats"));
    sum += stats.value(key, std::uint64_t{0});
  }
  return sum;
}

Result<void> ScaleFleet::AwaitShards() {
  return Await("owners of the hollow shards", kReadyLimit, [&]() -> Missing {
    const auto held = Attempt([&] { return SumOf(servers_, "shards"); });
    if (const Error* error = ErrorOf(held)) return error->message;
    const auto count = std::get<std::uint64_t>(held);
    return count >= size_.shards ? "" : fmt::format("{} of {} are owned", count, size_.shards);
  });
}

Result<void> ScaleFleet::AwaitRouters(std::uint32_t wanted) {
  return Await("hollow routers", kReadyLimit, [&]() -> Missing {
    const auto ready = Attempt([&] { return SumOf(routers_, "routers_ready"); });
    if (const Error* error = ErrorOf(ready)) return error->message;
    const auto count = std::get<std::uint64_t>(ready);
    return count >= wanted ? "" : fmt::format("{} of {} are ready", count, wanted);
  });
}

Result<ScaleCost> ScaleFleet::Cost() {
  ScaleCost cost;
  const std::string leader = running_.Leader();
  for (const auto& name : running_.fleet().Names(Role::kControl, true)) {
    const auto used = CostOf(running_.fleet().member(name).process->id());
    if (!used) continue;
    if (name == leader) {
      cost.leader = *used;
    } else {
      cost.followers_processor_s += used->processor_s;
    }
  }
  for (const HollowProcess& process : servers_) {
    AddCost(CostOf(process.id()), cost.servers);
    BOOST_LEAF_AUTO(stats, process.Call("/stats"));
    cost.server_bytes += stats.value("bytes", 0.0);
    cost.lapses += stats.value("lapses", std::uint64_t{0});
  }
  for (const HollowProcess& process : routers_) {
    AddCost(CostOf(process.id()), cost.routers);
    BOOST_LEAF_AUTO(metrics, process.CallText("/metrics"));
    cost.router_bytes += SumOfMetric(metrics, "graniteseam_transport_bytes_sent_total") +
                         SumOfMetric(metrics, "graniteseam_transport_bytes_received_total");
  }
  cost.at_us = Now();
  return cost;
}

const HollowProcess& ScaleFleet::ProcessOf(std::uint32_t server) const {
  return servers_[server / kServersPerProcess];
}

Result<ScaleLoss> ScaleFleet::KillServer(std::uint32_t number) {
  BOOST_LEAF_AUTO(killed, ProcessOf(number).Call(fmt::format("/kill?server=h-{}", number)));
  ScaleLoss loss;
  loss.at_us = killed.at("at_us").get<std::int64_t>();
  for (const auto& shard : killed.at("shards")) loss.shards.insert(shard.get<std::uint32_t>());
  return loss;
}

Result<void> ScaleFleet::StartServer(std::uint32_t number) {
  BOOST_LEAF_CHECK(ProcessOf(number).Call(fmt::format("/start?server=h-{}", number)));
  return {};
}

Result<void> ScaleFleet::ShiftKeys() {
  for (const HollowProcess& process : routers_) BOOST_LEAF_CHECK(process.Call("/shift"));
  return {};
}

Result<std::int64_t> ScaleFleet::RollBundle() {
  const std::uint64_t version = bundle_version_ + 1;
  std::vector<std::string> files;
  for (const auto& deployment : running_.fleet().scenario().deployments) {
    files.push_back(deployment.bundle);
  }
  BOOST_LEAF_AUTO(text, JoinBundles(files, version, "experiment-author"));
  const std::string path = running_.fleet().paths().folder + "/next-bundle.toml";
  BOOST_LEAF_CHECK(WriteTextFile(path, text));
  std::int64_t begun = 0;
  for (const char* step : {"submit", "sign", "roll"}) {
    begun = Now();
    BOOST_LEAF_AUTO(result, running_.console().Run({"bundle", step, path}));
    if (result.exit_code != 0) {
      return Fail(ErrorKind::kFailedPrecondition,
                  fmt::format("bundle {} was refused: {}", step, result.output),
                  "Look at the logs of the control processes.");
    }
  }
  bundle_version_ = version;
  return begun;
}

Result<std::pair<std::string, std::int64_t>> ScaleFleet::KillLeader() {
  const std::string leader = running_.Leader();
  if (!leader.starts_with("control-")) {
    return Fail(ErrorKind::kUnavailable, "There is no control leader to kill.",
                "Look at the logs of the control processes.");
  }
  const std::int64_t at = Now();
  running_.fleet().Kill(leader);
  return std::pair(leader, at);
}

Result<void> ScaleFleet::Gather() {
  for (const auto* processes : {&servers_, &routers_}) {
    for (const HollowProcess& process : *processes) {
      BOOST_LEAF_AUTO(events, process.Call("/events"));
      for (const auto& event : events) Take(event);
    }
  }
  return {};
}

void ScaleFleet::Take(const nlohmann::json& event) {
  const auto at = event.at("at_us").get<std::int64_t>();
  const auto kind = event.at("kind").get<std::string>();
  if (kind == "grant") {
    for (const auto& shard : event.at("shards")) {
      events_.grants.push_back(
          {at, shard.get<std::uint32_t>(), event.at("server").get<std::string>()});
    }
  } else if (kind == "version") {
    events_.versions[event.at("router").get<std::string>()].emplace_back(
        at, event.at("version").get<std::uint64_t>());
  } else if (kind == "term") {
    std::int64_t& last = events_.last_first_messages[event.at("term").get<std::uint64_t>()];
    last = std::max(last, at);
  }
}

std::size_t ScaleFleet::ProcessCount() {
  std::size_t count = servers_.size() + routers_.size();
  for (const Role role :
       {Role::kPlatform, Role::kControl, Role::kRouter, Role::kServer, Role::kCaller}) {
    count += running_.fleet().Names(role, true).size();
  }
  return count;
}

Result<std::vector<RequestView>> ScaleFleet::StopCallers() {
  running_.fleet().StopAll(Role::kCaller, kCallersLimit);
  BOOST_LEAF_AUTO(history, ReadHistory(running_.fleet().paths().folder + "/records"));
  return RequestsOf(history.answers);
}

}  // namespace graniteseam::testbed
