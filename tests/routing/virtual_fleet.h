/// @file
/// Routers, servers and a control group in virtual time, for tests of conduct under load.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "graniteseam/admission/allotter.h"
#include "graniteseam/routing/router_node.h"

namespace graniteseam::test {

/// A server with slots and a short queue; beyond it, it sheds.
struct VirtualServer {
  std::string id;
  int slots = 2;
  int queue_maximum = 4;
  Duration work{10'000};
  double load_hint = 0.0;
  bool shedding = false;  ///< Sheds everything.
  bool failing = false;   ///< Answers 500 at once.
  bool frozen = false;    ///< Answers nothing.
  int busy = 0;
  std::vector<routing::AttemptSend> waiting;
  std::vector<std::size_t> waiting_routers;
  std::uint64_t offered = 0;
  std::uint64_t served = 0;
};

/// What came of the requests of one group.
struct GroupTally {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::vector<Duration> latencies;  ///< Of the answered ones.

  Duration Percentile(double part) const;
};

/// Drives RouterNodes against servers and an Allotter. Deterministic.
class VirtualFleet {
 public:
  VirtualFleet(bundle::Bundle bundle, std::size_t routers, std::vector<VirtualServer> servers);

  /// Sends requests of a group to all routers in turn, at even intervals.
  void Load(const GroupName& group, double per_second, Duration length);
  void At(Duration after, std::function<void()> action);
  void Run(Duration length);
  void ClearTallies() { tallies_.clear(); }

  VirtualServer& server(std::size_t index) { return servers_[index]; }
  GroupTally& tally(const std::string& group) { return tallies_[group]; }
  routing::RouterNode& router(std::size_t index) { return *routers_[index].node; }
  Instant now() const { return now_; }
  std::uint64_t Offered() const;
  std::uint64_t Served() const;

 private:
  struct Router {
    std::unique_ptr<routing::RouterNode> node;
    Instant next_tick{};
  };
  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Waiting {
    GroupName group;
    Instant sent_at;
  };

  void Apply(std::size_t router, const routing::RouterEffects& effects);
  void Control(std::size_t router, const control::RouterToControl& message);
  void Arrive(std::size_t router, const routing::AttemptSend& send);
  void StartWork(std::size_t server, std::size_t router, const routing::AttemptSend& send);
  void End(std::size_t router, const routing::AttemptSend& send, routing::AttemptEnd end,
           int status);
  void Request(std::size_t router, const GroupName& group);
  std::size_t IndexOf(const ServerId& server) const;

  bundle::Bundle bundle_;
  admission::Allotter allotter_;
  std::vector<Router> routers_;
  std::vector<VirtualServer> servers_;
  std::map<std::string, GroupTally> tallies_;
  std::map<routing::RequestNumber, Waiting> waiting_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  Instant now_ = InstantFromMicros(1'000'000);
  std::uint64_t order_ = 0;
  routing::RequestNumber last_request_ = 0;
};

}  // namespace graniteseam::test
