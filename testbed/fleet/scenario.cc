#include "testbed/fleet/scenario.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>
#include <utility>

namespace graniteseam::testbed {

namespace {

constexpr double kMicrosPerSecond = 1e6;

constexpr std::array<std::pair<std::string_view, FaultAction>, 16> kActions{{
    {"kill", FaultAction::kKill},
    {"restart", FaultAction::kRestart},
    {"stop", FaultAction::kStop},
    {"pause", FaultAction::kPause},
    {"resume", FaultAction::kResume},
    {"cut", FaultAction::kCut},
    {"heal", FaultAction::kHeal},
    {"lose_disk", FaultAction::kLoseDisk},
    {"replace", FaultAction::kReplace},
    {"leave", FaultAction::kLeave},
    {"join", FaultAction::kJoin},
    {"drain", FaultAction::kDrain},
    {"undrain", FaultAction::kUndrain},
    {"move", FaultAction::kMove},
    {"roll", FaultAction::kRoll},
    {"race", FaultAction::kRace},
}};

boost::leaf::error_id Invalid(const std::string& path, const std::string& what) {
  return Fail(ErrorKind::kInvalidSettings, path + ": " + what,
              "Compare it with docs/operations/trying-faults.md.");
}

Duration Seconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * kMicrosPerSecond));
}

Result<toml::table> ParseFile(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream what;
    what << "line " << error.source().begin.line << ": " << error.description();
    return Invalid(path, what.str());
  }
}

/// Refuses keys that nobody reads: a fault that is spelt wrongly would never happen.
Result<void> CheckKeys(const toml::table& table, std::initializer_list<std::string_view> known,
                       const std::string& path) {
  for (const auto& [key, value] : table) {
    if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
      return Invalid(path, "the key " + std::string(key.str()) + " is not known.");
    }
  }
  return {};
}

/// A text, or a list of texts.
template <class Node>
std::vector<std::string> Texts(const Node& node) {
  std::vector<std::string> texts;
  if (const auto text = node.template value<std::string>()) texts.push_back(*text);
  if (const auto* list = node.as_array()) {
    for (const auto& item : *list) texts.push_back(item.value_or(std::string()));
  }
  return texts;
}

Result<ServerGroup> ReadServers(const toml::table& table, const std::string& path) {
  BOOST_LEAF_CHECK(CheckKeys(table,
                             {"service", "keyed", "count", "slots", "connections", "work_ms",
                              "cold_start_ms", "hint_lag_ms", "liars"},
                             path));
  ServerGroup group;
  group.service = table["service"].value_or(std::string());
  group.keyed = table["keyed"].value_or(group.keyed);
  group.count = table["count"].value_or(group.count);
  group.slots = table["slots"].value_or(group.slots);
  group.connections = table["connections"].value_or(group.connections);
  group.work_ms = table["work_ms"].value_or(group.work_ms);
  group.cold_start_ms = table["cold_start_ms"].value_or(group.cold_start_ms);
  group.hint_lag_ms = table["hint_lag_ms"].value_or(group.hint_lag_ms);
  group.liars = table["liars"].value_or(group.liars);
  if (group.service.empty()) return Invalid(path, "a [[servers]] table names no service.");
  return group;
}

Result<Fault> ReadFault(const toml::table& table, const std::string& path) {
  BOOST_LEAF_CHECK(
      CheckKeys(table, {"at_s", "action", "target", "to", "one_way", "lasts_s"}, path));
  Fault fault;
  const auto name = table["action"].value_or(std::string());
  const auto* const action = std::find_if(kActions.begin(), kActions.end(),
                                          [&](const auto& entry) { return entry.first == name; });
  if (action == kActions.end()) return Invalid(path, "the action \"" + name + "\" is not known.");
  fault.action = action->second;
  fault.at = Seconds(table["at_s"].value_or(0.0));
  fault.target = Texts(table["target"]);
  fault.to = Texts(table["to"]);
  fault.one_way = table["one_way"].value_or(false);
  fault.lasts = Seconds(table["lasts_s"].value_or(0.0));
  return fault;
}

