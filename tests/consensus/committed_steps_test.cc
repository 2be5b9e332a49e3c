/// @file
/// Committed entries are handed to the driver in bounded steps.
#include <criterion/criterion.h>

#include "graniteseam/consensus/raft_consensus.h"

using namespace graniteseam;
using namespace graniteseam::consensus;

namespace {

constexpr std::size_t kCommandBytes = 1'000;
constexpr std::uint64_t kCommands = 50;
const auto kStart = InstantFromMicros(1'000'000);

/// A group of one member that starts with a log whose entries are committed only when it leads.
RecoveredState LongLog() {
  RecoveredState recovered;
  recovered.self = {ControlId{1}, DiskIncarnation{1}, "", {"zone"}};
  recovered.hard_state.term = {1};
  Snapshot snapshot;
  snapshot.last_index = {10};
  snapshot.last_term = {1};
  snapshot.membership.voters = {recovered.self};
  recovered.snapshot = std::move(snapshot);
  for (std::uint64_t index = 11; index <= 10 + kCommands; ++index) {
    recovered.entries.push_back(
        {Term{1}, LogIndex{index}, EntryKind::kCommand, std::string(kCommandBytes, 'x')});
  }
  return recovered;
}

}  // namespace

// All newly committed entries were copied at once: a start held a log of 100 MB twice.
Test(committed_steps, long_log_is_applied_in_bounded_steps) {
  ConsensusOptions options;
  options.committed_bytes_maximum = 4 * kCommandBytes;
  RaftConsensus member(options, LongLog(), 1, kStart);
  std::vector<LogEntry> committed;
  bool more = false;
  const auto take = [&](const Effects& effects) {
    std::size_t bytes = 0;
    for (const LogEntry& entry : effects.committed) {
      bytes += entry.payload.size();
      committed.push_back(entry);
    }
    cr_assert_leq(bytes, options.committed_bytes_maximum);
    more = effects.more_committed;
    return effects.persist.sequence;
  };
  Instant now = kStart;
  for (int step = 0; step < 1'000 && !more; ++step) {
    now += std::chrono::milliseconds(10);
    for (std::uint64_t sequence = take(member.Tick(now)); sequence != 0;) {
      sequence = take(member.PersistDone(sequence, now));
    }
  }
  cr_assert(more);
  cr_assert(member.commit_index() == member.last_index());
  while (more) take(member.TakeCommitted());
  cr_assert_eq(committed.size(), kCommands + 1);
  for (std::uint64_t place = 0; place < committed.size(); ++place) {
    cr_assert_eq(committed[place].index.value, 11 + place);
  }
  cr_assert(member.TakeCommitted().committed.empty());
}

// A snapshot of a state that lacks committed entries would have lost them.
Test(committed_steps, only_what_was_handed_out_is_compacted) {
  ConsensusOptions options;
  options.committed_bytes_maximum = kCommandBytes;
  RaftConsensus member(options, LongLog(), 1, kStart);
  Instant now = kStart;
  Effects effects;
  while (!effects.more_committed) {
    now += std::chrono::milliseconds(10);
    effects = member.Tick(now);
    while (effects.persist.sequence != 0) {
      effects = member.PersistDone(effects.persist.sequence, now);
    }
  }
  const LogIndex handed_out = effects.committed.back().index;
  cr_assert_null(member.Compact(handed_out.Next(), "state", now).persist.snapshot.get());
}
