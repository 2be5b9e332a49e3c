#include "graniteseam/consensus/raft_consensus.h"

#include <algorithm>
#include <type_traits>

#include "src/consensus/raft_impl.h"

namespace graniteseam::consensus {

RaftConsensus::Impl::Impl(ConsensusOptions options, RecoveredState recovered, std::uint64_t seed,
                          Instant now)
    : options_(options),
      self_(recovered.self),
      random_(seed),
      hard_state_(std::move(recovered.hard_state)),
      log_(std::move(recovered.snapshot), std::move(recovered.entries)),
      now_(now),
      // Leader contact is not persisted. A heartbeat may have been acknowledged just before the
      // restart, so votes are refused for a full election_timeout_minimum after it.
      last_leader_contact_(now) {
  if (log_.last_term() > hard_state_.term) hard_state_ = {log_.last_term(), std::nullopt};
  commit_index_ = log_.snapshot_index();
  handed_out_index_ = commit_index_;
  durable_index_ = log_.last_index();
  StartBootstrap(recovered, now);
  SetRole(IsVoter(self_) ? Role::kFollower : Role::kLearner);
  ResetElectionDeadline(now);
}

void RaftConsensus::Impl::Tick(Instant now) {
  now_ = std::max(now_, now);
  if (role_ == Role::kLeader) {
    LeaderTick(now_);
    return;
  }
  const bool may_be_outside_membership = InNoMembership() || MayHaveBeenRemoved(now_);
  if (may_be_outside_membership && now_ >= next_announcement_) Announce(now_);
  if (now_ < election_deadline_) return;
  if (IsVoter(self_)) {
    BecomePreCandidate(now_);
  } else {
    leader_.reset();
    ResetElectionDeadline(now_);
  }
}

Instant RaftConsensus::Impl::NextTick() const {
  if (role_ == Role::kLeader) {
    const Instant step_down = QuorumRoundSentAt() + options_.election_timeout_maximum;
    Instant next = std::min({next_heartbeat_, step_down, commit_notification_due_});
    if (transfer_target_) next = std::min(next, transfer_deadline_);
    return next;
  }
  return InNoMembership() ? std::min(next_announcement_, election_deadline_) : election_deadline_;
}

void RaftConsensus::Impl::Step(const PeerMessage& message, Instant now) {
  now_ = std::max(now_, now);
  if (message.from.IsSameMemberAs(self_)) return;
  if (const auto* announcement = std::get_if<Announcement>(&message.payload)) {
    OnAnnouncement(message, announcement->founding, now_);
    return;
  }
  if (!message.to.IsSameMemberAs(self_)) return;
  const Member& from = message.from;
  std::visit(
      [&](const auto& payload) {
        using Payload = std::decay_t<decltype(payload)>;
        if constexpr (std::is_same_v<Payload, VoteRequest>) {
          payload.pre_vote ? OnPreVoteRequest(from, payload, now_)
                           : OnVoteRequest(from, payload, now_);
        } else if constexpr (std::is_same_v<Payload, AppendRequest>) {
          OnAppendRequest(from, payload, now_);
        } else if constexpr (std::is_same_v<Payload, InstallSnapshotRequest>) {
          OnInstallSnapshotRequest(from, payload, now_);
        } else if constexpr (std::is_same_v<Payload, TimeoutNowRequest>) {
          OnTimeoutNow(payload, now_);
        } else if constexpr (!std::is_same_v<Payload, Announcement> &&
                             !std::is_same_v<Payload, HeartbeatRelay>) {
          // A response from a non-member or a lost disk is ignored, including its term.
          if (!IsMember(from)) return;
          if constexpr (std::is_same_v<Payload, VoteResponse>) {
            OnVoteResponse(from, payload, now_);
          } else if constexpr (std::is_same_v<Payload, AppendResponse>) {
            OnAppendResponse(from, payload, now_);
          } else if constexpr (std::is_same_v<Payload, LeavingNotice>) {
            OnLeavingNotice(from, payload, now_);
          } else {
            OnInstallSnapshotResponse(from, payload, now_);
          }
        }
      },
      message.payload);
}

void RaftConsensus::Impl::PersistDone(std::uint64_t sequence, Instant now) {
  now_ = std::max(now_, now);
  while (!pending_.empty() && pending_.front().sequence <= sequence) {
    PendingPersist done = std::move(pending_.front());
    pending_.pop_front();
    durable_index_ = std::max(durable_index_, done.durable_index);
    if (done.term != hard_state_.term) continue;
    for (auto& message : done.acknowledgements) effects_.messages.push_back(std::move(message));
    if (done.own_vote && role_ == Role::kCandidate) CountVote(self_, now_);
  }
  if (role_ == Role::kLeader) UpdateLeaderCommit(now_);
}

Effects RaftConsensus::Impl::TakeEffects() {
  Effects effects = std::move(effects_);
  effects_ = Effects{};
  HandOutCommitted(effects);
  if (!effects.persist.Empty()) effects.persist.sequence = ++sequence_;
  return effects;
}

void RaftConsensus::Impl::Send(const Member& to, PeerPayload payload) {
  effects_.messages.push_back({self_, to, std::move(payload)});
}

void RaftConsensus::Impl::SetRole(Role role) {
  if (role_ == role) return;
  role_ = role;
  effects_.role_changed = true;
}

void RaftConsensus::Impl::BecomeFollower(Term term, std::optional<Member> leader, Instant now) {
  if (term > hard_state_.term) {
    hard_state_ = {term, std::nullopt};
    SaveHardState();
  }
  leader_ = std::move(leader);
  votes_.clear();
  progress_.clear();
  round_sent_at_.clear();
  established_at_.reset();
  transfer_target_.reset();
  SetRole(IsVoter(self_) ? Role::kFollower : Role::kLearner);
  ResetElectionDeadline(now);
}

void RaftConsensus::Impl::SaveHardState() { effects_.persist.hard_state = hard_state_; }

void RaftConsensus::Impl::AppendEntry(LogEntry entry) {
  CurrentPendingPersist().durable_index = entry.index;
  effects_.persist.entries.push_back(entry);
  log_.Append(std::move(entry));
}

void RaftConsensus::Impl::TruncateLogFrom(LogIndex index) {
  log_.TruncateFrom(index);
  auto& entries = effects_.persist.entries;
  entries.erase(std::remove_if(entries.begin(), entries.end(),
                               [&](const LogEntry& entry) { return entry.index >= index; }),
                entries.end());
  effects_.persist.truncate_from = index;
  // Pending writes count as durable only up to the truncation point.
  const LogIndex kept{index.value - 1};
  durable_index_ = std::min(durable_index_, kept);
  for (auto& pending : pending_) pending.durable_index = std::min(pending.durable_index, kept);
}

RaftConsensus::Impl::PendingPersist& RaftConsensus::Impl::CurrentPendingPersist() {
  const std::uint64_t next = sequence_ + 1;
  if (pending_.empty() || pending_.back().sequence != next) {
    pending_.push_back({next, hard_state_.term, {}, false, {}});
  }
  // A step may enter a new term, as the first election does. Such a step holds no
  // acknowledgement of the earlier term, so its persist request belongs to the new one.
  pending_.back().term = hard_state_.term;
  return pending_.back();
}

void RaftConsensus::Impl::HandOutCommitted(Effects& effects) {
  if (effects.restored) handed_out_index_ = effects.restored->last_index;
  if (handed_out_index_ == commit_index_) return;
  effects.committed =
      log_.From(handed_out_index_.Next(), commit_index_, options_.committed_bytes_maximum);
  handed_out_index_ = effects.committed.back().index;
  effects.more_committed = handed_out_index_ < commit_index_;
}

std::size_t RaftConsensus::Impl::UncommittedBytes() const {
  std::size_t bytes = 0;
  for (LogIndex index = commit_index_.Next(); index <= log_.last_index(); index = index.Next()) {
    bytes += BytesOf(log_.At(index));
  }
  return bytes;
}

bool RaftConsensus::Impl::IsVoter(const Member& member) const {
  const auto& voters = log_.membership().voters;
  return std::any_of(voters.begin(), voters.end(),
                     [&](const Member& voter) { return voter.IsSameMemberAs(member); });
}

bool RaftConsensus::Impl::IsMember(const Member& member) const {
  const auto& learners = log_.membership().learners;
  return IsVoter(member) ||
         std::any_of(learners.begin(), learners.end(),
                     [&](const Member& learner) { return learner.IsSameMemberAs(member); });
}

std::vector<Member> RaftConsensus::Impl::OtherVoters() const {
  std::vector<Member> others;
  for (const Member& voter : log_.membership().voters) {
    if (!voter.IsSameMemberAs(self_)) others.push_back(voter);
  }
  return others;
}

std::vector<Member> RaftConsensus::Impl::OtherMembers() const {
  std::vector<Member> others = OtherVoters();
  for (const Member& learner : log_.membership().learners) {
    if (!learner.IsSameMemberAs(self_)) others.push_back(learner);
  }
  return others;
}

// --- The public class delegates every call to Impl. ---

RaftConsensus::RaftConsensus(ConsensusOptions options, RecoveredState recovered, std::uint64_t seed,
                             Instant now)
    : impl_(std::make_unique<Impl>(options, std::move(recovered), seed, now)) {}
RaftConsensus::~RaftConsensus() = default;
RaftConsensus::RaftConsensus(RaftConsensus&&) noexcept = default;
RaftConsensus& RaftConsensus::operator=(RaftConsensus&&) noexcept = default;

Effects RaftConsensus::Tick(Instant now) {
  impl_->Tick(now);
  return impl_->TakeEffects();
}

Instant RaftConsensus::NextTick() const { return impl_->NextTick(); }

Effects RaftConsensus::Step(const PeerMessage& message, Instant now) {
  impl_->Step(message, now);
  return impl_->TakeEffects();
}

Effects RaftConsensus::TakeCommitted() { return impl_->TakeEffects(); }

Effects RaftConsensus::PersistDone(std::uint64_t sequence, Instant now) {
  impl_->PersistDone(sequence, now);
  return impl_->TakeEffects();
}

Result<LogIndex> RaftConsensus::Propose(std::vector<std::string> commands, Instant now,
                                        Effects& effects) {
  auto index = impl_->Propose(std::move(commands), now);
  effects = impl_->TakeEffects();
  return index;
}

Result<LogIndex> RaftConsensus::ProposeMembership(const Membership& next, Instant now,
                                                  Effects& effects) {
  auto index = impl_->ProposeMembership(next, now);
  effects = impl_->TakeEffects();
  return index;
}

Effects RaftConsensus::TransferLeadership(Instant now) {
  impl_->TransferLeadership(now, false);
  return impl_->TakeEffects();
}

Effects RaftConsensus::PrepareStop(Instant now) {
  impl_->PrepareStop(now);
  return impl_->TakeEffects();
}

void RaftConsensus::SetSeeds(std::vector<Member> seeds) { impl_->SetSeeds(std::move(seeds)); }

Effects RaftConsensus::Compact(LogIndex index, std::string data, Instant now) {
  impl_->Compact(index, std::move(data), now);
  return impl_->TakeEffects();
}

Role RaftConsensus::role() const { return impl_->role(); }
Term RaftConsensus::term() const { return impl_->term(); }
std::optional<Member> RaftConsensus::leader() const { return impl_->leader(); }
Instant RaftConsensus::leader_lease_end() const { return impl_->lease_end(); }
std::optional<Instant> RaftConsensus::leadership_established() const {
  return impl_->established_at();
}
LogIndex RaftConsensus::commit_index() const { return impl_->commit_index(); }
LogIndex RaftConsensus::last_index() const { return impl_->log().last_index(); }
std::shared_ptr<const Snapshot> RaftConsensus::snapshot() const { return impl_->log().snapshot(); }
std::size_t RaftConsensus::log_bytes() const { return impl_->log().bytes(); }
std::size_t RaftConsensus::uncommitted_bytes() const { return impl_->UncommittedBytes(); }
const Membership& RaftConsensus::membership() const { return impl_->log().membership(); }
const Member& RaftConsensus::self() const { return impl_->self(); }
std::vector<Member> RaftConsensus::announced() const { return impl_->Announced(); }
std::vector<PeerStatus> RaftConsensus::peers(Instant now) const { return impl_->Peers(now); }

}  // namespace graniteseam::consensus
