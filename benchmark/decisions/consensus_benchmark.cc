/// @file
/// The replicated log: appending batches to the disk, and committing in a group of five without
/// network or disk.

#include <benchmark/benchmark.h>
#include <unistd.h>

#include <deque>
#include <filesystem>
#include <string>
#include <vector>

#include "graniteseam/consensus/raft_consensus.h"
#include "src/storage/log_store.h"
#include "src/storage/posix_file_system.h"

namespace graniteseam::consensus {
namespace {

constexpr std::size_t kCommandBytes = 200;
constexpr std::size_t kSegmentBytes = 16UL << 20U;

std::vector<std::string> Commands(std::int64_t count) {
  return {static_cast<std::size_t>(count), std::string(kCommandBytes, 'x')};
}

/// One batch of `range` entries, framed, written and synced in the temporary folder.
void LogAppend(benchmark::State& state) {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("graniteseam-benchmark-" + std::to_string(getpid()));
  storage::PosixFileSystem files;
  auto opened = Attempt([&]() -> Result<std::unique_ptr<storage::LogStore>> {
    BOOST_LEAF_CHECK(files.CreateFolder(folder.string()));
    return storage::LogStore::Open(files, folder.string(), kSegmentBytes);
  });
  if (const Error* error = ErrorOf(opened)) {
    state.SkipWithError(error->message.c_str());
    return;
  }
  auto& log = *std::get<std::unique_ptr<storage::LogStore>>(opened);
  LogIndex index;
  while (state.KeepRunning()) {
    storage::LogBatch batch;
    for (auto& command : Commands(state.range(0))) {
      index = index.Next();
      batch.entries.push_back({Term{1}, index, EntryKind::kCommand, std::move(command)});
    }
    const auto appended = Attempt([&] { return log.Append(batch); });
    if (ErrorOf(appended) != nullptr) state.SkipWithError("The log cannot be written.");
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
  std::filesystem::remove_all(folder);
}
BENCHMARK(LogAppend)->Arg(1)->Arg(16)->Arg(256)->UseRealTime();

/// Five members that hand messages to each other at once; what is persisted is durable at once.
class Group {
 public:
  Group() {
    Membership membership;
    for (std::uint64_t id = 1; id <= kMembers; ++id) {
      membership.voters.push_back({ControlId{id}, DiskIncarnation{id}, "", ZoneName{"zone"}});
    }
    for (const Member& self : membership.voters) {
      RecoveredState recovered;
      recovered.self = self;
      recovered.bootstrap = membership;
      members_.emplace_back(ConsensusOptions{}, std::move(recovered), self.id.value, now_);
    }
    while (leader_ == nullptr) Pass(Duration(1'000));
  }

  /// Proposes, and returns once the leader has committed.
  void Commit(std::vector<std::string> commands) {
    Effects effects;
    const auto proposed =
        Attempt([&] { return leader_->Propose(std::move(commands), now_, effects); });
    if (ErrorOf(proposed) != nullptr) std::abort();
    const LogIndex last = leader_->last_index();
    CarryOut(*leader_, std::move(effects));
    while (leader_->commit_index() < last) Pass(Duration(1'000));
    Pass(Duration(10));
    if (last.value - compacted_.value > kCompactAfter) Compact();
  }

 private:
  static constexpr std::uint64_t kMembers = 5;
  static constexpr std::uint64_t kCompactAfter = 10'000;

  void Pass(Duration span) {
    now_ += span;
    for (RaftConsensus& member : members_) {
      if (now_ >= member.NextTick()) CarryOut(member, member.Tick(now_));
      if (member.role() == Role::kLeader && member.leadership_established()) leader_ = &member;
    }
  }

  void CarryOut(RaftConsensus& member, Effects effects) {
    Take(member, std::move(effects));
    while (!messages_.empty()) {
      const PeerMessage message = std::move(messages_.front());
      messages_.pop_front();
      RaftConsensus& to = members_[message.to.id.value - 1];
      Take(to, to.Step(message, now_));
    }
  }

  void Take(RaftConsensus& member, Effects effects) {
    for (auto& message : effects.messages) messages_.push_back(std::move(message));
    if (effects.persist.Empty()) return;
    Take(member, member.PersistDone(effects.persist.sequence, now_));
  }

  void Compact() {
    compacted_ = leader_->commit_index();
    for (RaftConsensus& member : members_) {
      CarryOut(member, member.Compact(member.commit_index(), "state", now_));
    }
  }

  Instant now_ = InstantFromMicros(1'000'000);
  std::deque<RaftConsensus> members_;
  std::deque<PeerMessage> messages_;
  RaftConsensus* leader_ = nullptr;
  LogIndex compacted_;
};

void Commit(benchmark::State& state) {
  Group group;
  while (state.KeepRunning()) group.Commit(Commands(state.range(0)));
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(Commit)->Arg(1)->Arg(16)->Arg(256);

}  // namespace
}  // namespace graniteseam::consensus
