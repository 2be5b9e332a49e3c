/// @file
/// ControlNode's answers to routers and operators.

#include <chrono>
#include <type_traits>
#include <utility>

#include "src/control/control_node_impl.h"
#include "src/control/map_update.h"

namespace graniteseam::control {
namespace {

/// For how long a follower gathers heartbeats for its leader: short beside the silence after which
/// an instance gets nothing new.
constexpr Duration kRelayInterval{400'000};

}  // namespace

void ControlNode::Impl::OnRenewal(ConnectionId connection, const RouterRenewal& renewal,
                                  Instant now) {
  if (!Leading(now) || !leadership_) {
    SendNotLeader(connection, renewal.sequence);
    return;
  }
  leadership_->ownership.TakeLoad(renewal.shard_load, now);
  SendToRouter(connection, leadership_->routers.Renew(connection, renewal, now));
}

void ControlNode::Impl::OnJournal(ConnectionId connection, const JournalRequest& request,
                                  Instant now, std::int64_t wall_ms) {
  if (!Leading(now)) {
    SendNotLeader(connection, request.sequence);
    return;
  }
  if (request.claims.empty() && request.completions.empty()) {
    SendToRouter(connection, JournalAnswer{request.sequence, {}});
    return;
  }
  const auto index = Propose({JournalCommand{wall_ms, request.claims, request.completions}}, now);
  if (index) {
    pending_.Add(*index, consensus_.term(), WaitingRouter{connection, request.sequence});
  } else {
    SendNotLeader(connection, request.sequence);
  }
}

void ControlNode::Impl::OnTrafficPoll(ConnectionId connection, const TrafficPoll& poll,
                                      Instant now) {
  if (!Leading(now) || !leadership_) {
    SendNotLeader(connection, poll.sequence);
    return;
  }
  for (RouterSend& send : leadership_->traffic.TakePoll(connection, poll, now)) {
    effects_.router_sends.push_back(std::move(send));
  }
}

bool ControlNode::Impl::RelayHeartbeat(RequestId request, const ReportInstance& heartbeat,
                                       Instant now) {
  const bool follows = consensus_.role() == consensus::Role::kFollower && consensus_.leader();
  if (!follows || stopping_) return false;
  // What changes something must be committed before it is acknowledged.
  if (state_.traffic().instances().WouldChange(heartbeat.report)) return false;
  // Only the leader may renew the leases of instances that get their keys by heartbeat.
  if (state_.traffic().LeasedByHeartbeat(heartbeat.report.service)) return false;
  if (relayed_.empty()) relay_due_ = now + kRelayInterval;
  relayed_.insert(heartbeat.report.id.value);
  Reply(request, Accepted{state_.applied()});
  return true;
}

void ControlNode::Impl::FlushRelay(Instant now) {
  if (now < relay_due_) return;
  relay_due_ = Instant::max();
  const std::set<std::string> heard = std::exchange(relayed_, {});
  // Without a leader there is nobody to tell; the instances send their heartbeats again.
  const auto leader = consensus_.leader();
  if (!leader || consensus_.role() == consensus::Role::kLeader) return;
  consensus::HeartbeatRelay relay{{heard.begin(), heard.end()}};
  effects_.peer_messages.push_back({consensus_.self(), *leader, std::move(relay)});
}

void ControlNode::Impl::TakeRelay(const consensus::PeerMessage& message, Instant now) {
  if (!leadership_ || !message.to.SameVoteAs(consensus_.self())) return;
  for (const std::string& id : std::get<consensus::HeartbeatRelay>(message.payload).instances) {
    leadership_->traffic.liveness().Heard({id}, now);
  }
}

void ControlNode::Impl::OnHeartbeat(RequestId request, const ReportInstance& heartbeat,
                                    Instant now) {
  leadership_->traffic.liveness().Heard(heartbeat.report.id, now);
  if (!state_.traffic().instances().WouldChange(heartbeat.report)) {
    ReplyToHeartbeat(request, heartbeat, state_.applied(), now);
    return;
  }
  const auto index = Propose({ReportInstancesCommand{{heartbeat.report}}}, now);
  if (index) {
    pending_.Add(*index, consensus_.term(), WaitingOperator{request, heartbeat});
  } else {
    Reply(request, NotLeaderError());
  }
}

void ControlNode::Impl::ReplyToHeartbeat(RequestId request, const ReportInstance& heartbeat,
                                         LogIndex index, Instant now) {
  // Invariant: leases are given under the leader lease only. A later leader counts what this one
  // may have given from its own election on.
  std::optional<KeyLeases> leases;
  if (Leading(now) && leadership_) {
    leases = leadership_->traffic.ranges().TakeHeartbeat(heartbeat, now);
  }
  if (leases) {
    Reply(request, *std::move(leases));
  } else {
    Reply(request, Accepted{index});
  }
}

OperatorStep ControlNode::Impl::Plan(const OperatorRequest& command, Instant now) const {
  return std::visit(
      [&](const auto& request) -> OperatorStep {
        using Request = std::decay_t<decltype(request)>;
        if constexpr (std::is_same_v<Request, ReadBundles>) {
          return OperatorAnswer(Bundles(now));
        } else if constexpr (std::is_same_v<Request, ReadFleet>) {
          return OperatorAnswer(Fleet(now));
        } else if constexpr (std::is_same_v<Request, ReadConfiguration>) {
          return OperatorAnswer(ConfigurationView{state_.traffic().configuration().current()});
        } else if constexpr (std::is_same_v<Request, ChangeConfiguration>) {
          return CommandBody(ChangeConfigurationCommand{request.change});
        } else if constexpr (std::is_same_v<Request, ReportInstance>) {
          return CommandBody(ReportInstancesCommand{{request.report}});
        } else if constexpr (std::is_same_v<Request, DeregisterInstance>) {
          return CommandBody(DeregisterInstanceCommand{request.instance});
        } else if constexpr (std::is_same_v<Request, SignBundle>) {
          return PlanRequest(request, options_.reviewer_keys);
        } else if constexpr (std::is_same_v<Request, RollBundle>) {
          return PlanRequest(request);
        } else if constexpr (std::is_same_v<Request, ChangeMembership>) {
          return PlanRequest(request, state_, consensus_.membership());
        } else {
          return PlanRequest(request, state_);
        }
      },
      command);
}

void ControlNode::Impl::RunStep(RequestId request, OperatorStep step, Instant now) {
  if (auto* answer = std::get_if<OperatorAnswer>(&step)) {
    Reply(request, std::move(*answer));
    return;
  }
  if (const auto* command = std::get_if<CommandBody>(&step)) {
    const auto index = Propose({*command}, now);
    if (index) {
      pending_.Add(*index, consensus_.term(), WaitingOperator{request, {}});
    } else {
      Reply(request, NotLeaderError());
    }
    return;
  }
  consensus::Effects effects;
  const auto proposed = Attempt([&] {
    return consensus_.ProposeMembership(std::get<consensus::Membership>(step), now, effects);
  });
  Absorb(std::move(effects), now);
  if (const Error* error = ErrorOf(proposed)) {
    Reply(request, *error);
  } else {
    pending_.Add(std::get<LogIndex>(proposed), consensus_.term(), WaitingOperator{request, {}});
  }
}

void ControlNode::Impl::Reply(RequestId request, OperatorAnswer answer) {
  effects_.operator_replies.push_back({request, std::move(answer)});
}

void ControlNode::Impl::SendToRouter(ConnectionId connection, ControlToRouter message) {
  effects_.router_sends.push_back(
      {connection, std::make_shared<const ControlToRouter>(std::move(message))});
}

void ControlNode::Impl::SendNotLeader(ConnectionId connection, std::uint64_t sequence) {
  SendToRouter(connection, NotLeaderAnswer{sequence, LeaderAddress()});
}

std::string ControlNode::Impl::LeaderAddress() const {
  const auto leader = consensus_.leader();
  if (!leader || leader->SameVoteAs(consensus_.self())) return "";
  return leader->address;
}

Error ControlNode::Impl::NotLeaderError() const {
  const std::string address = LeaderAddress();
  return {ErrorKind::kNotLeader,
          address.empty() ? "This control process does not lead, and no leader is known."
                          : "This control process does not lead; " + address + " does.",
          "Send the request to the leader."};
}

// --- Views ---

BundlesView ControlNode::Impl::Bundles(Instant now) const {
  BundlesView view;
  view.in_force = state_.bundles().in_force_version();
  view.bundles = state_.bundles().Records();
  const auto& self = consensus_.self();
  view.processes.push_back({std::to_string(self.id.value), "control", view.in_force, 0});
  if (leadership_) {
    for (auto& version : leadership_->routers.Versions(now)) {
      view.processes.push_back(std::move(version));
    }
  }
  return view;
}

FleetView ControlNode::Impl::Fleet(Instant now) const {
  FleetView view;
  view.leader = consensus_.leader();
  view.membership = consensus_.membership();
  view.term = consensus_.term();
  view.commit_index = consensus_.commit_index();
  view.bundle_version = state_.bundles().in_force_version();
  view.shard_moves = state_.shards().moves();
  if (leadership_) view.routers = leadership_->routers.Versions(now);
  for (const auto& [id, record] : state_.servers().servers()) {
    ServerView& server = view.servers.emplace_back();
    server.entry = ToEntry(record);
    server.draining = record.draining;
    server.shards = static_cast<std::uint32_t>(state_.shards().OwnedCount(id));
    if (!leadership_) continue;
    const auto& leases = leadership_->ownership.leases();
    const auto remaining = leases.Remaining(id, now);
    server.leased = remaining > Duration::zero();
    server.lease_remaining_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    server.entry.load_hint = leases.LoadHint(id);
  }
  return view;
}

}  // namespace graniteseam::control
