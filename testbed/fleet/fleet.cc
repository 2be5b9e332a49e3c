#include "testbed/fleet/fleet.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace graniteseam::testbed {

namespace {

constexpr Duration kKillWait{5'000'000};

/// The network of a zone: "127.0.2" of "127.0.2.7".
std::string ZoneNetwork(const std::string& ip) { return ip.substr(0, ip.rfind('.')); }

}  // namespace

Fleet::Fleet(const Scenario& scenario, FleetPaths paths)
    : scenario_(scenario), paths_(std::move(paths)) {}

Fleet::~Fleet() {
  for (auto& [name, member] : members_) Kill(name);
}

Result<void> Fleet::Prepare() {
  std::error_code error;
  if (std::filesystem::exists(paths_.folder) && !std::filesystem::is_empty(paths_.folder, error)) {
    return Fail(ErrorKind::kFailedPrecondition, "The folder " + paths_.folder + " is not empty.",
                "Name an empty one: records of an earlier run would be judged with this one's.");
  }
  for (const char* folder : {"log", "records", "settings", "data"}) {
    std::filesystem::create_directories(paths_.folder + "/" + folder, error);
    if (error) {
      return Fail(ErrorKind::kStorageIo, "The folder " + paths_.folder + " can't be made.",
                  "Choose a folder that this process may write to.");
    }
  }
  BOOST_LEAF_ASSIGN(credentials_, MakeCredentials(paths_));
  if (scenario_.links.enabled) {
    links_ = std::make_unique<LinkLayer>(
        [this](const std::string& from, const std::string& to) { return StateOf(from, to); },
        [this](const ConnectionEnds& ends) { return socket_owners_.IpOf(ends); });
  }
  layout_ = std::make_unique<Layout>(scenario_, paths_, credentials_);
  BOOST_LEAF_CHECK(layout_->AddAll(members_));
  for (const auto& [name, member] : members_) BOOST_LEAF_CHECK(AddEndpoints(member));
  return WriteMachineList();
}

Result<void> Fleet::AddEndpoints(const Member& member) {
  if (!links_) return {};
  for (const auto& port : member.ports) BOOST_LEAF_CHECK(links_->AddEndpoint(port.address()));
  return {};
}

LinkState Fleet::StateOf(const std::string& from_ip, const std::string& to_ip) {
  const bool same_zone = ZoneNetwork(from_ip) == ZoneNetwork(to_ip);
  const std::lock_guard lock(cuts_mutex_);
  return {.cut = cuts_.contains({from_ip, to_ip}),
          .delay = same_zone ? scenario_.links.same_zone : scenario_.links.cross_zone};
}

std::vector<std::string> Fleet::Names(Role role, bool running_only) {
  std::vector<std::string> names;
  for (auto& [name, member] : members_) {
    if (member.role == role && (!running_only || member.Running())) names.push_back(name);
  }
  return names;
}

Result<std::vector<std::string>> Fleet::Select(const std::vector<std::string>& selectors,
                                               const std::function<std::string()>& leader) {
  constexpr std::string_view kService = "service:";
  std::set<std::string> chosen;
  for (const auto& selector : selectors) {
    const auto before = chosen.size();
    const std::string wanted = selector == "leader" ? leader() : selector;
    for (auto& [name, member] : members_) {
      const bool fits = name == wanted || member.zone == wanted ||
                        (wanted == "control" && member.role == Role::kControl) ||
                        (wanted == "routers" && member.role == Role::kRouter) ||
                        (wanted == "servers" && member.role == Role::kServer) ||
                        (wanted.starts_with(kService) && member.Running() && !member.leaving &&
                         member.service == wanted.substr(kService.size()));
      if (!fits || member.role == Role::kPlatform) continue;
      chosen.insert(name);
      if (wanted.starts_with(kService)) break;
    }
    if (chosen.size() == before) {
      return Fail(ErrorKind::kNotFound, "No member of the fleet fits \"" + selector + "\".",
                  "See docs/operations/trying-faults.md for selectors.");
    }
  }
  return std::vector<std::string>(chosen.begin(), chosen.end());
}

Result<void> Fleet::Start(const std::string& name) {
  auto& member = members_.at(name);
  if (member.Running()) return {};
  BOOST_LEAF_AUTO(process, ChildProcess::Start(member.command));
  member.process.emplace(std::move(process));
  socket_owners_.Add(member.process->id(), member.ip);
  if (member.role != Role::kServer) return {};
  member.listed = true;
  member.leaving = false;
  return WriteMachineList();
}

