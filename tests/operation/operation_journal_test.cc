#include "graniteseam/operation/operation_journal.h"

#include <criterion/criterion.h>

#include <cstdio>

#include "tests/operation/operation_ids.h"

using graniteseam::test::IdAt;
using namespace graniteseam::operation;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::int64_t kNow = 1'700'000'000'000;
constexpr std::int64_t kRetention = 1'000'000;

ClaimRequest Request(std::int64_t id_ms, std::uint64_t claim, const std::string& digest = "r") {
  return {IdAt(id_ms), {"billing"}, {"carrier-a"}, digest, claim};
}

ClaimVerdict Claim(OperationJournal& journal, const ClaimRequest& request,
                   std::int64_t wall_ms = kNow) {
  return journal.Claim(request, kRetention, wall_ms).verdict;
}

void Complete(OperationJournal& journal, std::int64_t id_ms, std::uint64_t claim,
              CompletionKind kind, const std::optional<KeptAnswer>& answer = std::nullopt) {
  journal.Complete({IdAt(id_ms), {"billing"}, claim, kind, answer});
}

const KeptAnswer kAnswer{201, "application/json", "{}"};

}  // namespace

Test(operation_journal, gives_an_operation_to_one_claim_only) {
  OperationJournal journal;
  cr_assert(Claim(journal, Request(kNow, 1)) == ClaimVerdict::kClaimed);
  cr_assert(Claim(journal, Request(kNow, 1)) == ClaimVerdict::kClaimed, "a resent claim");
  cr_assert(Claim(journal, Request(kNow, 2)) == ClaimVerdict::kInProgress);
  cr_assert(Claim(journal, Request(kNow, 2, "other")) == ClaimVerdict::kMismatch);
  ClaimRequest other_group = Request(kNow, 2);
  other_group.group = {"carrier-b"};
  cr_assert(Claim(journal, other_group) == ClaimVerdict::kMismatch);
}

Test(operation_journal, gives_resends_the_kept_answer) {
  OperationJournal journal;
  Claim(journal, Request(kNow, 1));
  Complete(journal, kNow, 1, CompletionKind::kAnswered, kAnswer);
  const auto resend = journal.Claim(Request(kNow, 2), kRetention, kNow);
  cr_assert(resend.verdict == ClaimVerdict::kAnswered);
  cr_assert(resend.answer == kAnswer);
}

Test(operation_journal, lets_go_only_what_provably_did_not_run) {
  OperationJournal journal;
  Claim(journal, Request(kNow, 1));
  Complete(journal, kNow, 1, CompletionKind::kNotRun);
  cr_assert(Claim(journal, Request(kNow, 1)) == ClaimVerdict::kInProgress,
            "a late copy of the ended claim takes nothing");
  cr_assert(Claim(journal, Request(kNow, 2)) == ClaimVerdict::kClaimed);
  Complete(journal, kNow, 1, CompletionKind::kNotRun);
  cr_assert(Claim(journal, Request(kNow, 3)) == ClaimVerdict::kInProgress,
            "a completion of the earlier holder changes nothing");
  Complete(journal, kNow, 2, CompletionKind::kUnknownOutcome);
  cr_assert(Claim(journal, Request(kNow, 3)) == ClaimVerdict::kUnknownOutcome);
}

Test(operation_journal, ends_alike_whatever_the_order_of_crossed_completions) {
  OperationJournal journal;
  Claim(journal, Request(kNow, 1));
  Complete(journal, kNow, 1, CompletionKind::kUnknownOutcome);
  Complete(journal, kNow, 1, CompletionKind::kNotRun);
  cr_assert(Claim(journal, Request(kNow, 2)) == ClaimVerdict::kUnknownOutcome);
  Complete(journal, kNow, 1, CompletionKind::kAnswered, kAnswer);
  Complete(journal, kNow, 1, CompletionKind::kUnknownOutcome);
  cr_assert(Claim(journal, Request(kNow, 2)) == ClaimVerdict::kAnswered);
}

