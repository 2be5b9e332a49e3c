/// @file
/// Random routers against the journal. The oracle knows what really ran, and judges each verdict by
/// that alone; it shares no rule with the journal.

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <vector>

#include "graniteseam/operation/operation_journal.h"
#include "tests/operation/operation_ids.h"
#include "tests/support/fixed_seed.h"

using graniteseam::ServiceName;
using graniteseam::test::IdAt;
using namespace graniteseam::operation;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::int64_t kStart = 1'700'000'000'000;
constexpr std::int64_t kRetention = 1'000;
constexpr std::size_t kEntriesMaximum = 5;
constexpr std::size_t kAnswersKept = 2;
const ServiceName kService{"billing"};

/// What became of a claim in the world, whatever the journal knows.
enum class Truth { kRunning, kRan, kNotRun, kMayHaveRun };

struct Holder {
  ClaimRequest request;
  Truth truth = Truth::kRunning;
  KeptAnswer answer;
};

KeptAnswer AnswerOf(std::uint64_t claim) { return {200, "t", std::to_string(claim + 100'000)}; }

JournalLimits SmallLimits() {
  const std::size_t one = sizeof(KeptAnswer) + 1 + AnswerOf(1).body.size();
  return {kEntriesMaximum, kAnswersKept * one, /*future_maximum_ms=*/kRetention};
}

/// Routers, what is on its way from them, and the journal.
struct World {
  OperationJournal journal{SmallLimits()};
  std::int64_t wall_ms = kStart;
  std::uint64_t last_claim = 0;
  std::int64_t forgotten_ms = -1;  ///< Newest id that an Expire may have forgotten.
  std::vector<Holder> holders;     ///< Every claim that was ever granted.
  std::vector<ClaimRequest> claims_sent;
  std::vector<Completion> completions_sent;
};

struct Nothing {};
using WorldCommand = rc::state::Command<Nothing, World>;

std::int64_t TimeOf(const ClaimRequest& request) {
  // The first 12 hexadecimal digits, read without the journal's help.
  const std::string& text = request.operation.value;
  return std::stoll(text.substr(0, 8) + text.substr(9, 4), nullptr, 16);
}

std::vector<const Holder*> HoldersOf(const World& world, const ClaimRequest& request) {
  std::vector<const Holder*> found;
  for (const Holder& holder : world.holders) {
    if (holder.request.operation == request.operation) found.push_back(&holder);
  }
  return found;
}

/// Whether the operation certainly has not run and is not running, but for the claim's own holder.
bool CertainlyNotRun(const World& world, const ClaimRequest& request) {
  const auto holders = HoldersOf(world, request);
  return std::all_of(holders.begin(), holders.end(), [&](const Holder* holder) {
    return holder->request.claim == request.claim || holder->truth == Truth::kNotRun;
  });
}

void CheckGranted(World& world, const ClaimRequest& request) {
  RC_ASSERT(CertainlyNotRun(world, request));
  const auto holders = HoldersOf(world, request);
  const bool known = std::any_of(holders.begin(), holders.end(), [&](const Holder* holder) {
    return holder->request.claim == request.claim;
  });
  if (known) return;
  // The window's far end binds the first claim only: what is known stays claimable when the clock
  // was set back.
  const std::int64_t time = TimeOf(request);
  RC_ASSERT(time >= world.wall_ms - kRetention);
  RC_ASSERT(!holders.empty() || time <= world.wall_ms + kRetention);
  world.holders.push_back({request, Truth::kRunning, AnswerOf(request.claim)});
}

void CheckAnswered(const World& world, const ClaimRequest& request, const ClaimResult& result) {
  const auto holders = HoldersOf(world, request);
  const auto ran = std::find_if(holders.begin(), holders.end(),
                                [](const Holder* holder) { return holder->truth == Truth::kRan; });
  RC_ASSERT(ran != holders.end());
  if (result.answer.has_value()) RC_ASSERT(*result.answer == (*ran)->answer);
}

void CheckMayRefuse(const World& world, const ClaimRequest& request, std::size_t entries) {
  const std::int64_t time = TimeOf(request);
  const bool outside = time < world.wall_ms - kRetention || time > world.wall_ms + kRetention;
  RC_ASSERT(outside || entries >= kEntriesMaximum);
  const auto holders = HoldersOf(world, request);
  for (const Holder* holder : holders) RC_ASSERT(holder->truth == Truth::kNotRun);
}

void Send(World& world, const ClaimRequest& request) {
  const std::size_t entries = world.journal.entry_count();
  const bool fresh = HoldersOf(world, request).empty() && TimeOf(request) > world.forgotten_ms;
  const ClaimResult result = world.journal.Claim(request, kRetention, world.wall_ms);
  RC_ASSERT(result.operation == request.operation && result.claim == request.claim);
  switch (result.verdict) {
    case ClaimVerdict::kClaimed:
      CheckGranted(world, request);
      break;
    case ClaimVerdict::kAnswered:
      CheckAnswered(world, request, result);
      break;
    case ClaimVerdict::kExpired:
    case ClaimVerdict::kFull:
      CheckMayRefuse(world, request, entries);
      break;
    case ClaimVerdict::kMismatch:
      RC_FAIL("each operation has one request here");
      break;
    case ClaimVerdict::kInProgress:
    case ClaimVerdict::kUnknownOutcome:
      // Always safe to say, but not of an operation that nobody ever claimed.
      RC_ASSERT(!fresh);
      break;
  }
}

/// A caller's request reaches a router, which claims under a number of its own.
struct NewClaim : WorldCommand {
  int id_number = *rc::gen::inRange(0, 6);

  void run(const Nothing&, World& world) const override {
    const std::int64_t time = kStart + id_number * kRetention / 2;
    const ClaimRequest request{IdAt(time, static_cast<unsigned int>(id_number)),
                               kService,
                               {"carrier-a"},
                               "digest",
                               ++world.last_claim};
    world.claims_sent.push_back(request);
    Send(world, request);
  }
};

/// A claim arrives again: its answer was lost with the old leader, or a copy was late.
struct ClaimAgain : WorldCommand {
  std::size_t which = *rc::gen::inRange<std::size_t>(0, 1'000);

  void run(const Nothing&, World& world) const override {
    if (world.claims_sent.empty()) return;
    const ClaimRequest request = world.claims_sent[which % world.claims_sent.size()];
    Send(world, request);
  }
};

/// A holder's attempt ends. Its completion is on its way from now on.
struct Finish : WorldCommand {
  std::size_t which = *rc::gen::inRange<std::size_t>(0, 1'000);
  Truth truth = *rc::gen::element(Truth::kRan, Truth::kNotRun, Truth::kMayHaveRun);

  void run(const Nothing&, World& world) const override {
    if (world.holders.empty()) return;
    Holder& holder = world.holders[which % world.holders.size()];
    // What was unknown may still turn out to have run, when the answer comes late.
    const bool late_answer = holder.truth == Truth::kMayHaveRun && truth == Truth::kRan;
    if (holder.truth != Truth::kRunning && !late_answer) return;
    holder.truth = truth;
    Completion completion{holder.request.operation, kService, holder.request.claim,
                          CompletionKind::kUnknownOutcome, std::nullopt};
    if (truth == Truth::kNotRun) completion.kind = CompletionKind::kNotRun;
    if (truth == Truth::kRan) {
      completion.kind = CompletionKind::kAnswered;
      completion.answer = holder.answer;
    }
    world.completions_sent.push_back(completion);
  }
};

/// Delivers any completion ever sent: late, crossed, or once more.
struct DeliverCompletion : WorldCommand {
  std::size_t which = *rc::gen::inRange<std::size_t>(0, 1'000);

  void run(const Nothing&, World& world) const override {
    if (world.completions_sent.empty()) return;
    world.journal.Complete(world.completions_sent[which % world.completions_sent.size()]);
    RC_ASSERT(world.journal.answer_bytes() <= SmallLimits().answer_bytes_maximum);
  }
};

/// The next leader's wall clock differs, to the edges of the window and beyond.
struct JumpClock : WorldCommand {
  std::int64_t jump = *rc::gen::element<std::int64_t>(1, -1, kRetention / 2, -kRetention / 2,
                                                      kRetention, kRetention + 1, -kRetention);

  void run(const Nothing&, World& world) const override { world.wall_ms += jump; }
};

struct Expire : WorldCommand {
  std::size_t entries_maximum = *rc::gen::inRange<std::size_t>(1, 4);

  void run(const Nothing&, World& world) const override {
    const std::size_t before = world.journal.entry_count();
    const std::size_t forgotten =
        world.journal.Expire(kService, kRetention, world.wall_ms, entries_maximum);
    RC_ASSERT(forgotten <= entries_maximum);
    RC_ASSERT(world.journal.entry_count() == before - forgotten);
    if (forgotten > 0) {
      world.forgotten_ms = std::max(world.forgotten_ms, world.wall_ms - kRetention - 1);
    }
  }
};

/// A member starts again, or a lagging one gets a snapshot.
struct SaveAndRestore : WorldCommand {
  void run(const Nothing&, World& world) const override {
    OperationJournal restored{SmallLimits()};
    restored.Restore(world.journal.Snapshot());
    RC_ASSERT(restored.Snapshot() == world.journal.Snapshot());
    RC_ASSERT(restored.entry_count() == world.journal.entry_count());
    RC_ASSERT(restored.answer_bytes() == world.journal.answer_bytes());
    world.journal = std::move(restored);
  }
};

}  // namespace

Test(operation_journal_model, no_verdict_contradicts_what_really_ran) {
  cr_assert(rc::check([] {
    World world;
    rc::state::check(Nothing{}, world,
                     rc::state::gen::execOneOfWithArgs<NewClaim, NewClaim, ClaimAgain, Finish,
                                                       Finish, DeliverCompletion, DeliverCompletion,
                                                       JumpClock, Expire, SaveAndRestore>());
  }));
}
