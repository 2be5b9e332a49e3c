/// @file
/// Lays a scenario's processes out: names, zones, addresses, folders, settings files, commands.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "testbed/fleet/member.h"
#include "testbed/fleet/scenario.h"

namespace graniteseam::testbed {

/// Where a fleet finds its programs and puts its files.
struct FleetPaths {
  std::string programs;  ///< Folder of the programs.
  std::string folder;    ///< The fleet's own folder; must be empty.

  std::string Log(const std::string& name) const { return folder + "/log/" + name + ".log"; }
  std::string Record(const std::string& name) const {
    return folder + "/records/" + name + ".record";
  }
  std::string Settings(const std::string& name) const {
    return folder + "/settings/" + name + ".toml";
  }
  std::string MachineList() const { return folder + "/machines.json"; }
};

/// Who may operate the fleet: written into the settings of the control processes.
struct Credentials {
  std::string operator_credential;
  std::string credential_file;
  std::string reviewer = "fleet-reviewer";
  std::string reviewer_public_key;
  std::string reviewer_key_file;
};

/// Draws a credential and a reviewer's key and writes them into the fleet's folder.
Result<Credentials> MakeCredentials(const FleetPaths& paths);

/// Makes members. Each gets an address of its own in its zone's network.
class Layout {
 public:
  Layout(const Scenario& scenario, FleetPaths paths, const Credentials& credentials);

  /// Adds all members that the scenario starts with.
  Result<void> AddAll(Members& members);

  /// Adds one more server of a service.
  Result<std::string> AddServer(Members& members, const ServerGroup& group, std::size_t zone);

  std::string ZoneName(std::size_t zone) const { return "zone-" + std::to_string(zone + 1); }

  /// Writes a control process's settings.
  /// @param initialise whether it may found the group on an empty folder.
  Result<void> WriteControlSettings(const Members& members, const Member& member,
                                    bool initialise) const;

 private:
  Result<Member*> AddMember(Members& members, const std::string& name, Role role, std::size_t zone,
                            std::size_t port_count);
  Result<void> AddPlatform(Members& members);
  Result<void> AddControl(Members& members);
  Result<void> AddRouters(Members& members);
  Result<void> AddServers(Members& members);
  Result<void> AddCallers(Members& members);
  Result<void> AddCaller(Members& members, const Deployment& deployment, std::size_t zone);
  Result<void> WriteRouterSettings(const Members& members, const Member& member) const;
  std::string Program(const std::string& name) const { return paths_.programs + "/" + name; }

  const Scenario& scenario_;
  const FleetPaths paths_;
  const Credentials& credentials_;
  std::map<std::size_t, int> members_in_zone_;
  std::map<std::string, int> servers_of_service_;
};

}  // namespace graniteseam::testbed