Test(operation_journal, refuses_ids_outside_the_window_as_not_run) {
  OperationJournal journal;
  cr_assert(Claim(journal, Request(kNow - kRetention - 1, 1)) == ClaimVerdict::kExpired);
  cr_assert(Claim(journal, Request(kNow - kRetention, 1)) == ClaimVerdict::kClaimed);
  cr_assert(Claim(journal, Request(kNow + 60'001, 1)) == ClaimVerdict::kExpired);
  cr_assert(Claim(journal, Request(kNow + 60'000, 1)) == ClaimVerdict::kClaimed);
  for (const char* text :
       {"", "0190a0b0-c0d0-4000-8000-000000000000", "0190a0b0-c0d0-7000-c000-000000000000",
        "0190A0B0-c0d0-7000-8000-000000000000", "0190a0b0+c0d0-7000-8000-000000000000",
        "0190a0b0-c0d0-7000-8000-00000000000g", "0190a0b0-c0d0-7000-8000-0000000000000"}) {
    ClaimRequest request = Request(kNow, 1);
    request.operation.value = text;
    cr_assert(Claim(journal, request) == ClaimVerdict::kExpired, "%s", text);
  }
}

Test(operation_journal, never_gives_out_again_what_it_forgot) {
  OperationJournal journal;
  Claim(journal, Request(kNow, 1));
  Complete(journal, kNow, 1, CompletionKind::kAnswered, kAnswer);
  const std::int64_t jumped_ahead = kNow + kRetention + 1;
  cr_assert(journal.Expire({"billing"}, kRetention, jumped_ahead - 1, 10) == 0);
  cr_assert(journal.Expire({"billing"}, kRetention, jumped_ahead, 10) == 1);
  cr_assert(journal.entry_count() == 0 && journal.answer_bytes() == 0);
  // The clock is set back: by its time the id would be fresh.
  cr_assert(Claim(journal, Request(kNow, 2)) == ClaimVerdict::kUnknownOutcome);
  cr_assert(Claim(journal, Request(kNow - 5, 2)) == ClaimVerdict::kUnknownOutcome);
  cr_assert(Claim(journal, Request(kNow + 1, 2)) == ClaimVerdict::kClaimed);
  Complete(journal, kNow, 1, CompletionKind::kNotRun);
  cr_assert(Claim(journal, Request(kNow, 3)) == ClaimVerdict::kUnknownOutcome);
}

Test(operation_journal, expires_a_bounded_number_oldest_first) {
  OperationJournal journal;
  for (std::int64_t i = 0; i < 5; ++i) Claim(journal, Request(kNow + i, 1));
  cr_assert(journal.Expire({"billing"}, kRetention, kNow + kRetention + 100, 2) == 2);
  cr_assert(Claim(journal, Request(kNow + 1, 2)) == ClaimVerdict::kUnknownOutcome);
  cr_assert(Claim(journal, Request(kNow + 2, 2)) == ClaimVerdict::kInProgress);
  cr_assert(journal.Expire({"absent"}, kRetention, kNow, 2) == 0);
}

Test(operation_journal, refuses_new_operations_when_full_and_keeps_the_old) {
  OperationJournal journal({.entries_maximum = 1});
  Claim(journal, Request(kNow, 1));
  cr_assert(Claim(journal, Request(kNow + 1, 1)) == ClaimVerdict::kFull);
  cr_assert(Claim(journal, Request(kNow, 2)) == ClaimVerdict::kInProgress);
}

Test(operation_journal, drops_the_oldest_answers_when_space_runs_out) {
  const std::size_t one = sizeof(KeptAnswer) + kAnswer.content_type.size() + kAnswer.body.size();
  OperationJournal journal({.answer_bytes_maximum = 2 * one});
  for (std::int64_t i = 0; i < 3; ++i) {
    Claim(journal, Request(kNow + i, 1));
    Complete(journal, kNow + i, 1, CompletionKind::kAnswered, kAnswer);
  }
  cr_assert(journal.answer_bytes() == 2 * one);
  const auto dropped = journal.Claim(Request(kNow, 2), kRetention, kNow);
  cr_assert(dropped.verdict == ClaimVerdict::kAnswered && !dropped.answer.has_value());
  cr_assert(journal.Claim(Request(kNow + 2, 2), kRetention, kNow).answer == kAnswer);
}

Test(operation_journal, keeps_no_answer_that_is_too_large) {
  OperationJournal journal;
  Claim(journal, Request(kNow, 1));
  const KeptAnswer large{200, "text/plain", std::string(kKeptBodyBytesMaximum + 1, 'x')};
  Complete(journal, kNow, 1, CompletionKind::kAnswered, large);
  const auto resend = journal.Claim(Request(kNow, 2), kRetention, kNow);
  cr_assert(resend.verdict == ClaimVerdict::kAnswered && !resend.answer.has_value());
}

Test(operation_journal, comes_back_whole_from_a_snapshot) {
  OperationJournal journal;
  for (std::int64_t i = 0; i < 3; ++i) Claim(journal, Request(kNow + i, 1));
  Complete(journal, kNow + 2, 1, CompletionKind::kAnswered, kAnswer);
  journal.Expire({"billing"}, kRetention, kNow + kRetention + 1, 10);
  OperationJournal restored;
  restored.Restore(journal.Snapshot());
  cr_assert(restored.Snapshot() == journal.Snapshot());
  cr_assert(restored.entry_count() == 2);
  cr_assert(restored.answer_bytes() == journal.answer_bytes());
  cr_assert(Claim(restored, Request(kNow, 2)) == ClaimVerdict::kUnknownOutcome);
  cr_assert(Claim(restored, Request(kNow + 1, 2)) == ClaimVerdict::kInProgress);
  cr_assert(Claim(restored, Request(kNow + 2, 2)) == ClaimVerdict::kAnswered);
}
