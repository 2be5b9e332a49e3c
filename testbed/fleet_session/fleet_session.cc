#include "testbed/fleet_session/fleet_session.h"

#include <stdlib.h>

#include <filesystem>
#include <thread>

#include "graniteseam/routing/routing_table.h"
#include "src/runtime/clock.h"
#include "testbed/fleet/await.h"

namespace graniteseam::testbed {

namespace {

constexpr auto kPollPeriod = std::chrono::milliseconds(10);
constexpr Duration kShardsLimit{10'000'000};
/// How long callers may take for their last answers.
constexpr Duration kCallersLimit{60'000'000};
/// Longer than any experiment; the callers are stopped when it is over.
constexpr Duration kTrafficLength{3'600'000'000};

Result<std::string> MakeFolder() {
  std::string pattern = std::filesystem::temp_directory_path() / "graniteseam-experiment-XXXXXX";
  if (::mkdtemp(pattern.data()) != nullptr) return pattern;
  return Fail(ErrorKind::kStorageIo, "No temporary folder can be made.",
              "Set TMPDIR to a folder that may be written to.");
}

std::string ProgramFolder(const RunOptions& options) {
  if (!options.program_folder.empty()) {
    return std::filesystem::absolute(options.program_folder).string();
  }
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

}  // namespace

FleetSession::FleetSession(const Scenario& scenario, const FleetPaths& paths)
    : log_("experiment"), scenario_(scenario), running_(scenario_, paths, log_) {}

FleetSession::~FleetSession() {
  const std::string folder = running_.fleet().paths().folder;
  running_.Stop();
  if (keep_folder_) {
    log_.Warning("Logs and records are kept in {}.", folder);
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
}

Result<std::unique_ptr<FleetSession>> FleetSession::Start(const Scenario& scenario,
                                                          const RunOptions& options,
                                                          bool with_callers) {
  BOOST_LEAF_AUTO(paths, PathsOf(options));
  std::unique_ptr<FleetSession> session(new FleetSession(scenario, paths));
  BOOST_LEAF_CHECK(session->running_.Start());
  if (with_callers) BOOST_LEAF_CHECK(session->fleet().StartAll(Role::kCaller));
  return session;
}

Result<control::ShardsView> FleetSession::Shards() const {
  control::ShardsView view;
  BOOST_LEAF_CHECK(Await("the shard map", kShardsLimit, [&]() -> Missing {
    const auto outcome = Attempt([this] { return console().Shards(); });
    if (const Error* error = ErrorOf(outcome)) return error->message;
    view = std::get<control::ShardsView>(outcome);
    return "";
  }));
  return view;
}

bool FleetSession::WaitUntil(Duration limit, const std::function<bool()>& condition) const {
  const Instant give_up = runtime::BootTimeNow() + limit;
  while (!condition()) {
    if (runtime::BootTimeNow() >= give_up) return false;
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

void FleetSession::Pause(Duration length) { std::this_thread::sleep_for(length); }

Result<ShardOf> FleetSession::MakeShardOf() const {
  BOOST_LEAF_AUTO(view, Shards());
  std::map<std::string, std::uint32_t> counts;
  for (const auto& entry : view.shards) ++counts[entry.shard.service.value];
  return ShardOf([counts](const std::string& service, const std::string& key) {
    const auto count = counts.find(service);
    if (count == counts.end()) return ShardId{ServiceName{service}, 0};
    return ShardId{ServiceName{service}, routing::ShardOfKey(key, count->second)};
  });
}

Result<SessionRecords> FleetSession::Finish() {
  fleet().StopAll(Role::kCaller, kCallersLimit);
  running_.Stop();
  BOOST_LEAF_AUTO(history, ReadHistory(fleet().paths().folder + "/records"));
  SessionRecords records{RequestsOf(history.answers), {}};
  // Without the servers' records every answer would look like one that nobody gave.
  if (scenario_.servers_record) records.violations = CheckHistory(history);
  keep_folder_ = !records.violations.empty();
  return records;
}

Result<FleetPaths> PathsOf(const RunOptions& options) {
  BOOST_LEAF_AUTO(folder, MakeFolder());
  return FleetPaths{ProgramFolder(options), folder};
}

Result<Scenario> ScenarioOf(const RunOptions& options, const std::vector<std::string>& deployments,
                            double server_factor, double rate_factor) {
  // build/bin/graniteseam-experiment
  const std::string source =
      std::filesystem::path(ProgramFolder(options)).parent_path().parent_path().string();
  Scenario scenario;
  scenario.name = "experiment";
  scenario.duration = kTrafficLength;
  scenario.server_factor = server_factor;
  scenario.rate_factor = rate_factor;
  scenario.seed = static_cast<std::int64_t>(options.seed);
  for (const std::string& name : deployments) {
    BOOST_LEAF_AUTO(deployment, ReadDeployment(name, source));
    scenario.deployments.push_back(std::move(deployment));
  }
  return scenario;
}

}  // namespace graniteseam::testbed
