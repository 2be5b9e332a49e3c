/// @file
/// A whole fleet on one machine: its processes, its links, its platform list.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "testbed/fleet/layout.h"
#include "testbed/fleet/link_layer.h"
#include "testbed/fleet/member.h"
#include "testbed/fleet/scenario.h"
#include "testbed/fleet/socket_owners.h"

namespace graniteseam::testbed {

/// Starts, disturbs and ends processes, each by its own id. Not thread safe, except that the link
/// layer reads the cuts from its own thread.
class Fleet {
 public:
  Fleet(const Scenario& scenario, FleetPaths paths);
  /// Ends everything that still runs.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Makes folders, credentials, members and links. Starts nothing.
  /// @return kFailedPrecondition when the folder is not empty.
  Result<void> Prepare();

  /// Resolves selectors: a member's name, "control", "routers", "servers", "zone-2" for every
  /// process of a zone, "service:NAME" for its first running server, or "leader".
  /// @param leader names the control leader; asked only where "leader" is selected.
  /// @return kNotFound for a selector that fits nothing.
  Result<std::vector<std::string>> Select(const std::vector<std::string>& selectors,
                                          const std::function<std::string()>& leader);

  /// Starts a member unless it runs.
  Result<void> Start(const std::string& name);
  Result<void> StartAll(Role role);
  void Kill(const std::string& name);
  void Signal(const std::string& name, int signal);
  /// Asks all members of a role to stop and waits until they have, or kills them after `limit`.
  void StopAll(Role role, Duration limit);
  /// Kills a control process, empties its data folder and starts it on the empty folder.
  Result<void> LoseDisk(const std::string& name);
  /// Marks a server as leaving on the platform's list and asks it to stop.
  Result<void> Leave(const std::string& name);
  /// Puts machines on the platform's list that this fleet does not run.
  /// @param machines_json a JSON array in the form of docs/interface/platform.md.
  Result<void> ListMachines(const std::string& machines_json);
  /// Starts one more server of a service.
  /// @return its name, or kNotFound for a service that no deployment has.
  Result<std::string> Join(const std::string& service);

  void Cut(const std::vector<std::string>& from, const std::vector<std::string>& to, bool one_way);
  void Heal(const std::vector<std::string>& from, const std::vector<std::string>& to);

  /// Members of a role; those that run, if asked for.
  std::vector<std::string> Names(Role role, bool running_only = false);
  Member& member(const std::string& name) { return members_.at(name); }
  const Credentials& credentials() const { return credentials_; }
  const FleetPaths& paths() const { return paths_; }
  const Scenario& scenario() const { return scenario_; }

 private:
  LinkState StateOf(const std::string& from_ip, const std::string& to_ip);
  Result<void> AddEndpoints(const Member& member);
  /// Writes the platform's true list.
  Result<void> WriteMachineList();

  const Scenario scenario_;
  const FleetPaths paths_;
  Credentials credentials_;
  Members members_;
  std::unique_ptr<Layout> layout_;
  std::string further_machines_;  ///< JSON array of what ListMachines() was given last.
  std::mutex cuts_mutex_;         ///< Guards cuts_.
  std::set<std::pair<std::string, std::string>> cuts_;  ///< Directed, by address.
  SocketOwners socket_owners_;
  std::unique_ptr<LinkLayer> links_;  ///< Null when links are not simulated.
};

}  // namespace graniteseam::testbed
