/// @file
/// A control group under a large fleet in virtual time: shipped control nodes and their deciding
/// threads' rounds, routers' shipped search for the leader, instances that beat and take orders, an
/// operator. What a process does takes time: each message waits for the work queued before it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "src/daemon/control/event_round.h"
#include "src/protocol/leader_tracker.h"

namespace graniteseam::test {

struct CrowdOptions {
  std::uint64_t seed = 1;
  std::uint32_t controls = 6;
  std::uint32_t voters = 5;
  std::uint32_t routers = 100;
  std::uint32_t keyed = 144;  ///< Instances that take orders for keys.
  std::uint32_t pooled = 186;
  double processor = 0.3;  ///< Part of a core that each control process has.
};

/// One change of the configuration as its operator saw it.
struct CrowdChange {
  std::uint64_t version = 0;
  Instant sent;
  std::optional<Instant> acknowledged;
  std::map<std::uint32_t, Instant> in_force;  ///< When each router took it, or a newer one.
};

/// The fleet. Deterministic under its seed; time goes on only by RunUntil().
class CrowdedGroup {
 public:
  explicit CrowdedGroup(const CrowdOptions& options);
  ~CrowdedGroup();
  CrowdedGroup(const CrowdedGroup&) = delete;
  CrowdedGroup& operator=(const CrowdedGroup&) = delete;

  void RunUntil(Instant end);
  Instant now() const { return now_; }

  /// Part of all instances say that they leave, at the same moment.
  void ScaleIn(double part);
  /// Sends the next configuration until it is acknowledged.
  void Change();
  /// Asks for the configuration until it is told.
  void Read();

  const std::vector<CrowdChange>& changes() const { return changes_; }
  /// How long each read took, those that are still open included.
  std::vector<Duration> Reads() const;
  /// How often another process came to lead since the first one did.
  std::uint64_t leader_changes() const { return leader_changes_; }
  /// The longest span in which nobody led since the first leader.
  Duration longest_without_leader() const { return longest_without_leader_; }

 private:
  struct Thread;
  struct Control;
  struct Router;
  struct Instance;
  using Answer = std::function<void(const control::OperatorAnswer*, std::uint32_t leader)>;
  /// One question to control until its clear answer.
  struct Question;

  void At(Instant time, std::function<void()> action);
  Duration Latency();
  // Control processes.
  void StartControls();
  Instant Do(Control& control, Thread& thread, Instant from, Duration cost) const;
  enum class Kind { kFrame, kHttp };
  void Arrive(Control& control, daemon::ControlEvent event, Kind kind);
  void WakeFor(Control& control);
  void PlayRound(Control& control);
  void Settle(Control& control, std::vector<control::ControlEffects> pending);
  void CarryOut(Control& control, const control::ControlEffects& effects);
  Instant Work(Control& control, Kind kind, Instant from) const;
  /// When something that is sent now leaves the process.
  Instant Emit(Control& control, Kind kind) const;
  void SendToPeer(Control& from, const consensus::PeerMessage& message);
  void SendToRouter(Control& from, const control::RouterSend& send);
  void SendOrder(Control& from, const control::RangeOrder& order);
  void WatchLeader();
  // Routers.
  void StartRouters();
  /// Polls once, as a router does that has a new configuration.
  void Tell(Router& router);
  /// Polls from now on.
  void Poll(Router& router);
  void Deliver(Router& router, const std::vector<protocol::LeaderSend>& sends);
  void OnRouterMessage(Router& router, std::uint32_t from, const control::ControlToRouter& message);
  // Instances and the operator.
  void StartInstances();
  void Beat(Instance& instance);
  void Ask(std::uint32_t control, const control::OperatorRequest& request, Answer answer);
  void Pursue(const std::shared_ptr<Question>& question);
  std::uint32_t IndexOf(const std::string& address) const;

  const CrowdOptions options_;
  std::mt19937_64 random_;
  Instant now_ = InstantFromMicros(1'000'000'000);
  std::multimap<Instant, std::function<void()>> agenda_;
  std::vector<std::unique_ptr<Control>> controls_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::map<control::RequestId, Answer> asked_;
  control::RequestId last_request_ = 0;
  std::vector<CrowdChange> changes_;
  std::vector<std::shared_ptr<Question>> reads_;
  std::optional<std::uint32_t> leader_;
  Instant leader_seen_{};
  std::uint64_t leader_changes_ = 0;
  Duration longest_without_leader_{};
};

}  // namespace graniteseam::test
