/// @file
/// Properties of whole sequences of repair steps, over all small groups and states of their
/// members.
#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "src/control/membership_repair.h"

using namespace graniteseam;
using namespace graniteseam::control;
using consensus::Member;
using consensus::Membership;

namespace {

constexpr std::int64_t kReplaceAfterMs = 6'000;
constexpr std::int64_t kReachableWithinMs = 1'000;
constexpr std::int64_t kSlowAnswersAtMs = 1'900;
constexpr std::uint64_t kNewDisk = 100;

enum class VoterState { kAnswering, kSilent, kNewDiskReady, kNewDiskBehind, kSlow, kLeaving };
constexpr VoterState kVoterStates[] = {VoterState::kAnswering,    VoterState::kSilent,
                                       VoterState::kNewDiskReady, VoterState::kNewDiskBehind,
                                       VoterState::kSlow,         VoterState::kLeaving};
enum class LearnerState { kReady, kBehind, kSilent, kLeaving };
constexpr LearnerState kLearnerStates[] = {LearnerState::kReady, LearnerState::kBehind,
                                           LearnerState::kSilent, LearnerState::kLeaving};

struct Situation {
  std::size_t wanted = 0;
  std::vector<VoterState> voters;  ///< Except the leader, which answers.
  std::vector<LearnerState> learners;
  std::size_t announced = 0;
};

std::string Describe(const Situation& situation) {
  std::string text = std::to_string(situation.wanted) + " wanted; voters: leader";
  for (const VoterState state : situation.voters) {
    constexpr const char* kNames[] = {" answering",       " silent", " new-disk-ready",
                                      " new-disk-behind", " slow",   " leaving"};
    text += kNames[static_cast<int>(state)];
  }
  text += "; learners:";
  for (const LearnerState state : situation.learners) {
    constexpr const char* kNames[] = {" ready", " behind", " silent", " leaving"};
    text += kNames[static_cast<int>(state)];
  }
  return text + "; announced: " + std::to_string(situation.announced);
}

std::int64_t Majority(std::size_t voters) { return static_cast<std::int64_t>(voters / 2 + 1); }

bool Contains(const std::vector<Member>& members, const Member& wanted) {
  return std::any_of(members.begin(), members.end(),
                     [&](const Member& member) { return member.IsSameMemberAs(wanted); });
}

/// One process with one disk.
struct Process {
  Member member;
  std::int64_t silent_ms = 0;       ///< At the start; 0: answers.
  std::int64_t answers_at_ms = -1;  ///< Of a silent one; -1: never.
  std::int64_t caught_up_at_ms = 0;
  bool disk_lost = false;         ///< Its machine runs with another disk.
  bool on_replaced_disk = false;  ///< Of a machine that lost its disk before.
  bool leaving = false;
  bool stays = true;  ///< Answers in the end and is not leaving.
};

/// Applies the steps of repair to their own result while time passes.
class Sequence {
 public:
  explicit Sequence(const Situation& situation) : situation_(situation) {
    options_.enabled = true;
    options_.voters = situation.wanted;
    options_.replace_after = std::chrono::milliseconds(kReplaceAfterMs);
    AddVoter(VoterState::kAnswering);
    for (const VoterState state : situation.voters) AddVoter(state);
    for (const LearnerState state : situation.learners) AddLearner(state);
    for (std::size_t count = 0; count < situation.announced; ++count)
      processes_.push_back({Next()});
    start_ = membership_;
  }

