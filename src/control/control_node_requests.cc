/// @file
/// ControlNode's handling of router and operator requests.

#include <chrono>
#include <type_traits>
#include <utility>

#include "src/control/control_node_impl.h"
#include "src/control/map_update.h"

namespace graniteseam::control {
namespace {

/// A process that has known no leader for longer than this acknowledges no heartbeats: it may be
/// partitioned from its group, since a group that lost its leader elects the next one sooner.
constexpr Duration kLeaderLostAfter{1'500'000};

}  // namespace

void ControlNode::Impl::TakeRequest(RequestId request, const OperatorRequest& command,
                                    Instant now) {
  const auto* heartbeat = std::get_if<ReportInstance>(&command);
  if (!Leading(now) || !leadership_) {
    const bool relayed = heartbeat != nullptr && RelayHeartbeat(request, *heartbeat, now);
    if (!relayed) Reply(request, NotLeaderError());
  } else if (heartbeat != nullptr) {
    OnHeartbeat(request, *heartbeat, now);
  } else {
    RunStep(request, Plan(command, now), now);
  }
}

void ControlNode::Impl::TakePoll(ConnectionId connection, const TrafficPoll& poll, Instant now) {
  if (AwaitsLease(now) && !deferred_.full()) {
    deferred_.Add(DeferredPoll{connection, poll});
  } else {
    OnTrafficPoll(connection, poll, now);
  }
}

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
    NotLeaderAnswer answer{poll.sequence, LeaderAddress()};
    if (FollowsLeader()) {
      answer.version = state_.traffic().version();
      answer.configuration = state_.traffic().configuration().current().version;
    }
    SendToRouter(connection, std::move(answer));
    return;
  }
  const std::string feed = FeedFor(poll, now);
  for (RouterSend& send : leadership_->traffic.TakePoll(connection, poll, now, feed)) {
    effects_.router_sends.push_back(std::move(send));
  }
}

void ControlNode::Impl::OnTokenRequest(ConnectionId connection, const TokenRequest& request,
                                       Instant now) {
  // Requires the leader lease: otherwise the tokens of two leaders would add up.
  if (!Leading(now) || !leadership_) {
    SendNotLeader(connection, request.sequence);
    return;
  }
  SendToRouter(connection, leadership_->traffic.TakeTokens(request, now));
}

void ControlNode::Impl::OnFeedRequest(ConnectionId connection, const FeedRequest& request) {
  if (request.ends) return feed_.Disconnect(connection);
  StateFeed::Message state = feed_.Subscribe(connection, request.version);
  if (state) effects_.router_sends.push_back({connection, std::move(state)});
}

std::string ControlNode::Impl::FeedFor(const TrafficPoll& poll, Instant now) {
  if (feed_selector_.IsDue(now)) {
    const std::vector<consensus::PeerStatus> peers = consensus_.peers(now);
    feed_selector_.Take(consensus_.self(), peers, now);
    leadership_->traffic.sessions().SetMembers(consensus_.membership(), peers);
  }
  return feed_selector_.SelectFeed(poll.router, poll.zone, poll.feeds_tried);
}

bool ControlNode::Impl::FollowsLeader() const {
  return consensus_.role() != consensus::Role::kLeader && consensus_.leader();
}

bool ControlNode::Impl::RelayHeartbeat(RequestId request, const ReportInstance& heartbeat,
                                       Instant now) {
  if (stopping_ || consensus_.role() == consensus::Role::kLeader) return false;
  const bool leader_known_recently = FollowsLeader() || now - leader_known_at_ < kLeaderLostAfter;
  using Disposition = HeartbeatRelayer::Disposition;
  const Disposition disposition = relayer_.Take(request, heartbeat, leader_known_recently, now);
  if (disposition == Disposition::kAcknowledged) Reply(request, Accepted{state_.applied()});
  return disposition != Disposition::kRefused;
}

void ControlNode::Impl::ProcessRelay(Instant now) {
  if (FollowsLeader()) {
    const auto done = relayer_.TakeCompleted(now);
    for (const RequestId request : done.acknowledged) Reply(request, Accepted{state_.applied()});
    for (const RequestId request : done.refused) Reply(request, NotLeaderError());
  }
  for (const RequestId request : relayer_.TakeExpired(now)) Reply(request, NotLeaderError());
  if (leadership_ && Leading(now)) {
    for (const auto& waiting : relayer_.TakeAll()) {
      OnHeartbeat(waiting.request, waiting.heartbeat, now);
    }
    return;
  }
  if (!FollowsLeader()) return;
  if (auto relay = relayer_.Flush(now)) {
    effects_.peer_messages.push_back({consensus_.self(), *consensus_.leader(), *std::move(relay)});
  }
}

