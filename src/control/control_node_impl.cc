#include "src/control/control_node_impl.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "graniteseam/codec/codec.h"
#include "graniteseam/common/seeded_defects.h"
#include "src/control/membership_notes.h"
#include "src/control/membership_repair.h"

namespace graniteseam::control {

namespace {

/// Interval at which the expiry of journal entries is proposed.
constexpr Duration kJournalExpiryInterval{10'000'000};
/// Interval of membership repair checks.
constexpr Duration kMembershipCheckInterval{200'000};
/// Time in which a process that stops as planned hands over its leadership and its vote. Shorter
/// than the time that the daemon gives it.
constexpr Duration kHandOverLimit{2'000'000};

OwnershipOptions OwnershipOptionsOf(const ControlOptions& options) {
  OwnershipOptions ownership;
  ownership.leases.clock_drift_bound = options.clock_drift_bound;
  return ownership;
}

}  // namespace

ControlNode::Impl::Leadership::Leadership(const ControlOptions& options,
                                          const ReplicatedState& state, Term in_term,
                                          std::uint64_t numbers_used, OrderNumber orders_used,
                                          std::uint64_t pushes_used, Instant now)
    : term(in_term),
      ownership(OwnershipOptionsOf(options), state, in_term, numbers_used, now),
      routers(options.router_lease, state),
      traffic(options.traffic, state, in_term, orders_used, pushes_used, now) {
  routers.SyncState();
}

ControlNode::Impl::Impl(ControlOptions options, consensus::RecoveredState recovered,
                        std::uint64_t seed, Instant now)
    : options_(std::move(options)),
      consensus_(options_.consensus, std::move(recovered), seed, now),
      feed_(state_.traffic(), {options_.traffic.reports_push_completion, true}) {
  if (const auto snapshot = consensus_.snapshot()) RestoreState(*snapshot);
}

// --- Entry points ---

ControlEffects ControlNode::Impl::Tick(Instant now, std::int64_t wall_ms) {
  HandleConsensusEffects(consensus_.Tick(now), now);
  if (Leading(now) && now >= journal_expiry_due_) {
    journal_expiry_due_ = now + kJournalExpiryInterval;
    if (state_.journal().entry_count() > 0) Propose({ExpireJournalCommand{wall_ms}}, now);
  }
  return Finish(now);
}

Instant ControlNode::Impl::NextTick() const {
  Instant next = std::min(consensus_.NextTick(), relayer_.NextDue(FollowsLeader()));
  next = std::min(next, feed_.NextDue());
  if (!leadership_ || stopping_) return next;
  Instant due = std::min(leadership_->ownership.NextDue(), journal_expiry_due_);
  due = std::min(due, leadership_->traffic.NextDue());
  // Without the leader lease these duties can't run, and only a peer's message renews it. Waking up
  // for them earlier would be a busy loop.
  const Instant at = std::max(due, last_entry_at_);
  return at < consensus_.leader_lease_end() ? std::min(next, due) : next;
}

ControlEffects ControlNode::Impl::OnPeerMessage(const consensus::PeerMessage& message,
                                                Instant now) {
  if (std::holds_alternative<consensus::HeartbeatRelay>(message.payload)) {
    TakeRelay(message, now);
  } else {
    if (std::holds_alternative<consensus::LeavingNotice>(message.payload) ||
        std::holds_alternative<consensus::Announcement>(message.payload)) {
      membership_check_due_ = {};
    }
    HandleConsensusEffects(consensus_.Step(message, now), now);
  }
  return Finish(now);
}

ControlEffects ControlNode::Impl::OnPersistDone(std::uint64_t sequence, Instant now) {
  HandleConsensusEffects(consensus_.PersistDone(sequence, now), now);
  return Finish(now);
}

ControlEffects ControlNode::Impl::OnServerAnswer(const lease::LeaseAnswer& answer, Instant now) {
  UpdateRole(now);
  // An answer that arrives after the leader lease ended may be newer than the next leader's
  // election, so it must not be used.
  if (Leading(now) && leadership_) leadership_->ownership.TakeAnswer(answer, now);
  return Finish(now);
}

ControlEffects ControlNode::Impl::OnRouterMessage(ConnectionId connection,
                                                  const RouterToControl& message, Instant now,
                                                  std::int64_t wall_ms) {
  UpdateRole(now);
  if (const auto* renewal = std::get_if<RouterRenewal>(&message)) {
    OnRenewal(connection, *renewal, now);
  } else if (const auto* poll = std::get_if<TrafficPoll>(&message)) {
    TakePoll(connection, *poll, now);
  } else if (const auto* request = std::get_if<FeedRequest>(&message)) {
    OnFeedRequest(connection, *request);
  } else if (const auto* tokens = std::get_if<TokenRequest>(&message)) {
    OnTokenRequest(connection, *tokens, now);
  } else {
    OnJournal(connection, std::get<JournalRequest>(message), now, wall_ms);
  }
  return Finish(now);
}

ControlEffects ControlNode::Impl::OnRouterDisconnected(ConnectionId connection, Instant now) {
  pending_.Drop(connection);
  deferred_.Drop(connection);
  feed_.Disconnect(connection);
  if (leadership_) {
    leadership_->routers.Disconnect(connection);
    leadership_->traffic.sessions().Disconnect(connection);
  }
  return Finish(now);
}

ControlEffects ControlNode::Impl::OnOperatorRequest(RequestId request,
                                                    const OperatorRequest& command, Instant now) {
  UpdateRole(now);
  if (AwaitsLease(now) && !deferred_.full()) {
    deferred_.Add(DeferredOperatorRequest{request, command});
  } else {
    TakeRequest(request, command, now);
  }
  return Finish(now);
}

ControlEffects ControlNode::Impl::OnPlatformList(const PlatformList& list, Instant now) {
  platform_list_ = list;
  UpdateRole(now);
  if (Leading(now) && leadership_) leadership_->ownership.TakePlatformList(list, now);
  return Finish(now);
}

ControlEffects ControlNode::Impl::OnRangeOrderResult(const RangeOrderResult& result, Instant now) {
  UpdateRole(now);
  // Also accepted without the leader lease: the result states what an instance did, and the range
  // would otherwise wait for it forever. Decisions that follow from it still need the lease.
  if (leadership_) leadership_->traffic.ranges().TakeResult(result, now);
  return Finish(now);
}

ControlEffects ControlNode::Impl::OnPushSent(std::uint64_t push, Instant now) {
  UpdateRole(now);
  if (leadership_) leadership_->traffic.sessions().PushSent(push, now);
  return Finish(now);
}

ControlEffects ControlNode::Impl::OnFeedPushSent(std::uint64_t push, Instant now) {
  UpdateRole(now);
  feed_.PushSent(push, now);
  return Finish(now);
}

ControlEffects ControlNode::Impl::PrepareStop(Instant now) {
  if (!stopping_) stop_prepared_at_ = now;
  stopping_ = true;
  HandleConsensusEffects(consensus_.PrepareStop(now), now);
  EndLeadership();
  return Finish(now);
}

bool ControlNode::Impl::ReadyToStop(Instant now) const {
  if (!stopping_) return false;
  if (now >= stop_prepared_at_ + kHandOverLimit) return true;
  const bool has_other_voters = committed_membership_.voters.size() > 1;
  if (consensus_.role() == consensus::Role::kLeader) return !has_other_voters;
  return !MayBeReplaced(now);
}

bool ControlNode::Impl::MayBeReplaced(Instant now) const {
  const bool replaceable = !committed_membership_.learners.empty() ||
                           committed_membership_.voters.size() > options_.membership.voters;
  if (!options_.membership.enabled || !replaceable) return false;
  // Without a leader for longer than an election takes, most voters stop as well.
  const Duration election = 2 * options_.consensus.election_timeout_maximum;
  if (now >= std::max(leader_known_at_, stop_prepared_at_) + election) return false;
  const auto& voters = committed_membership_.voters;
  return std::any_of(voters.begin(), voters.end(), [&](const consensus::Member& voter) {
    return voter.IsSameMemberAs(consensus_.self());
  });
}

// --- Consensus ---

void ControlNode::Impl::HandleConsensusEffects(consensus::Effects effects, Instant now) {
  for (;;) {
    MergePersist(std::move(effects.persist));
    std::move(effects.messages.begin(), effects.messages.end(),
              std::back_inserter(effects_.peer_messages));
    if (effects.restored) RestoreState(*effects.restored);
    for (const auto& entry : effects.committed) ApplyEntry(entry, now);
    if (!effects.more_committed) break;
    effects = consensus_.TakeCommitted();
  }
  UpdateRole(now);
}

void ControlNode::Impl::MergePersist(consensus::PersistRequest persist) {
  if (persist.Empty()) return;
  auto& merged = effects_.persist;
  if (persist.hard_state) merged.hard_state = std::move(persist.hard_state);
  if (persist.snapshot) {
    merged.snapshot = std::move(persist.snapshot);
    std::erase_if(merged.entries, [&](const consensus::LogEntry& entry) {
      return entry.index <= merged.snapshot->last_index;
    });
  }
  if (persist.truncate_from) {
    std::erase_if(merged.entries, [&](const consensus::LogEntry& entry) {
      return entry.index >= *persist.truncate_from;
    });
    merged.truncate_from =
        std::min(merged.truncate_from.value_or(*persist.truncate_from), *persist.truncate_from);
  }
  std::move(persist.entries.begin(), persist.entries.end(), std::back_inserter(merged.entries));
  // Confirming a sequence number confirms all earlier ones.
  merged.sequence = persist.sequence;
}

void ControlNode::Impl::RestoreState(const consensus::Snapshot& snapshot) {
  const auto restored = Attempt([&] { return state_.Restore(snapshot.data); });
  // Storage has verified the snapshot's checksum, so a state that does not decode was written by
  // another program version. Continuing with part of it would violate accepted operations.
  if (ErrorOf(restored) != nullptr) std::abort();
  compacted_index_ = snapshot.last_index;
  bytes_since_snapshot_ = 0;
  committed_membership_ = snapshot.membership;
}

void ControlNode::Impl::NoteMembership(const consensus::LogEntry& entry) {
  if (entry.kind != consensus::EntryKind::kMembership) return;
  const auto decoded = Attempt([&] { return codec::Decode<consensus::Membership>(entry.payload); });
  const auto* const membership = std::get_if<consensus::Membership>(&decoded);
  if (membership == nullptr) return;  // Consensus refuses entries that do not decode.
  MembershipNote note =
      DescribeChange("membership_changed", committed_membership_, *membership, entry.term);
  note.inputs = DescribeMembers(*membership);
  effects_.membership_notes.push_back(std::move(note));
  committed_membership_ = *membership;
  // The next step of a repair only waited for this one.
  membership_check_due_ = {};
}

void ControlNode::Impl::ApplyEntry(const consensus::LogEntry& entry, Instant now) {
  NoteMembership(entry);
  const ApplyOutcome outcome = state_.Apply(entry);
  bytes_since_snapshot_ += entry.payload.size();
  if (leadership_) {
    leadership_->ownership.HandleApplied(outcome, now);
    if (outcome.bundle_rolled || !outcome.registered.empty() || !outcome.lost.empty()) {
      leadership_->routers.SyncState();
    }
    if (outcome.configuration_changed) {
      leadership_->traffic.rollout().RecordCommit(
          state_.traffic().configuration().current().version, entry.index.value, now);
    }
  }
  AnswerWaiter(entry, outcome, now);
}

void ControlNode::Impl::AnswerWaiter(const consensus::LogEntry& entry, const ApplyOutcome& outcome,
                                     Instant now) {
  const auto waiter = pending_.Take(entry.index, entry.term);
  if (!waiter) return;
  if (const auto* router = std::get_if<WaitingRouter>(&*waiter)) {
    SendToRouter(router->connection, JournalAnswer{router->sequence, outcome.claims});
    return;
  }
  const auto& [request, heartbeat] = std::get<WaitingOperator>(*waiter);
  if (outcome.error) {
    Reply(request, *outcome.error);
  } else if (heartbeat) {
    ReplyToHeartbeat(request, *heartbeat, entry.index, now);
  } else if (outcome.configuration_accepted && leadership_) {
    leadership_->traffic.rollout().HoldAcknowledgement(
        request, state_.traffic().configuration().changed_at());
  } else {
    Reply(request, Accepted{entry.index});
  }
}

std::optional<LogIndex> ControlNode::Impl::Propose(const std::vector<CommandBody>& commands,
                                                   Instant now) {
  std::vector<std::string> payloads;
  payloads.reserve(commands.size());
  for (const auto& command : commands) payloads.push_back(EncodeCommand(command));
  consensus::Effects effects;
  const auto proposed =
      Attempt([&] { return consensus_.Propose(std::move(payloads), now, effects); });
  const auto* index = std::get_if<LogIndex>(&proposed);
  HandleConsensusEffects(std::move(effects), now);
  return index == nullptr ? std::nullopt : std::optional(*index);
}

void ControlNode::Impl::CompactIfDue(Instant now) {
  const auto snapshot = consensus_.snapshot();
  const std::size_t bytes_due =
      std::max(options_.compact_after_bytes, snapshot ? snapshot->data.size() : 0);
  const bool due =
      state_.applied().value - compacted_index_.value >= options_.compact_after_entries ||
      bytes_since_snapshot_ >= bytes_due;
  if (!due) return;
  compacted_index_ = state_.applied();
  bytes_since_snapshot_ = 0;
  HandleConsensusEffects(consensus_.Compact(compacted_index_, state_.Save(), now), now);
}

// --- Leadership ---

std::uint64_t ControlNode::Impl::decision_evaluations() const {
  return earlier_evaluations_ + (leadership_ ? leadership_->traffic.ranges().evaluations() : 0);
}

bool ControlNode::Impl::Leading(Instant now) const {
  const bool lease_holds =
      now < consensus_.leader_lease_end() || DefectOn(Defect::kLeaderWithoutLease);
  return !stopping_ && consensus_.role() == consensus::Role::kLeader &&
         consensus_.leadership_established().has_value() && lease_holds;
}

void ControlNode::Impl::UpdateRole(Instant now) {
  if (FollowsLeader()) leader_known_at_ = now;
  const bool leads = consensus_.role() == consensus::Role::kLeader;
  if (leadership_ && (!leads || consensus_.term() != leadership_->term)) EndLeadership();
  if (!leads) {
    EndLeadership();
    return;
  }
  if (leadership_ || !Leading(now)) return;
  if (numbers_term_ != consensus_.term()) {
    numbers_term_ = consensus_.term();
    numbers_used_ = 0;
  }
  leadership_.emplace(options_, state_, numbers_term_, numbers_used_, orders_used_, pushes_used_,
                      now);
  leadership_->ownership.TakePlatformList(platform_list_, now);
}

void ControlNode::Impl::EndLeadership() {
  std::vector<RequestId> held;
  if (leadership_) {
    held = leadership_->traffic.rollout().TakeHeld();
    numbers_used_ = leadership_->ownership.leases().numbers_used();
    orders_used_ = leadership_->traffic.ranges().last_number();
    pushes_used_ = leadership_->traffic.sessions().last_push();
    earlier_evaluations_ += leadership_->traffic.ranges().evaluations();
  }
  leadership_.reset();
  for (const Deferred& deferred : deferred_.TakeAll()) {
    if (const auto* deferred_request = std::get_if<DeferredOperatorRequest>(&deferred)) {
      Reply(deferred_request->request, NotLeaderError());
    } else {
      const auto& poll = std::get<DeferredPoll>(deferred);
      SendNotLeader(poll.connection, poll.poll.sequence);
    }
  }
  // It is unknown whether these entries will be committed and, for committed configuration changes,
  // whether routers have applied them. Requests are safe to resend, so the sender learns the
  // outcome by resending.
  for (const auto& waiter : pending_.TakeAll()) {
    if (const auto* router = std::get_if<WaitingRouter>(&waiter)) {
      SendNotLeader(router->connection, router->sequence);
    } else {
      held.push_back(std::get<WaitingOperator>(waiter).request);
    }
  }
  for (const RequestId request : held) {
    Reply(request, Error{ErrorKind::kOutcomeUnknown,
                         "The leader changed before the change was known to be accepted.",
                         "Send the same request again; it is safe to resend."});
  }
}

void ControlNode::Impl::RunLeaderDuties(Instant now) {
  UpdateRole(now);
  if (!leadership_ || !Leading(now)) return;
  ProposeDecisions(leadership_->ownership, now);
  if (!leadership_ || !Leading(now)) return;
  for (auto& [address, request] : leadership_->ownership.Sends(now)) {
    effects_.lease_sends.push_back({std::move(address), std::move(request)});
  }
  // Decides at once on the leases that Sends() found to have expired.
  ProposeDecisions(leadership_->ownership, now);
  if (!leadership_) return;
  for (auto& [connection, answer] : leadership_->routers.Push(now)) {
    SendToRouter(connection, std::move(answer));
  }
  ProposeDecisions(leadership_->traffic, now);
  if (!leadership_ || !Leading(now)) return;
  SendTrafficOrders(now);
  RepairMembership(now);
}

void ControlNode::Impl::SendTrafficOrders(Instant now) {
  const std::uint64_t pushes_before = leadership_->traffic.sessions().last_push();
  for (RouterSend& send : leadership_->traffic.Push(now)) {
    effects_.router_sends.push_back(std::move(send));
  }
  const std::uint64_t push = leadership_->traffic.sessions().last_push();
  if (push != pushes_before) effects_.push = push;
  for (RangeOrder& order : leadership_->traffic.ranges().Orders(now)) {
    effects_.range_orders.push_back(std::move(order));
  }
}

void ControlNode::Impl::PushFeed(Instant now) {
  const std::uint64_t pushes_before = feed_.last_push();
  for (RouterSend& send : feed_.Push(now)) effects_.router_sends.push_back(std::move(send));
  if (feed_.last_push() != pushes_before) effects_.feed_push = feed_.last_push();
}

void ControlNode::Impl::RepairMembership(Instant now) {
  if (!options_.membership.enabled || now < membership_check_due_) return;
  // Consensus refuses a change while an earlier one is uncommitted, and its commit ends the wait.
  if (consensus_.membership() != committed_membership_) return;
  membership_check_due_ = now + kMembershipCheckInterval;
  const MembershipView view{consensus_.self(), consensus_.membership(), consensus_.peers(now),
                            consensus_.announced()};
  const auto next = NextMembership(options_.membership, view);
  if (!next) return;
  MembershipNote note =
      DescribeChange("membership_proposed", view.membership, *next, consensus_.term());
  note.inputs = DescribeView(view);
  consensus::Effects effects;
  // Consensus may refuse the change, for example for a learner that fell behind; the next check
  // repeats it.
  const auto proposed = Attempt([&] { return consensus_.ProposeMembership(*next, now, effects); });
  if (const Error* const error = ErrorOf(proposed)) {
    note.what = "membership_proposal_failed";
    note.inputs = error->message + " " + note.inputs;
  }
  effects_.membership_notes.push_back(std::move(note));
  HandleConsensusEffects(std::move(effects), now);
}

template <class Decider>
void ControlNode::Impl::ProposeDecisions(Decider& decider, Instant now) {
  const auto commands = decider.Decide(now);
  if (commands.empty()) return;
  const auto first = Propose(commands, now);
  if (!leadership_) return;
  if (!first) {
    // The decider's pending decisions are lost. A new one treats all leases as renewed now.
    EndLeadership();
    return;
  }
  decider.Proposed(LogIndex{first->value + commands.size() - 1});
}

void ControlNode::Impl::ProcessDeferred(Instant now) {
  if (deferred_.empty() || !leadership_ || !Leading(now)) return;
  for (const Deferred& deferred : deferred_.TakeAll()) {
    if (const auto* deferred_request = std::get_if<DeferredOperatorRequest>(&deferred)) {
      TakeRequest(deferred_request->request, deferred_request->command, now);
    } else {
      const auto& poll = std::get<DeferredPoll>(deferred);
      OnTrafficPoll(poll.connection, poll.poll, now);
    }
  }
}

void ControlNode::Impl::AcknowledgeChanges(Instant now) {
  if (!leadership_) return;
  for (const auto& due : leadership_->traffic.rollout().TakeDue(now)) {
    Reply(due.request, Accepted{LogIndex{due.version}});
  }
}

ControlEffects ControlNode::Impl::Finish(Instant now) {
  ProcessDeferred(now);
  ProcessRelay(now);
  RunLeaderDuties(now);
  PushFeed(now);
  CompactIfDue(now);
  AcknowledgeChanges(now);
  if (leadership_) {
    effects_.range_notes = leadership_->traffic.ranges().TakeNotes();
    effects_.suspect_notes = leadership_->traffic.suspect_detector().TakeNotes();
    effects_.rollout_notes = leadership_->traffic.TakeNotes();
  }
  last_entry_at_ = now;
  return std::exchange(effects_, {});
}

}  // namespace graniteseam::control
