// Requests that a gateway which is partitioned from the servers forwards to other gateways.
#include <algorithm>
#include <string>
#include <utility>

#include "graniteseam/common/duration_text.h"
#include "src/gateway/gateway_node.h"
#include "src/gateway/hold_limits.h"
#include "src/gateway/retry_rules.h"

namespace graniteseam::gateway {
namespace {

/// Peers that one request is forwarded to, one after the other, while none of them takes it.
constexpr std::size_t kPeersMaximum = 5;

}  // namespace

bool GatewayNode::KnowsPeers() const {
  const std::size_t self = coordinators_.peers().contains(options_.id) ? 1 : 0;
  return coordinators_.size() > self;
}

void GatewayNode::CheckReachability(Instant now) {
  if (!reachability_.needs_round(now)) return;
  BackendTable::Backends servers;
  // Without another gateway, there is nothing to gain from knowing.
  if (KnowsPeers()) {
    servers = traffic_.backends().DrawForTrial(ServerReachability::kServersPerRound);
  }
  if (servers.size() < ServerReachability::kServersMinimum) servers.clear();
  const std::uint32_t round = reachability_.begin_round(servers.size(), now);
  for (const Backend* const server : servers) {
    const traffic::InstanceReport& instance = server->instance.report;
    effects_.actions.emplace_back(TryConnection{round, instance.id, instance.address});
  }
}

GatewayEffects GatewayNode::OnConnectionTried(const ConnectionTrial& trial, Instant now) {
  if (!reachability_.note_trial(trial.round, trial.reached, now, trial.cause)) return Finish(now);
  const bool partitioned = reachability_.is_partitioned();
  Note({}, partitioned ? "partitioned" : "partition_healed", trial.instance,
       "peers " + std::to_string(coordinators_.size()) + DescribeDelay());
  // What failed meanwhile tells nothing of the servers.
  traffic_.backends().ForgetUnreached();
  if (partitioned) AbandonHanging(now);
  ServeAllWaiting(now);
  return Finish(now);
}

void GatewayNode::AbandonHanging(Instant now) {
  for (const RequestNumber number : requests_.numbers()) {
    LiveRequest& request = requests_.at(number);
    if (!request.record.open() || request.peer || !reachability_.hangs(number, now)) continue;
    if (RetryBlockReason(request, AttemptEnd::kLost, now)) continue;
    const OpenAttempt abandoned = request.record.abandon();
    Note(number, "abandon", abandoned.instance, "partitioned");
    traffic_.backends().OnAbandoned(abandoned.instance);
    reachability_.note_abandoned(number);
    effects_.actions.emplace_back(AbandonAttempt{number, abandoned.number});
    EndSlot(request, {.outcome = coordination::SlotOutcome::kLost});
    requests_.enqueue(request);
    request.hold_from = now;
    Wait(request, RefusalReason::kNoServer, short_hold(request), now);
  }
}

bool GatewayNode::Forward(LiveRequest& request, Instant now) {
  const bool partitioned = reachability_.is_partitioned();
  if (request.arrived.hop || !(partitioned || IsBehindPeers())) return false;
  if (request.attempts >= request.attempts_maximum) return false;
  if (request.peers_tried.size() >= kPeersMaximum) return false;
  const traffic::GatewayPeer* const peer =
      peers_.choose(coordinators_.peers(), request.peers_tried, now);
  if (peer == nullptr) return false;
  if (!partitioned && !take(forward_share_)) return false;
  ForwardTo(request, *peer, now);
  return true;
}

void GatewayNode::ForwardTo(LiveRequest& request, const traffic::GatewayPeer& peer, Instant now) {
  requests_.dequeue(request);
  limit_queue_.remove(request.arrived.number);
  WithdrawSlot(request);
  request.probes.asked.clear();
  request.probes.open = 0;
  // The peer counts and charges it.
  if (const Instant counted = std::exchange(request.counted_at, {}); counted != Instant{}) {
    BudgetOf(request.service).WithdrawRequest(counted);
  }
  if (std::exchange(request.charged_to_quota, false)) quotas_.give_back(request.tenant);
  ForwardRequest forward;
  forward.request = request.arrived.number;
  forward.attempt = request.record.begin({}, now);
  forward.address = peer.caller_address;
  forward.time_left = request.give_up - now;
  forward.hop.configuration = std::max(configuration(), peers_configuration_);
  forward.hop.attempts = request.attempts_maximum - request.attempts;
  Note(request.arrived.number, "forward", {},
       "to " + peer.id.value + ", attempts " + std::to_string(forward.hop.attempts) +
           ", configuration " + std::to_string(forward.hop.configuration.value) + ", after " +
           InMs(now - request.received) + DescribeDelay());
  request.peer = peer.id;
  request.peers_tried.insert(peer.id);
  peers_.note_sent(peer.id);
  effects_.actions.emplace_back(std::move(forward));
  requests_.set_timer(request, request.give_up);
}

void GatewayNode::HandleForwardEnd(LiveRequest& request, const AttemptReport& report, Instant now) {
  const RouterId peer = *std::exchange(request.peer, std::nullopt);
  const bool not_run = report.hop.declined || promises_not_run(report);
  const Instant sent_at =
      request.record.end(not_run ? AttemptEnd::kNotExecuted : report.end).sent_at;
  peers_.note_end(peer);
  if (report.end != AttemptEnd::kNotSent && !report.hop.declined) SpendRetry(request, now);
  if (report.hop.server) NoteBackPressure(*report.hop.server, report, now);
  peers_configuration_ = std::max(peers_configuration_, report.hop.configuration);
  if (report.end == AttemptEnd::kAnswered && !report.hop.declined) {
    // The peer's promise that it did not run the request says nothing of attempts from here.
    const bool holds = may_be_relayed(report) || request.record.not_run();
    return holds ? Relay(request) : End(request, RefusalReason::kOutcomeUnknown, now);
  }
  Note(request.arrived.number, "forward_failed", {},
       peer.value + ", end " + std::string(EndName(report.end)) + ", status " +
           std::to_string(report.status) + ", after " + InMs(now - sent_at) +
           DescribeCause(report));
  if (report.end == AttemptEnd::kLost || report.end == AttemptEnd::kUnusable) {
    return End(request, RefusalReason::kOutcomeUnknown, now);
  }
  // The next peer would not be reached either by a gateway that is late itself.
  const bool by_peer = reachability_.proves_failure(report.cause, sent_at);
  if (by_peer) peers_.avoid(peer, now);
  if (now >= request.give_up) return GiveUp(request, now);
  if (by_peer && Forward(request, now)) return;
  End(request, RefusalReason::kPartitioned, now);
}

}  // namespace graniteseam::gateway
