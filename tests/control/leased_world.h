/// @file
/// Instances that are leased keys by heartbeat, around the shipped range controller, in virtual
/// time: heartbeats and answers are lost, late and repeated, instances crash and drain, leaders
/// change. Checks at each step that no two instances hold one key.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "src/control/range_controller.h"

namespace graniteseam::test {

/// How often things go wrong, each as a part of all heartbeats or answers, or as events a second.
struct LeasedWorldFaults {
  double heartbeat_lost = 0;
  double heartbeat_late = 0;  ///< By seconds; a copy may also come in time.
  double answer_lost = 0;
  double answer_late = 0;
  double leader_change = 0;
  double crash = 0;
  /// Crashes after which another instance starts at the same address, at once or within a second.
  double replace = 0;
  double drain = 0;
  double slow_commit = 0;  ///< Of proposals that take up to a second to be committed.
  double move = 0;         ///< Shifts of a load that the balancer follows; 0 for no load at all.
};

/// Deterministic under its seed.
class LeasedWorld {
 public:
  LeasedWorld(std::uint64_t seed, int instances, LeasedWorldFaults faults);

  /// Lets time pass in steps of 10 ms. @return the first violation of an invariant, if any.
  std::optional<std::string> Run(Duration time);

  Instant now() const { return now_; }
  /// Keys that a live instance holds at present.
  std::uint32_t KeysHeld() const;
  std::uint32_t KeysHeldBy(const std::string& name) const;
  const traffic::TrafficState& state() const { return state_; }
  void set_faults(const LeasedWorldFaults& faults) { faults_ = faults; }
  void Drain(const std::string& name);
  void Crash(const std::string& name);
  /// Ends an instance, and starts another one at its address after `gap`.
  /// @return the name of the other one.
  std::string Replace(const std::string& name, Duration gap);
  /// Puts off all heartbeats that an instance sends from now on.
  void DelayHeartbeats(const std::string& name, Duration delay);
  /// A new leader after `gap` without one.
  void ChangeLeader(Duration gap);
  /// Fence tokens that instances refused, since they had seen a higher one.
  int refused() const { return refused_; }
  /// Handovers that reached an instance with keys whose last holder gave them.
  int handovers() const { return handovers_; }

 private:
  struct Holding {
    traffic::Fence fence;
    Instant end;           ///< On the instance's own clock, in the time of this world.
    bool leaving = false;  ///< Left out of an answer; gone when its work has ended.
    Instant work_ends{};
  };
  /// One life of a server, as the platform's pages describe it.
  struct Server {
    std::string name;
    std::string address;
    Duration heartbeat_delay{};
    double clock = 1.0;  ///< Its clock's rate; below 1 a lease lasts longer.
    bool up = true;
    bool draining = false;
    std::int64_t sequence = 0;
    Instant next_beat{};
    std::int64_t awaited = 0;  ///< Sequence of the heartbeat whose answer it would take.
    Instant awaited_since{};
    std::map<std::uint32_t, std::pair<std::uint32_t, Holding>> holds;  ///< First, last, rest.
    std::vector<traffic::ReleasedSpan> released;
    std::map<std::uint32_t, std::pair<std::uint32_t, traffic::Fence>> seen;  ///< Highest fences.
  };
  struct Message {
    Instant due;
    std::string server;
    control::ReportInstance heartbeat;
  };
  struct Answer {
    Instant due;
    std::string server;
    std::int64_t sequence = 0;
    std::optional<traffic::KeyLeases> leases;
  };

  bool Chance(double part) { return std::uniform_real_distribution<double>(0, 1)(random_) < part; }
  Duration Millis(std::int64_t least, std::int64_t most);
  Server& AddServer();
  void Beat(Server& server);
  void Arrive(const Message& message);
  void Take(Server& server, const Answer& answer);
  void TakeRows(Server& server, const traffic::KeyLeases& leases);
  void Expire(Server& server);
  bool HasWorkOn(const Server& server) const;
  void LeadOn();
  void Propose(std::vector<control::CommandBody> commands);
  void ApplyProposed();
  void Apply(const control::CommandBody& command);
  void Trouble();
  void TellLoads();
  std::optional<std::string> TwoHolders() const;

  std::mt19937_64 random_;
  LeasedWorldFaults faults_;
  Instant now_ = InstantFromMicros(1'000'000'000);
  traffic::TrafficState state_;
  std::uint64_t log_index_ = 1;
  /// What the leader decided and the log has not committed: it decides nothing meanwhile.
  std::vector<control::CommandBody> proposed_;
  Instant committed_at_{};
  std::optional<control::InstanceLiveness> liveness_;
  control::InstanceLimits limits_;
  std::unique_ptr<control::RangeController> leader_;
  Instant leaderless_until_{};
  std::map<std::string, Server> servers_;
  int named_ = 0;
  std::vector<Message> messages_;
  std::vector<Answer> answers_;
  std::uint32_t hot_key_ = 100;
  Instant loads_due_{};
  int refused_ = 0;
  int handovers_ = 0;
};

}  // namespace graniteseam::test
