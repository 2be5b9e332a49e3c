/// @file
/// A control process: the shipped ControlNode on the shipped storage over a faulty disk in memory.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "graniteseam/control/control_node.h"
#include "simulation/simulator/process.h"
#include "src/storage/consensus_storage.h"
#include "src/storage/memory_file_system.h"

namespace graniteseam::simulation {

class ControlProcess;

/// Where a control process's messages go; the fleet implements it.
class ControlPorts {
 public:
  virtual ~ControlPorts() = default;
  virtual void SendToPeer(const NodeName& from, const consensus::PeerMessage& message) = 0;
  virtual void SendToServer(ControlProcess& from, const control::LeaseSend& send) = 0;
  virtual void SendToRouter(ControlProcess& from, const control::RouterSend& send) = 0;
  virtual void SendToOperator(const NodeName& from, const control::OperatorReply& reply) = 0;
  /// To an instance that owns keys; a fleet without such instances gets no orders for them.
  virtual void SendToOwner(ControlProcess& /*from*/, const control::RangeOrder& /*order*/) {}
};

/// Drives one ControlNode as the daemon does: persists first, then carries out the rest in order.
class ControlProcess : public Process {
 public:
  ControlProcess(World& world, ControlPorts& ports, std::uint32_t number, std::uint32_t zone);

  /// The settings of the group's first start.
  void SetFirstVoters(const std::vector<consensus::Member>& voters) { first_voters_ = voters; }
  /// Where it announces itself from the next start on, in place of the first voters.
  auto SetSeeds(std::vector<consensus::Member> seeds) -> void { seeds_ = std::move(seeds); }
  /// Its settings do not have it found the group.
  auto JoinOnly() -> void { founded_ = true; }
  /// The settings of the repair of the membership, from the next start on.
  auto SetRepairOptions(control::MembershipRepairOptions const& options) -> void {
    repair_options_ = options;
  }
  /// The settings of traffic management, from the next start on.
  void SetTrafficOptions(const control::TrafficOptions& options) { traffic_options_ = options; }
  /// Itself as the first voters know it.
  consensus::Member FirstSelf() const;
  const std::string& address() const { return address_; }

  /// Loses power: what was not synced is torn or gone.
  void LosePower();
  /// Loses power in the middle of a coming write.
  void LosePowerAtWrite();
  /// The disk is replaced by an empty one; the program is not running meanwhile.
  void LoseDisk();
  /// The incarnation of the disk that it has now.
  std::uint64_t present_disk() const { return 100 + name().number + 1000 * (disks_ - 1); }
  void SetDiskFull(bool full);
  void JumpWallClock(std::int64_t milliseconds) { wall_offset_ms_ += milliseconds; }

  control::ControlNode& node() { return *node_; }
  /// Whether the program runs and its disk has not failed.
  bool works() const { return alive() && node_ != nullptr && !failed_; }
  bool Leads() const { return works() && !paused() && node_->Leading(Now()); }
  std::int64_t WallMs() const;

  /// Runs one step of the node, when the program is there to take it.
  using Step = std::function<control::ControlEffects(control::ControlNode&, Instant)>;
  void Run(const Step& step);

 protected:
  void OnStart() override;
  void OnKill() override;
  void OnTick() override;
  Instant NextTick() const override;
  bool Blocked() const override { return waits_for_space_; }

 private:
  void TakeEffects(const control::ControlEffects& effects);
  void Persist(const consensus::PersistRequest& request, std::uint64_t start,
               const std::function<void()>& done);
  void StopByDiskFault();
  void CarryOut(const control::ControlEffects& effects);

  ControlPorts& ports_;
  std::string address_;
  std::vector<consensus::Member> first_voters_;
  std::vector<consensus::Member> seeds_;
  control::MembershipRepairOptions repair_options_;
  control::TrafficOptions traffic_options_;
  storage::MemoryFileSystem disk_;
  std::uint64_t disks_ = 1;
  bool founded_ = false;
  bool waits_for_space_ = false;
  bool failed_ = false;
  TrueTime busy_until_ = 0;
  std::int64_t wall_offset_ms_ = 0;
  std::unique_ptr<storage::ConsensusStorage> storage_;
  std::unique_ptr<control::ControlNode> node_;
};

}  // namespace graniteseam::simulation
