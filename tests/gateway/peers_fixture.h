/// @file
/// A gateway that knows of two others, and what makes it forward requests to them.
#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/gateway/gateway_fixture.h"

namespace graniteseam::gateway::test {

inline std::vector<TryConnection> TrialsOf(const GatewayEffects& effects) {
  std::vector<TryConnection> trials;
  for (const GatewayEffect& effect : effects.actions) {
    if (const auto* trial = std::get_if<TryConnection>(&effect)) trials.push_back(*trial);
  }
  return trials;
}

inline traffic::GatewayPeer Peer(const std::string& id) {
  return {{id}, id + ":7001", {"z"}, 1, id + ":80"};
}

/// A gateway that knows of two others.
struct PeersFixture : Fixture {
  explicit PeersFixture(std::vector<traffic::GatewayPeer> peers = {Peer("g-2"), Peer("g-3")}) {
    traffic::TrafficUpdate update;
    update.peers.version = {1, 1};
    update.peers.changed = std::move(peers);
    node.OnUpdate(update, At(0));
  }

  /// Two servers that can't be connected to.
  std::vector<TryConnection> FailConnections(std::int64_t ms) {
    std::set<traffic::InstanceId> failed;
    GatewayEffects effects = Request("/safe/x", ms);
    std::vector<TryConnection> trials;
    while (failed.size() < 2) {
      const auto send = Only<SendAttempt>(effects);
      failed.insert(send.instance);
      effects = End(send, AttemptEnd::kNotSent, 0, ms);
      trials = TrialsOf(effects);
    }
    return trials;
  }

  GatewayEffects EndTrials(const std::vector<TryConnection>& trials, bool reached, std::int64_t ms,
                           FailureCause cause = FailureCause::kConnection) {
    GatewayEffects effects;
    for (const TryConnection& trial : trials) {
      effects = node.OnConnectionTried({trial.round, trial.instance, reached, cause}, At(ms));
    }
    return effects;
  }

  /// Until 600 ms.
  void Partition() {
    const auto trials = FailConnections(100);
    cr_assert_eq(trials.size(), 4);
    EndTrials(trials, false, 400);
    cr_assert(node.is_partitioned());
  }

  GatewayEffects EndForward(const ForwardRequest& forward, AttemptEnd end, int status,
                            const HopReport& hop, std::int64_t ms) {
    AttemptReport report;
    report.request = forward.request;
    report.attempt = forward.attempt;
    report.end = end;
    report.status = status;
    report.hop = hop;
    return node.OnAttemptEnd(report, At(ms));
  }

  /// What is handled at an instant could have been handled so much earlier.
  void BeLate(std::int64_t delay_ms, std::int64_t ms) {
    const Duration delay = std::chrono::milliseconds(delay_ms);
    node.OnLoopDelay({delay, delay}, At(ms));
  }

  GatewayEffects Fail(const SendAttempt& send, AttemptEnd end, FailureCause cause,
                      std::int64_t ms) {
    AttemptReport report;
    report.request = send.request;
    report.attempt = send.attempt;
    report.end = end;
    report.cause = cause;
    return node.OnAttemptEnd(report, At(ms));
  }

  /// The servers that the next polls report as unreached.
  std::size_t UnreachedInPolls(std::int64_t ms) {
    std::size_t unreached = 0;
    for (int poll = 0; poll < 4; ++poll) {
      for (const auto& speed : node.TakePoll(At(ms)).speeds) unreached += speed.unreached;
    }
    return unreached;
  }

  GatewayEffects HopRequest(const HopLimits& hop, std::int64_t ms) {
    ArrivedRequest request;
    request.number = {++numbers};
    request.host = "a.example";
    request.path = "/safe/x";
    request.time_left = std::chrono::seconds(2);
    request.hop = hop;
    return node.OnRequest(request, At(ms));
  }
};

}  // namespace graniteseam::gateway::test
