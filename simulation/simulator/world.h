/// @file
/// What all parts of one run share: virtual time, randomness, the network, the oracle, and counts
/// of what was injected and done.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "simulation/simulator/event_queue.h"
#include "simulation/simulator/oracle.h"
#include "simulation/simulator/random.h"

namespace graniteseam::simulation {

/// Names one process at the network; its number is its place in the fleet.
enum class NodeKind { kControl, kRouter, kServer, kCaller, kOperator, kPlatform };

struct NodeName {
  NodeKind kind = NodeKind::kControl;
  std::uint32_t number = 0;
  auto operator<=>(const NodeName&) const = default;
};

std::string ToString(const NodeName& node);

/// How the network behaves at present.
struct NetworkMood {
  Duration delay_minimum{200};
  Duration delay_maximum{1'500};
  double loss = 0.0;
  double duplication = 0.0;
  double late = 0.0;  ///< Probability of a delay up to `late_maximum`.
  Duration late_maximum{3'000'000};
};

/// The network, virtual time and records of one run. Not thread safe: one run, one thread.
class World {
 public:
  World(std::uint64_t seed, bool trace) : random(seed), trace_(trace) {}

  /// Carries something from one process to another, or loses it. It may come twice or late, and
  /// after what was sent later.
  void Send(const NodeName& from, const NodeName& to, const std::function<void()>& deliver);
  /// The same over a connection that carries bytes once: never twice, but perhaps late or lost.
  void SendOnce(const NodeName& from, const NodeName& to, const std::function<void()>& deliver);
  /// Whether bytes pass from one process to another now.
  bool Connected(const NodeName& from, const NodeName& to) const;
  Duration Delay();

  void SetZone(const NodeName& node, std::uint32_t zone) { zones_[node] = zone; }
  std::uint32_t ZoneOf(const NodeName& node) const;
  void CutLink(const NodeName& from, const NodeName& to) { cut_links_.insert({from, to}); }
  void RestoreLink(const NodeName& from, const NodeName& to) { cut_links_.erase({from, to}); }
  void CutNode(const NodeName& node) { cut_nodes_.insert(node); }
  void RestoreNode(const NodeName& node) { cut_nodes_.erase(node); }
  void CutZone(std::uint32_t zone) { cut_zones_.insert(zone); }
  void RestoreZone(std::uint32_t zone) { cut_zones_.erase(zone); }

  /// Counts a fault or an event by name.
  void Count(const std::string& name, std::uint64_t times = 1) { counts_[name] += times; }
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }

  /// Takes a line into the trace: printed when asked for, and hashed always, so that two runs of
  /// one seed can be compared.
  void Trace(const std::string& line);
  std::uint64_t trace_hash() const { return trace_hash_; }

  TrueTime now() const { return queue.now(); }

  EventQueue queue;
  Random random;
  Oracle oracle;
  NetworkMood mood;

 private:
  std::map<NodeName, std::uint32_t> zones_;
  std::set<std::pair<NodeName, NodeName>> cut_links_;
  std::set<NodeName> cut_nodes_;
  std::set<std::uint32_t> cut_zones_;
  std::map<std::string, std::uint64_t> counts_;
  std::uint64_t trace_hash_ = 14695981039346656037ULL;
  bool trace_;
};

}  // namespace graniteseam::simulation