  /// @return the property that was broken; empty when all held.
  std::string Run() {
    constexpr int kStepsMaximum = 64;
    constexpr int kChecksAtRest = 3;
    constexpr std::int64_t kPassesMs[] = {2'000, 5'000, 30'000};
    std::size_t pass = 0;
    int at_rest = 0;
    for (int step = 0; step < kStepsMaximum;) {
      const MembershipView view = View();
      const auto next = NextMembership(options_, view);
      if (!next) {
        if (pass >= std::size(kPassesMs) && ++at_rest == kChecksAtRest) return CheckEnd();
        now_ms_ += pass < std::size(kPassesMs) ? kPassesMs[pass] : 5'000;
        ++pass;
        continue;
      }
      if (auto broken = CheckStep(*next); !broken.empty()) return broken;
      at_rest = 0;
      ++step;
      now_ms_ += 10;
      NoteAdded(*next);
      membership_ = *next;
    }
    return "does not come to rest";
  }

 private:
  Member Next() {
    const std::uint64_t id = ++last_id_;
    return {ControlId{id}, DiskIncarnation{id}, "", {}};
  }

  void AddVoter(VoterState state) {
    Process process{Next()};
    membership_.voters.push_back(process.member);
    const auto order = static_cast<std::int64_t>(last_id_);
    if (state == VoterState::kSlow) {
      process.silent_ms = kReachableWithinMs + 100 + order;
      process.answers_at_ms = kSlowAnswersAtMs;
    } else if (state == VoterState::kLeaving) {
      process.leaving = true;
      process.stays = false;
    } else if (state != VoterState::kAnswering) {
      process.silent_ms = kReachableWithinMs + 500 + order;
      process.stays = false;
    }
    const bool new_disk = state == VoterState::kNewDiskReady || state == VoterState::kNewDiskBehind;
    process.disk_lost = new_disk;
    processes_.push_back(process);
    if (!new_disk) return;
    Process replaced{process.member};
    replaced.member.disk.value += kNewDisk;
    replaced.on_replaced_disk = true;
    if (state == VoterState::kNewDiskBehind) replaced.caught_up_at_ms = 1'500;
    membership_.learners.push_back(replaced.member);
    processes_.push_back(replaced);
    ++disks_lost_;
  }

  void AddLearner(LearnerState state) {
    Process process{Next()};
    if (state == LearnerState::kBehind) process.caught_up_at_ms = 1'500;
    if (state == LearnerState::kSilent) {
      process.silent_ms = kReachableWithinMs + 500;
      process.stays = false;
    }
    if (state == LearnerState::kLeaving) {
      process.leaving = true;
      process.stays = false;
    }
    membership_.learners.push_back(process.member);
    processes_.push_back(process);
  }

  bool Answers(const Process& process) const {
    return process.silent_ms == 0 ||
           (process.answers_at_ms >= 0 && now_ms_ >= process.answers_at_ms);
  }

  const Process& ProcessOf(const Member& member) const {
    return *std::find_if(processes_.begin(), processes_.end(), [&](const Process& process) {
      return process.member.IsSameMemberAs(member);
    });
  }

  MembershipView View() const {
    MembershipView view;
    view.self = processes_.front().member;
    view.membership = membership_;
    for (std::size_t index = 1; index < processes_.size(); ++index) {
      const Process& process = processes_[index];
      const bool answers = Answers(process);
      if (Contains(membership_.voters, process.member) ||
          Contains(membership_.learners, process.member)) {
        view.others.push_back(
            {process.member, std::chrono::milliseconds(answers ? 50 : process.silent_ms + now_ms_),
             answers && now_ms_ >= process.caught_up_at_ms, process.leaving});
      } else if (answers && !process.leaving) {
        // One that is leaving ends before it would announce itself.
        view.announced.push_back(process.member);
      }
    }
    return view;
  }

  void NoteAdded(const Membership& next) {
    for (const Member& learner : next.learners) {
      if (Contains(membership_.learners, learner)) continue;
      for (Process& process : processes_) {
        if (process.member.IsSameMemberAs(learner)) process.caught_up_at_ms = now_ms_ + 1'000;
      }
    }
  }

  std::int64_t AnsweringVoters(const Membership& membership) const {
    return std::count_if(membership.voters.begin(), membership.voters.end(),
                         [&](const Member& voter) { return Answers(ProcessOf(voter)); });
  }

  std::int64_t Tolerated() const { return static_cast<std::int64_t>(options_.voters - 1) / 2; }

  /// Further voters that may fall silent.
  std::int64_t Tolerance(const Membership& membership) const {
    return std::min(AnsweringVoters(membership) - Majority(membership.voters.size()), Tolerated());
  }

  /// Further disks that may be lost while all the others lose power and return. The voters whose
  /// disk was lost never answer; those that are silent return.
  std::int64_t ClosingTolerance(const Membership& membership) const {
    const std::int64_t kept =
        std::count_if(membership.voters.begin(), membership.voters.end(),
                      [&](const Member& voter) { return !ProcessOf(voter).disk_lost; });
    return std::min(kept - Majority(membership.voters.size()), Tolerated());
  }

  /// The same when the machines that lost a disk lose theirs again, each being one loss.
  std::int64_t RepeatedLossTolerance(const Membership& membership) const {
    const std::int64_t kept =
        std::count_if(membership.voters.begin(), membership.voters.end(), [&](const Member& voter) {
          const Process& process = ProcessOf(voter);
          return !process.disk_lost && !process.on_replaced_disk;
        });
    return std::min(kept - Majority(membership.voters.size()),
                    std::max<std::int64_t>(Tolerated() - disks_lost_, 0));
  }

  std::string CheckStep(const Membership& next) const {
    if (AnsweringVoters(membership_) < Majority(membership_.voters.size())) {
      return "a step without a quorum";
    }
    if (Tolerance(next) < Tolerance(membership_)) return "a step tolerates less silence";
    if (ClosingTolerance(next) < ClosingTolerance(membership_)) {
      return "a step tolerates the loss of fewer disks";
    }
    // Neither a group that has not grown yet nor one that lost more disks tolerates as many.
    const bool tolerated = start_.voters.size() >= options_.voters && disks_lost_ <= Tolerated();
    if (tolerated && RepeatedLossTolerance(next) < RepeatedLossTolerance(membership_)) {
      return "a step tolerates fewer losses beside those of the same machines";
    }
    const bool has_excess =
        membership_.voters.size() > options_.voters &&
        AnsweringVoters(membership_) == static_cast<std::int64_t>(membership_.voters.size());
    for (const Member& voter : membership_.voters) {
      if (Contains(next.voters, voter) || !Answers(ProcessOf(voter))) continue;
      if (!Contains(next.learners, voter)) return "a voter that answers leaves the group";
      if (!has_excess && !ProcessOf(voter).leaving) {
        return "a voter that answers is removed";
      }
    }
    for (const Member& voter : next.voters) {
      if (!Contains(membership_.voters, voter) && ProcessOf(voter).leaving) {
        return "a learner that is leaving is promoted";
      }
    }
    if (next.voters.size() < std::min(membership_.voters.size(), options_.voters) &&
        std::any_of(membership_.voters.begin(), membership_.voters.end(), [&](const Member& voter) {
          return !Contains(next.voters, voter) && ProcessOf(voter).leaving;
        })) {
      return "a voter that is leaving goes without a replacement";
    }
    return {};
  }

  std::string CheckEnd() const {
    const auto stays = [&](const Member& member) { return ProcessOf(member).stays; };
    const auto answers = [&](const Member& member) { return Answers(ProcessOf(member)); };
    const std::int64_t answering =
        std::count_if(start_.voters.begin(), start_.voters.end(), answers);
    if (answering < Majority(start_.voters.size())) return {};
    const auto kept =
        static_cast<std::size_t>(std::count_if(start_.voters.begin(), start_.voters.end(), stays));
    const auto spare = static_cast<std::size_t>(
        std::count_if(start_.learners.begin(), start_.learners.end(), stays) +
        static_cast<std::int64_t>(situation_.announced));
    if (kept + spare < options_.voters) return {};
    const auto& voters = membership_.voters;
    if (!std::all_of(voters.begin(), voters.end(), stays)) {
      return "rests with voters that are lost or leaving";
    }
    if (voters.size() < options_.voters) return "rests with too few voters";
    if (voters.size() > options_.voters) return "rests with too many voters";
    return {};
  }

  Situation situation_;
  MembershipRepairOptions options_;
  Membership membership_;
  Membership start_;
  std::vector<Process> processes_;
  std::uint64_t last_id_ = 0;
  std::int64_t disks_lost_ = 0;
  std::int64_t now_ms_ = 0;
};

/// Calls `visit` with each way to choose `count` states; without their order when `ordered` is
/// false.
template <class State, std::size_t kCount>
void ForEach(const State (&states)[kCount], std::size_t count, bool ordered,
             const std::function<void(const std::vector<State>&)>& visit) {
  std::vector<State> chosen;
  const std::function<void(std::size_t)> choose = [&](std::size_t first) {
    if (chosen.size() == count) {
      visit(chosen);
      return;
    }
    for (std::size_t index = ordered ? 0 : first; index < kCount; ++index) {
      chosen.push_back(states[index]);
      choose(index);
      chosen.pop_back();
    }
  };
  choose(0);
}

/// @param ordered whether each order of the voters' states is visited.
void CheckAll(std::size_t wanted, std::size_t voters, bool ordered) {
  constexpr std::size_t kLearnersMaximum = 4;
  constexpr std::size_t kAnnouncedMaximum = 3;
  ForEach<VoterState>(kVoterStates, voters - 1, ordered, [&](const auto& voter_states) {
    for (std::size_t learners = 0; learners <= kLearnersMaximum; ++learners) {
      ForEach<LearnerState>(kLearnerStates, learners, false, [&](const auto& learner_states) {
        for (const std::size_t announced : {std::size_t{0}, kAnnouncedMaximum}) {
          const Situation situation{wanted, voter_states, learner_states, announced};
          const std::string broken = Sequence(situation).Run();
          cr_assert(broken.empty(), "%s: %s", broken.c_str(), Describe(situation).c_str());
        }
      });
    }
  });
}

}  // namespace

// Guards against a repair that is right for one loss at a time and rests with lost voters after
// two.
Test(membership_repair_property, every_tolerated_loss_is_repaired_of_three_voters, .timeout = 120) {
  for (const std::size_t voters : {3, 4, 5}) CheckAll(3, voters, true);
  for (const std::size_t voters : {6, 7}) CheckAll(3, voters, false);
}

// The same with two losses at once, and with groups that have not grown yet.
Test(membership_repair_property, every_tolerated_loss_is_repaired_of_five_voters, .timeout = 120) {
  for (const std::size_t voters : {3, 4, 5}) CheckAll(5, voters, true);
  for (const std::size_t voters : {6, 7}) CheckAll(5, voters, false);
}