Result<std::vector<Fault>> ReadFaults(const toml::table& file, const std::string& path) {
  std::vector<Fault> faults;
  const auto* list = file["fault"].as_array();
  if (list == nullptr) return faults;
  for (const auto& item : *list) {
    if (!item.is_table()) return Invalid(path, "an item of fault is no table.");
    BOOST_LEAF_AUTO(fault, ReadFault(*item.as_table(), path));
    faults.push_back(std::move(fault));
  }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& left, const Fault& right) { return left.at < right.at; });
  return faults;
}

void ReadVoters(const toml::table& file, Scenario& scenario) {
  const auto* list = file["voters_per_zone"].as_array();
  if (list == nullptr) return;
  scenario.voters_per_zone.clear();
  for (const auto& item : *list) {
    scenario.voters_per_zone.push_back(item.value_or(std::int64_t{0}));
  }
}

}  // namespace

std::string FaultActionName(FaultAction action) {
  const auto* const entry = std::find_if(kActions.begin(), kActions.end(),
                                         [&](const auto& item) { return item.second == action; });
  return std::string(entry->first);
}

Result<Deployment> ReadDeployment(const std::string& name, const std::string& source_folder) {
  const std::string path = source_folder + "/scenarios/deployments/" + name + ".toml";
  BOOST_LEAF_AUTO(file, ParseFile(path));
  BOOST_LEAF_CHECK(CheckKeys(file, {"bundle", "traffic", "rate", "servers"}, path));
  Deployment deployment;
  deployment.name = name;
  deployment.bundle = source_folder + "/" + file["bundle"].value_or(std::string());
  deployment.traffic = source_folder + "/" + file["traffic"].value_or(std::string());
  deployment.rate = file["rate"].value_or(deployment.rate);
  const auto* list = file["servers"].as_array();
  if (list == nullptr) return Invalid(path, "there is no [[servers]].");
  for (const auto& item : *list) {
    if (!item.is_table()) return Invalid(path, "an item of servers is no table.");
    BOOST_LEAF_AUTO(group, ReadServers(*item.as_table(), path));
    deployment.servers.push_back(std::move(group));
  }
  return deployment;
}

Result<Scenario> ReadScenario(const std::string& path, const std::string& source_folder) {
  BOOST_LEAF_AUTO(file, ParseFile(path));
  BOOST_LEAF_CHECK(CheckKeys(
      file,
      {"name", "purpose", "duration_s", "voters_per_zone", "routers_per_zone", "platform_lag_ms",
       "rate_factor", "server_factor", "answered_minimum", "seed", "links", "deployments", "fault"},
      path));
  Scenario scenario;
  scenario.name = file["name"].value_or(std::string());
  scenario.purpose = file["purpose"].value_or(std::string());
  scenario.duration = Seconds(file["duration_s"].value_or(20.0));
  ReadVoters(file, scenario);
  scenario.routers_per_zone = file["routers_per_zone"].value_or(scenario.routers_per_zone);
  scenario.platform_lag = std::chrono::milliseconds(file["platform_lag_ms"].value_or(2'000));
  scenario.rate_factor = file["rate_factor"].value_or(scenario.rate_factor);
  scenario.server_factor = file["server_factor"].value_or(scenario.server_factor);
  scenario.answered_minimum = file["answered_minimum"].value_or(scenario.answered_minimum);
  scenario.seed = file["seed"].value_or(scenario.seed);
  if (const auto* links = file["links"].as_table()) {
    BOOST_LEAF_CHECK(CheckKeys(*links, {"same_zone_us", "cross_zone_us"}, path));
    scenario.links.enabled = true;
    scenario.links.same_zone = Duration((*links)["same_zone_us"].value_or(0));
    scenario.links.cross_zone = Duration((*links)["cross_zone_us"].value_or(0));
  }
  for (const auto& name : Texts(file["deployments"])) {
    BOOST_LEAF_AUTO(deployment, ReadDeployment(name, source_folder));
    scenario.deployments.push_back(std::move(deployment));
  }
  BOOST_LEAF_ASSIGN(scenario.faults, ReadFaults(file, path));
  const bool cuts =
      std::any_of(scenario.faults.begin(), scenario.faults.end(),
                  [](const Fault& fault) { return fault.action == FaultAction::kCut; });
  if (cuts && !scenario.links.enabled) return Invalid(path, "cuts need the table [links].");
  if (scenario.name.empty() || scenario.deployments.empty()) {
    return Invalid(path, "name or deployments is missing.");
  }
  return scenario;
}

}  // namespace graniteseam::testbed
