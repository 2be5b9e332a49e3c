/// @file
/// All processes of one run and the connections between them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "simulation/simulator/control_process.h"
#include "simulation/simulator/router_line.h"
#include "simulation/simulator/router_process.h"
#include "simulation/simulator/server_process.h"

namespace graniteseam::simulation {

inline constexpr std::uint32_t kZones = 3;
inline constexpr std::uint32_t kControls = 5;  ///< 2+2+1 over the zones.
inline constexpr std::uint32_t kRouters = 3;   ///< One a zone.
inline constexpr std::uint32_t kShards = 6;    ///< Of each keyed service.

/// The simulated users: one service of each kind.
inline const char* const kTranscripts = "transcripts";  ///< Keyed, repeatable.
inline const char* const kShutOffs = "shut-offs";       ///< Keyed, not repeatable.
inline const char* const kBilling = "billing";          ///< Pooled, not repeatable.

/// The control processes of a fleet.
struct CoreOptions {
  std::uint32_t controls = kControls;
  std::uint32_t first_voters = kControls;  ///< The first of them found the group.
  std::uint32_t spares = 0;                ///< That may take the place of another one later.
  control::MembershipRepairOptions repair{};
};

/// Makes a version of the users' bundle; `variant` tells two of the same version apart.
bundle::Bundle MakeBundle(std::uint64_t version, std::uint32_t variant);

/// Control processes, three routers and three servers a service, over three zones.
class Fleet : public ControlPorts, public RouterPorts {
 public:
  explicit Fleet(World& world, CoreOptions const& core = {});

  void Start();

  std::vector<std::unique_ptr<ControlProcess>> controls;  ///< Spares are at the end.
  /// Numbers of the control processes that have a machine at present, whether they run or not.
  std::vector<std::uint32_t> standing;
  std::vector<std::unique_ptr<RouterProcess>> routers;
  std::vector<std::unique_ptr<ServerProcess>> servers;

  /// The control process that leads, or nullptr.
  ControlProcess* Leader();
  auto Control(std::uint32_t number) -> ControlProcess& { return *controls[number - 1]; }
  auto AnyStandingControl() -> ControlProcess& {
    return Control(standing[world_.random.Below(standing.size())]);
  }
  ServerProcess* ServerById(const std::string& id);

  /// Sends an operator's request to a control process; `reply` may never come.
  void Ask(std::uint32_t control, const control::OperatorRequest& request,
           const std::function<void(const control::OperatorAnswer&)>& reply);

  /// Delivers some of the lease messages of the past again.
  void ReplayLeaseMessages(std::size_t count);
  /// Servers that the platform says are leaving, or does not list, rightly or not.
  std::set<std::string> listed_as_leaving;
  std::set<std::string> unlisted;

  void SendToPeer(const NodeName& from, const consensus::PeerMessage& message) override;
  void SendToServer(ControlProcess& from, const control::LeaseSend& send) override;
  void SendToRouter(ControlProcess& from, const control::RouterSend& send) override;
  void SendToOperator(const NodeName& from, const control::OperatorReply& reply) override;
  void SendToControl(RouterProcess& from, const std::string& address,
                     const control::RouterToControl& message) override;
  void SendToServer(RouterProcess& from, const std::string& address, const ServerRequest& request,
                    const std::function<void(const ServerAnswer&)>& reply) override;

 private:
  void MaintainLines();
  void MaintainLine(RouterLine& line, RouterProcess& router, ControlProcess& control);
  void TellPlatformList();
  void CheckLeaders();
  RouterLine& LineBetween(std::uint32_t router, std::uint32_t control) {
    return *lines_[(router - 1) * controls.size() + control - 1];
  }

  World& world_;
  std::vector<std::unique_ptr<RouterLine>> lines_;
  std::map<std::string, std::uint32_t> control_of_address_;
  std::map<std::string, ServerProcess*> server_of_address_;
  std::uint64_t last_connection_ = 0;
  std::uint64_t last_request_ = 0;
  std::map<std::uint64_t, std::function<void(const control::OperatorAnswer&)>> asked_;
  std::deque<std::pair<std::uint32_t, control::LeaseSend>> lease_history_;
};

}  // namespace graniteseam::simulation
