/// @file
/// Several control nodes, servers and routers in virtual time, joined by an in-memory network with
/// faults. Everything that a test sees follows from the seed and the calls.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "graniteseam/control/control_node.h"
#include "graniteseam/lease/fenced_owner.h"

namespace graniteseam::test {

inline const ServiceName kKeyed{"transcripts"};
inline const ServiceName kPooled{"job-status"};
inline constexpr std::int64_t kLeaseMs = 600;

/// A disk of one control process that survives its restarts.
struct Disk {
  consensus::HardState hard_state;
  std::optional<consensus::Snapshot> snapshot;
  std::vector<consensus::LogEntry> entries;

  void Write(const consensus::PersistRequest& request);
};

/// One control process: its node while it runs, and its disk.
struct ControlProcess {
  consensus::Member self;
  Disk disk;
  std::unique_ptr<control::ControlNode> node;
  std::uint64_t starts = 0;
};

/// One back-end server: a fenced owner with a clock of its own.
struct Server {
  ServerId id;
  ServiceName service;
  std::string address;
  std::unique_ptr<lease::FencedOwner> owner;
  Duration clock_offset{};
  std::uint64_t incarnations = 0;
  bool frozen = false;  ///< Takes messages only after it wakes.
  std::deque<lease::LeaseRequest> inbox;
};

struct HarnessOptions {
  std::uint32_t control_count = 3;
  std::uint32_t shard_count = 12;
  std::uint64_t seed = 1;
  Duration delay_minimum{300};
  Duration delay_maximum{1'200};
  /// Chance of a second delivery and of a much later one, of lease messages only.
  double duplicate_chance = 0.0;
  double late_chance = 0.0;
};

/// The fleet. Time goes on only by Run*(); each event is delivered in order of its time.
class ControlHarness {
 public:
  explicit ControlHarness(HarnessOptions options = {});

  // Building.
  void AddServer(const std::string& name, const ServiceName& service = kKeyed);
  void RemoveFromPlatformList(const std::string& name) { hidden_.insert(name); }
  void SetPlatformLeaving(const std::string& name, bool leaving);
  /// Submits, signs and rolls a bundle with this version; runs until it is in force.
  void RollBundle(std::uint64_t version, std::int64_t lease_ms = kLeaseMs);

  // Time.
  void RunFor(Duration length);
  /// Runs until the condition holds. @return false when it did not within `limit`.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);
  Instant now() const { return now_; }

  // Faults.
  void StopControl(std::size_t index) { controls_[index].node.reset(); }
  /// Asks the leader to hand over, as an orderly stop does.
  void StopLeaderAsPlanned();
  void StartControl(std::size_t index);
  /// Cuts a control process off from its peers; `from_servers` also from servers and routers.
  void CutOff(std::size_t index, bool from_servers);
  void Reconnect(std::size_t index);
  void PauseControl(std::size_t index) { paused_.insert(index); }
  void ResumeControl(std::size_t index) { paused_.erase(index); }
  void KillServer(const std::string& name);
  void StartServer(const std::string& name);
  void FreezeServer(const std::string& name) { servers_.at(name).frozen = true; }
  void WakeServer(const std::string& name);
  /// Delivers every lease message sent so far to its server once more.
  void ReplayLeaseMessages();

  // Asking.
  std::optional<std::size_t> Leader() const;
  control::ControlNode& node(std::size_t index) { return *controls_[index].node; }
  control::ControlNode& LeaderNode() { return *controls_[*Leader()].node; }
  Server& server(const std::string& name) { return servers_.at(name); }
  /// Whether the server may begin a request for the shard at some epoch now.
  bool Owns(const std::string& name, std::uint32_t shard) const;
  std::vector<std::string> OwnersOf(std::uint32_t shard) const;
  bool AllOwned() const;
  std::size_t OwnedBy(const std::string& name) const;
  /// The server's own clock.
  Instant Clock(const std::string& name) const { return ServerNow(servers_.at(name)); }
  bool Runs(std::size_t index) const { return controls_[index].node != nullptr; }
  const Disk& disk(std::size_t index) const { return controls_[index].disk; }
  /// Sends a request to a control process without waiting for its answer.
  void Submit(std::size_t index, const control::OperatorRequest& request);
  /// The answer to the request that was submitted last; null while there is none.
  const control::OperatorAnswer* LastAnswer() const {
    const auto found = answers_.find(last_request_);
    return found == answers_.end() ? nullptr : &found->second;
  }
  /// Sends a request to the leader and runs until it is answered.
  control::OperatorAnswer Ask(const control::OperatorRequest& request);
  /// Sends a request to one control process and runs until it is answered.
  control::OperatorAnswer AskAt(std::size_t index, const control::OperatorRequest& request);
  /// Sends a message to one control process as a router; answers are in router_inbox().
  void SendAsRouter(std::size_t index, std::uint64_t connection,
                    const control::RouterToControl& message);
  std::vector<control::ControlToRouter>& router_inbox(std::uint64_t connection) {
    return router_inbox_[connection];
  }
  /// Called with each order to an instance that owns keys; the test answers it or does not.
  std::function<void(std::size_t, const control::RangeOrder&)> on_range_order;
  /// Tells a control process what came of an order.
  void GiveRangeResult(std::size_t index, const control::RangeOrderResult& result);
  /// The most owners that any shard had at one instant so far.
  std::size_t most_owners_seen() const { return most_owners_; }
  std::uint64_t leases_lost() const { return leases_lost_; }
  /// A digest of every event so far.
  std::uint64_t trace_hash() const { return trace_hash_; }

 private:
  struct Event {
    std::function<void()> run;
  };

  void At(Instant when, std::function<void()> run);
  Duration Delay();
  bool Step(Instant limit);
  void Call(std::size_t index,
            const std::function<control::ControlEffects(control::ControlNode&)>& call);
  void Carry(std::size_t index, control::ControlEffects effects);
  void CarryLease(std::size_t index, const control::LeaseSend& send);
  void Deliver(std::size_t index, const lease::LeaseRequest& request);
  void Take(std::size_t index, Server& server, const lease::LeaseRequest& request);
  bool Connected(std::size_t from, std::size_t to) const;
  void TickAll();
  void Observe();
  void Trace(std::uint64_t value);
  Instant ServerNow(const Server& server) const { return now_ + server.clock_offset; }
  std::int64_t WallMs() const { return 1'700'000'000'000 + ToMicros(now_) / 1'000; }

  HarnessOptions options_;
  std::mt19937_64 random_;
  Instant now_ = InstantFromMicros(1'000'000);
  std::multimap<Instant, Event> events_;
  std::vector<ControlProcess> controls_;
  std::map<std::string, Server> servers_;
  std::set<std::string> hidden_;
  std::set<std::string> leaving_;
  std::set<std::size_t> cut_peers_;
  std::set<std::size_t> cut_servers_;
  std::set<std::size_t> paused_;
  std::vector<std::pair<std::size_t, lease::LeaseRequest>> lease_history_;
  std::map<std::uint64_t, std::vector<control::ControlToRouter>> router_inbox_;
  std::map<control::RequestId, control::OperatorAnswer> answers_;
  control::RequestId last_request_ = 0;
  Instant platform_due_{};
  std::size_t most_owners_ = 0;
  std::map<std::string, bool> was_leased_;
  std::uint64_t leases_lost_ = 0;
  std::uint64_t trace_hash_ = 1469598103934665603ULL;
};

}  // namespace graniteseam::test
