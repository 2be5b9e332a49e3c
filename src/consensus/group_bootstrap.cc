/// @file
/// Group bootstrap, and announcements of processes outside the membership.
///
/// A voter is identified by id and disk incarnation, so the first membership can be written only
/// once the incarnation of every initial voter is known. The initial voter with the lowest id
/// bootstraps the group. It waits until every other initial voter has announced that it is
/// bootstrapping too, in an announcement addressed to the bootstrapping voter's current disk
/// incarnation. It then appends the membership as the first entry of its log and takes part in
/// elections. An initial voter that lost its disk and is started for bootstrap again receives
/// announcements of members that are already in a group, and never creates a second group.
///
/// Only the leader can admit a process, and a process may know no member that leads. A member that
/// follows a leader therefore forwards announcements to it:
/// - only those that name no disk incarnation, and with the leader's, so that they take one hop;
/// - with the process that announces itself as their sender;
/// - as not founding, so that a forwarded announcement never counts for a bootstrap.
#include <algorithm>

#include "graniteseam/codec/codec.h"
#include "src/consensus/raft_impl.h"

namespace graniteseam::consensus {
namespace {

/// Range from which the bootstrap entry's term is derived by the disk incarnation. Different terms
/// keep the entry of a voter that lost its disk during bootstrap distinct from that of the next
/// bootstrap.
constexpr std::uint64_t kBootstrapTermRange = 1'000'000;

/// Number of maximum election timeouts without leader contact after which a member announces itself
/// again.
constexpr int kReannounceAfterTimeouts = 4;

}  // namespace

void RaftConsensus::Impl::StartBootstrap(RecoveredState& recovered, Instant now) {
  seeds_ = std::move(recovered.seeds);
  next_announcement_ = now;
  if (!InNoMembership() || !recovered.bootstrap || log_.last_index().value != 0) return;
  bootstrap_ = std::move(recovered.bootstrap);
  if (seeds_.empty()) seeds_ = bootstrap_->voters;
  const auto& voters = bootstrap_->voters;
  const bool all_known = std::all_of(voters.begin(), voters.end(),
                                     [](const Member& voter) { return voter.disk.value != 0; });
  if (all_known) {
    AppendBootstrapEntry(*bootstrap_, Term{1});
  } else {
    BootstrapIfComplete(now);
  }
}

void RaftConsensus::Impl::AppendBootstrapEntry(const Membership& membership, Term term) {
  if (term > hard_state_.term) {
    hard_state_ = {term, std::nullopt};
    SaveHardState();
  }
  AppendEntry({term, LogIndex{1}, EntryKind::kMembership, codec::Encode(membership)});
  bootstrap_.reset();
  SetRole(IsVoter(self_) ? Role::kFollower : Role::kLearner);
}

bool RaftConsensus::Impl::MayHaveBeenRemoved(Instant now) const {
  // A member that was removed while disconnected still holds a membership that contains it.
  return now - last_leader_contact_ >= kReannounceAfterTimeouts * options_.election_timeout_maximum;
}

void RaftConsensus::Impl::Announce(Instant now) {
  next_announcement_ = now + options_.election_timeout_minimum;
  // A member of a group takes no part in a bootstrap any more. An announcement that names a disk is
  // not forwarded to the leader.
  if (!InNoMembership()) bootstrap_.reset();
  std::vector<Member> recipients = seeds_;
  for (const Member& member : OtherMembers()) recipients.push_back(member);
  // Seeds may have been replaced since the bootstrap began; repetitions are dropped.
  if (bootstrap_) {
    const auto& voters = bootstrap_->voters;
    recipients.insert(recipients.end(), voters.begin(), voters.end());
  }
  for (Member recipient : recipients) {
    if (recipient.id == self_.id) continue;
    const auto known = announced_.find(recipient.id);
    // A bootstrapping receiver counts only announcements addressed to its current incarnation; all
    // other receivers accept any.
    const bool name_disk = bootstrap_ && known != announced_.end();
    recipient.disk = name_disk ? known->second.member.disk : DiskIncarnation{};
    Send(recipient, Announcement{bootstrap_.has_value()});
  }
}

void RaftConsensus::Impl::OnAnnouncement(const PeerMessage& message, bool founding, Instant now) {
  const bool to_this_disk = message.to.disk == self_.disk;
  if (message.to.id != self_.id || (!to_this_disk && message.to.disk.value != 0)) return;
  if (message.from.id == self_.id) return;
  const auto known = announced_.find(message.from.id);
  // Bounds what a process costs that announces itself more often than it should.
  if (known != announced_.end() && known->second.member == message.from &&
      known->second.founding == founding && known->second.addressed_to_this_disk == to_this_disk &&
      now - known->second.at < options_.election_timeout_minimum) {
    return;
  }
  announced_[message.from.id] = {message.from, founding, to_this_disk, now};
  // A leader that was not heard of for an election timeout is forgotten, so a member that was
  // removed while it was disconnected forwards nothing.
  const bool follows = !InNoMembership() && role_ != Role::kLeader && leader_;
  if (follows && !to_this_disk && !IsMember(message.from)) {
    effects_.messages.push_back({message.from, *leader_, Announcement{}});
  }
  BootstrapIfComplete(now);
}

void RaftConsensus::Impl::BootstrapIfComplete(Instant now) {
  if (!InNoMembership() || !bootstrap_) return;
  Membership membership;
  for (const Member& voter : bootstrap_->voters) {
    if (voter.id < self_.id) return;  // Only the lowest id bootstraps.
    if (voter.id == self_.id) {
      membership.voters.push_back(self_);
      continue;
    }
    const auto known = announced_.find(voter.id);
    if (known == announced_.end()) return;
    if (!known->second.founding || !known->second.addressed_to_this_disk) return;
    membership.voters.push_back(known->second.member);
  }
  AppendBootstrapEntry(membership, Term{1 + self_.disk.value % kBootstrapTermRange});
  ResetElectionDeadline(now);
}

std::vector<Member> RaftConsensus::Impl::Announced() const {
  std::vector<Member> members;
  for (const auto& [id, announced] : announced_) {
    const bool recent = now_ - announced.at <= 3 * options_.election_timeout_maximum;
    if (recent && !IsMember(announced.member)) members.push_back(announced.member);
  }
  return members;
}

}  // namespace graniteseam::consensus