void ControlNode::Impl::TakeRelay(const consensus::PeerMessage& message, Instant now) {
  if (!leadership_ || !message.to.IsSameMemberAs(consensus_.self())) return;
  const auto& relay = std::get<consensus::HeartbeatRelay>(message.payload);
  for (const std::string& id : relay.instances) {
    leadership_->traffic.liveness().RecordHeartbeat({id}, now);
  }
  if (!relay.changes.empty()) TakeRelayedChanges(relay.changes, now);
}

/// Changes that can't be proposed now are resent by the member that relayed them.
void ControlNode::Impl::TakeRelayedChanges(const std::string& changes, Instant now) {
  const auto decoded = Attempt([&] { return DecodeCommand(changes); });
  const auto* body = std::get_if<CommandBody>(&decoded);
  const auto* command = body == nullptr ? nullptr : std::get_if<ReportInstancesCommand>(body);
  if (command == nullptr) {
    effects_.faults.push_back({ErrorKind::kMalformedMessage,
                               "Heartbeat changes relayed by a group member could not be decoded.",
                               "Run the same release on all members."});
    return;
  }
  ReportInstancesCommand fresh;
  for (const traffic::InstanceReport& report : command->reports) {
    leadership_->traffic.liveness().RecordHeartbeat(report.id, now);
    if (state_.traffic().instances().WouldChange(report)) fresh.reports.push_back(report);
  }
  if (!fresh.reports.empty()) Propose({fresh}, now);
}

void ControlNode::Impl::OnHeartbeat(RequestId request, const ReportInstance& heartbeat,
                                    Instant now) {
  leadership_->traffic.liveness().RecordHeartbeat(heartbeat.report.id, now);
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
  // Invariant: leases are granted only under the leader lease. A later leader accounts for the
  // leases that this one may have granted, starting with its own election.
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
          const traffic::ConfigurationStore& store = state_.traffic().configuration();
          const traffic::Tenancy& tenancy = store.tenancy();
          return OperatorAnswer(
              ConfigurationView{store.current(), tenancy.keys_required, tenancy.tenants});
        } else if constexpr (std::is_same_v<Request, ChangeConfiguration>) {
          return PlanChange(request.change);
        } else if constexpr (std::is_same_v<Request, ReportInstance>) {
          return CommandBody(ReportInstancesCommand{{request.report}});
        } else if constexpr (std::is_same_v<Request, DeregisterInstance>) {
          return CommandBody(DeregisterInstanceCommand{request.instance});
        } else if constexpr (std::is_same_v<Request, DrainZone>) {
          return CommandBody(DrainZoneCommand{request.zone, request.drained});
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
    if (consensus_.uncommitted_bytes() > options_.uncommitted_bytes_maximum) {
      Reply(request, BacklogError());
      return;
    }
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
  HandleConsensusEffects(std::move(effects), now);
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
  if (!leader || leader->IsSameMemberAs(consensus_.self())) return "";
  return leader->address;
}

Error ControlNode::Impl::BacklogError() const {
  return {ErrorKind::kUnavailable,
          std::to_string(consensus_.uncommitted_bytes()) +
              " bytes of changes wait for a quorum of control processes; more are taken below " +
              std::to_string(options_.uncommitted_bytes_maximum) + ".",
          "Send the same request again in a second; it was not run."};
}

OperatorStep ControlNode::Impl::PlanChange(const traffic::ConfigurationChange& change) const {
  const traffic::ConfigurationStore& store = state_.traffic().configuration();
  const std::size_t bytes = store.BytesAfter(change);
  // A change that frees memory is taken also above the limit, which may have been lowered.
  if (bytes > options_.configuration_bytes_maximum && bytes > store.Bytes()) {
    return OperatorAnswer(
        Error{ErrorKind::kTooLarge,
              "The configuration would take " + std::to_string(bytes) +
                  " bytes; the limit of memory_mb on this control process is " +
                  std::to_string(options_.configuration_bytes_maximum) + " bytes.",
              "Remove routes, services or tenants, or give all control processes more memory and "
              "raise memory_mb in their settings."});
  }
  return CommandBody(ChangeConfigurationCommand{change});
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
  view.drained_zones = state_.traffic().ZoneDrains().zones;
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
