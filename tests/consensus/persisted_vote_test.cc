/// @file
/// A vote is on disk before it is told, and survives a restart.
#include <criterion/criterion.h>

#include "graniteseam/consensus/raft_consensus.h"

using graniteseam::ControlId;
using graniteseam::DiskIncarnation;
using graniteseam::InstantFromMicros;
using graniteseam::LogIndex;
using graniteseam::Term;
using graniteseam::consensus::ConsensusOptions;
using graniteseam::consensus::Effects;
using graniteseam::consensus::Member;
using graniteseam::consensus::Membership;
using graniteseam::consensus::RaftConsensus;
using graniteseam::consensus::RecoveredState;
using graniteseam::consensus::VoteRequest;
using graniteseam::consensus::VoteResponse;

namespace {

const auto kStart = InstantFromMicros(1'000'000);
const auto kAfterSilence = kStart + ConsensusOptions{}.election_timeout_minimum;

Member MemberOf(std::uint64_t id) { return {ControlId{id}, DiskIncarnation{id}, "", {"zone"}}; }

RecoveredState Recovered() {
  RecoveredState recovered;
  recovered.self = MemberOf(1);
  recovered.bootstrap = Membership{{MemberOf(1), MemberOf(2), MemberOf(3)}, {}};
  return recovered;
}

bool Granted(const Effects& effects) {
  cr_assert_eq(effects.messages.size(), 1U);
  return std::get<VoteResponse>(effects.messages[0].payload).granted;
}

VoteRequest Request(std::uint64_t term) { return {Term{term}, false, LogIndex{1}, Term{1}, false}; }

}  // namespace

Test(persisted_vote, is_kept_across_a_restart) {
  RaftConsensus voter({}, Recovered(), 1, kStart);
  const Effects effects = voter.Step({MemberOf(2), MemberOf(1), Request(2)}, kAfterSilence);
  cr_assert(Granted(effects));
  cr_assert(effects.persist.hard_state.has_value());
  cr_assert(effects.persist.hard_state->voted_for == MemberOf(2));

  RecoveredState after = Recovered();
  after.hard_state = *effects.persist.hard_state;
  after.entries = effects.persist.entries;
  RaftConsensus restarted({}, after, 2, kStart);
  cr_assert_not(Granted(restarted.Step({MemberOf(3), MemberOf(1), Request(2)}, kAfterSilence)));
  cr_assert(Granted(restarted.Step({MemberOf(2), MemberOf(1), Request(2)}, kAfterSilence)));
}

Test(persisted_vote, of_a_candidate_for_itself_counts_only_once_durable) {
  RecoveredState alone = Recovered();
  alone.bootstrap = Membership{{MemberOf(1)}, {}};
  RaftConsensus candidate({}, alone, 1, kStart);
  const Effects effects = candidate.Tick(kStart + ConsensusOptions{}.election_timeout_maximum);
  cr_assert(candidate.role() == graniteseam::consensus::Role::kCandidate);
  candidate.PersistDone(effects.persist.sequence, kAfterSilence);
  cr_assert(candidate.role() == graniteseam::consensus::Role::kLeader);
}
