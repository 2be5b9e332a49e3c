/// @file
/// What a fleet consists of and what shall happen to it, read from TOML. The form is described in
/// docs/operations/trying-faults.md.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"

namespace graniteseam::testbed {

/// The servers of one service.
struct ServerGroup {
  std::string service;
  bool keyed = false;
  std::int64_t count = 1;
  std::int64_t slots = 2;
  std::int64_t connections = 130;
  std::int64_t work_ms = 2;
  std::int64_t cold_start_ms = 0;
  std::int64_t hint_lag_ms = 1'000;
  std::int64_t liars = 0;  ///< This many claim to be idle and healthy, whatever is true.
};

/// One user's servers, bundle and traffic.
struct Deployment {
  std::string name;
  std::string bundle;   ///< Path of the bundle file.
  std::string traffic;  ///< Path of the traffic file.
  double rate = 100.0;  ///< Requests a second, over all zones.
  std::vector<ServerGroup> servers;
};

enum class FaultAction {
  kKill,      ///< SIGKILL.
  kRestart,   ///< Starts what is not running, with what is on its disk.
  kStop,      ///< SIGTERM: a planned stop.
  kPause,     ///< SIGSTOP.
  kResume,    ///< SIGCONT.
  kCut,       ///< Cuts the links from `target` to `to`.
  kHeal,      ///< Heals all links between `target` and `to`.
  kLoseDisk,  ///< Kills a control process, empties its data folder, starts it again.
  kReplace,   ///< An operator replaces a control process that lost its disk.
  kLeave,     ///< A server is announced as leaving and then stopped as planned.
  kJoin,      ///< A further server of a service starts.
  kDrain,     ///< An operator drains a server.
  kUndrain,   ///< An operator undoes that.
  kMove,      ///< An operator moves a shard of a service to another server.
  kRoll,      ///< An operator rolls the next bundle version.
  kRace,      ///< Two operators roll different bundles under the same next version, and resend.
};

struct Fault {
  FaultAction action = FaultAction::kKill;
  Duration at{0};                   ///< After the start of traffic.
  std::vector<std::string> target;  ///< Selectors; see Fleet::Select.
  std::vector<std::string> to;      ///< Of cuts: the other side; empty means everybody else.
  bool one_way = false;             ///< Of cuts: only what goes from target to the other side.
  Duration lasts{0};  ///< Pauses and cuts: undone afterwards; kills: restarted. 0: never.
};

struct Links {
  bool enabled = false;  ///< Without, processes connect directly, and nothing can be cut.
  Duration same_zone{0};
  Duration cross_zone{0};
};

struct Scenario {
  std::string name;
  std::string purpose;
  Duration duration{20'000'000};  ///< Of the traffic.
  std::vector<std::int64_t> voters_per_zone{2, 2, 1};
  std::int64_t routers_per_zone = 2;
  Duration platform_lag{2'000'000};
  double rate_factor = 1.0;
  double server_factor = 1.0;  ///< Of the deployments' numbers of servers, rounded up.
  /// Smallest part of the requests that must be answered in time; 0 when none is promised.
  double answered_minimum = 0.0;
  std::int64_t seed = 1;
  bool servers_record = true;  ///< Without, the history of runs can't be checked.
  Links links;
  std::vector<Deployment> deployments;
  std::vector<Fault> faults;  ///< In order of time.

  std::size_t zone_count() const { return voters_per_zone.size(); }
};

/// For example "lose_disk".
std::string FaultActionName(FaultAction action);

/// Reads scenarios/deployments/NAME.toml of `source_folder`.
/// @return kInvalidSettings with file and key.
Result<Deployment> ReadDeployment(const std::string& name, const std::string& source_folder);

/// Reads a scenario and the deployments that it names. Paths in these files are relative to
/// `source_folder`.
/// @return kInvalidSettings with file and key.
Result<Scenario> ReadScenario(const std::string& path, const std::string& source_folder);

}  // namespace graniteseam::testbed
