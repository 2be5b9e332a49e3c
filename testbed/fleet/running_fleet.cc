#include "testbed/fleet/running_fleet.h"

#include "testbed/fleet/bundle_file.h"
#include "testbed/fleet/readiness.h"
#include "testbed/support/text_file.h"

namespace graniteseam::testbed {

namespace {

constexpr Duration kStopLimit{10'000'000};

}  // namespace

RunningFleet::RunningFleet(const Scenario& scenario, FleetPaths paths, const runtime::Logger& log)
    : log_(log), fleet_(scenario, std::move(paths)) {}

Result<void> RunningFleet::Start() {
  BOOST_LEAF_CHECK(Prepare());
  BOOST_LEAF_CHECK(StartMembers());
  BOOST_LEAF_CHECK(AwaitServing(fleet_, *console_));
  log_.Info("{} servers hold their leases; {} routers are ready.",
            fleet_.Names(Role::kServer, true).size(), fleet_.Names(Role::kRouter, true).size());
  return {};
}

Result<void> RunningFleet::Prepare() {
  BOOST_LEAF_CHECK(fleet_.Prepare());
  std::vector<runtime::SocketAddress> control;
  for (const auto& name : fleet_.Names(Role::kControl)) {
    control.push_back(fleet_.member(name).http_address());
  }
  console_ = std::make_unique<OperatorConsole>(fleet_.paths(), fleet_.credentials(), control);
  return {};
}

Result<void> RunningFleet::StartMembers() {
  log_.Info("Starting {} in {}.", fleet_.scenario().name, fleet_.paths().folder);
  BOOST_LEAF_CHECK(fleet_.StartAll(Role::kPlatform));
  BOOST_LEAF_CHECK(fleet_.StartAll(Role::kControl));
  BOOST_LEAF_CHECK(fleet_.StartAll(Role::kServer));
  BOOST_LEAF_CHECK(fleet_.StartAll(Role::kRouter));
  BOOST_LEAF_CHECK(AwaitLeader(*console_));
  log_.Info("A control leader is elected; rolling bundle version 1.");
  return RollFirstBundle();
}

Result<void> RunningFleet::RollFirstBundle() {
  std::vector<std::string> files;
  for (const auto& deployment : fleet_.scenario().deployments) files.push_back(deployment.bundle);
  BOOST_LEAF_AUTO(text, JoinBundles(files, 1, "fleet-author"));
  const std::string path = fleet_.paths().folder + "/bundle-1.toml";
  BOOST_LEAF_CHECK(WriteTextFile(path, text));
  BOOST_LEAF_AUTO(result, console_->Roll(path));
  if (result.exit_code == 0) return {};
  return Fail(ErrorKind::kFailedPrecondition,
              "Bundle version 1 could not be rolled: " + result.output,
              "Mend the bundles that the scenario's deployments name.");
}

std::uint64_t RunningFleet::MovesSoFar() const {
  const auto view = Attempt([this] { return console_->Fleet(); });
  return ErrorOf(view) == nullptr ? std::get<control::FleetView>(view).shard_moves : 0;
}

std::string RunningFleet::Leader() const {
  const auto view = Attempt([this] { return console_->Fleet(); });
  const auto* fleet = std::get_if<control::FleetView>(&view);
  if (fleet == nullptr || !fleet->leader) return "no leader";
  return "control-" + std::to_string(fleet->leader->id.value);
}

void RunningFleet::Stop() {
  fleet_.StopAll(Role::kRouter, kStopLimit);
  // Their work has nowhere to go any more, so that a planned stop would wait in vain.
  for (const auto& name : fleet_.Names(Role::kServer, true)) fleet_.Kill(name);
  fleet_.StopAll(Role::kControl, kStopLimit);
  fleet_.StopAll(Role::kPlatform, kStopLimit);
}

}  // namespace graniteseam::testbed