Result<void> Fleet::StartAll(Role role) {
  for (const auto& name : Names(role)) BOOST_LEAF_CHECK(Start(name));
  return {};
}

void Fleet::Kill(const std::string& name) {
  auto& member = members_.at(name);
  if (!member.Running()) return;
  member.process->Kill();
  member.listed = false;
  // The list lags; a machine that died is missing from it later.
  static_cast<void>(Attempt([this] { return WriteMachineList(); }));
}

void Fleet::Signal(const std::string& name, int signal) {
  auto& member = members_.at(name);
  if (member.Running()) member.process->Signal(signal);
}

void Fleet::StopAll(Role role, Duration limit) {
  for (const auto& name : Names(role, true)) {
    Signal(name, SIGCONT);
    Signal(name, SIGTERM);
  }
  for (const auto& name : Names(role, true)) {
    if (!members_.at(name).process->Wait(limit)) Kill(name);
  }
}

Result<void> Fleet::LoseDisk(const std::string& name) {
  auto& member = members_.at(name);
  if (member.role != Role::kControl) {
    return Fail(ErrorKind::kInvalidArgument, name + " keeps nothing on disk.",
                "Name a control process.");
  }
  Kill(name);
  std::error_code ignored;
  std::filesystem::remove_all(member.data_folder, ignored);
  // It must not found a group of its own on the empty folder.
  BOOST_LEAF_CHECK(layout_->WriteControlSettings(members_, member, false));
  return Start(name);
}

Result<void> Fleet::Leave(const std::string& name) {
  auto& member = members_.at(name);
  member.leaving = true;
  BOOST_LEAF_CHECK(WriteMachineList());
  Signal(name, SIGTERM);
  return {};
}

Result<std::string> Fleet::Join(const std::string& service) {
  for (const auto& deployment : scenario_.deployments) {
    for (const auto& group : deployment.servers) {
      if (group.service != service) continue;
      const std::size_t zone = members_.size() % scenario_.zone_count();
      BOOST_LEAF_AUTO(name, layout_->AddServer(members_, group, zone));
      BOOST_LEAF_CHECK(AddEndpoints(members_.at(name)));
      BOOST_LEAF_CHECK(Start(name));
      return name;
    }
  }
  return Fail(ErrorKind::kNotFound, "No deployment has the service " + service + ".",
              "Name a service of the scenario's deployments.");
}

void Fleet::Cut(const std::vector<std::string>& from, const std::vector<std::string>& to,
                bool one_way) {
  const std::lock_guard lock(cuts_mutex_);
  for (const auto& left : from) {
    for (const auto& right : to) {
      if (left == right) continue;
      const auto& left_ip = members_.at(left).ip;
      const auto& right_ip = members_.at(right).ip;
      cuts_.insert({left_ip, right_ip});
      if (!one_way) cuts_.insert({right_ip, left_ip});
    }
  }
}

void Fleet::Heal(const std::vector<std::string>& from, const std::vector<std::string>& to) {
  const std::lock_guard lock(cuts_mutex_);
  for (const auto& left : from) {
    for (const auto& right : to) {
      cuts_.erase({members_.at(left).ip, members_.at(right).ip});
      cuts_.erase({members_.at(right).ip, members_.at(left).ip});
    }
  }
}

Result<void> Fleet::ListMachines(const std::string& machines_json) {
  if (!nlohmann::json::accept(machines_json)) {
    return Fail(ErrorKind::kInvalidArgument, "The machines to list are no JSON.",
                "See docs/interface/platform.md.");
  }
  further_machines_ = machines_json;
  return WriteMachineList();
}

Result<void> Fleet::WriteMachineList() {
  nlohmann::json machines = nlohmann::json::array();
  if (!further_machines_.empty()) machines = nlohmann::json::parse(further_machines_);
  for (const auto& [name, member] : members_) {
    if (!member.listed) continue;
    machines.push_back({{"server", name},
                        {"service", member.service},
                        {"address", runtime::ToString(member.KnownAddress(member.http_address()))},
                        {"zone", member.zone},
                        {"leaving", member.leaving}});
  }
  // Written aside and renamed, so that the stand-in never reads a half of it.
  const std::string aside = paths_.MachineList() + ".new";
  std::ofstream(aside) << nlohmann::json{{"machines", machines}}.dump(2) << "\n";
  std::error_code error;
  std::filesystem::rename(aside, paths_.MachineList(), error);
  if (!error) return {};
  return Fail(ErrorKind::kStorageIo, "The platform list can't be written.",
              "Free some space in the fleet's folder.");
}

}  // namespace graniteseam::testbed
