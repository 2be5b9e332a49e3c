#include "src/routing/journal_batcher.h"

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace graniteseam;
using control::ClaimVerdict;
using control::CompletionKind;
using routing::JournalBatcher;

namespace {

constexpr Instant kNow = InstantFromMicros(1'000'000);
const ServiceName kService{"shut-offs"};

control::ClaimRequest Claim(std::uint64_t number) {
  return {{"operation-" + std::to_string(number)}, kService, {"hostels"}, "digest", number};
}

control::JournalAnswer Answer(const control::JournalRequest& request, ClaimVerdict verdict) {
  control::JournalAnswer answer{request.sequence, {}};
  for (const auto& claim : request.claims) {
    answer.results.push_back({claim.operation, claim.claim, verdict, std::nullopt});
  }
  return answer;
}

}  // namespace

Test(journal_batcher, sends_again_until_answered_and_takes_each_answer_once) {
  JournalBatcher batcher({"router"});
  batcher.AddClaim(Claim(1));
  const auto first = batcher.TakeDue(kNow);
  cr_assert_eq(first.size(), 1);
  cr_assert(batcher.TakeDue(kNow + 100ms).empty());
  const auto again = batcher.TakeDue(kNow + 200ms);
  cr_assert_eq(again.size(), 1);
  cr_assert(again[0].sequence == first[0].sequence && again[0].claims == first[0].claims);
  cr_assert_eq(batcher.OnAnswer(Answer(first[0], ClaimVerdict::kClaimed)).size(), 1);
  cr_assert(batcher.OnAnswer(Answer(first[0], ClaimVerdict::kClaimed)).empty());
  cr_assert(batcher.Idle());
}

Test(journal_batcher, gathers_claims_while_batches_are_in_flight) {
  JournalBatcher batcher({"router"});
  std::size_t batches = 0;
  for (std::uint64_t number = 1; number <= 100; ++number) {
    batcher.AddClaim(Claim(number));
    batches += batcher.TakeDue(kNow).size();
  }
  cr_assert_eq(batches, 4);
}

Test(journal_batcher, completes_an_abandoned_claim_as_not_run_after_its_result) {
  JournalBatcher batcher({"router"});
  batcher.AddClaim(Claim(1));
  const auto sent = batcher.TakeDue(kNow);
  batcher.AbandonClaim(1);
  cr_assert(batcher.TakeDue(kNow).empty(), "the claim's own result comes first");
  cr_assert(batcher.OnAnswer(Answer(sent[0], ClaimVerdict::kClaimed)).empty());
  const auto completion = batcher.TakeDue(kNow);
  cr_assert_eq(completion.size(), 1);
  cr_assert_eq(completion[0].completions.size(), 1);
  cr_assert(completion[0].completions[0].kind == CompletionKind::kNotRun);
  cr_assert_eq(completion[0].completions[0].claim, 1);
}

Test(journal_batcher, forgets_an_abandoned_claim_that_another_holds_or_that_was_not_sent) {
  JournalBatcher batcher({"router"});
  batcher.AddClaim(Claim(1));
  const auto sent = batcher.TakeDue(kNow);
  batcher.AbandonClaim(1);
  batcher.OnAnswer(Answer(sent[0], ClaimVerdict::kInProgress));
  batcher.AddClaim(Claim(2));
  batcher.AbandonClaim(2);
  cr_assert(batcher.TakeDue(kNow).empty());
  cr_assert(batcher.Idle());
}

Test(journal_batcher, sends_nothing_under_a_claim_that_the_answer_leaves_out) {
  JournalBatcher batcher({"router"});
  batcher.AddClaim(Claim(1));
  const auto sent = batcher.TakeDue(kNow);
  const auto results = batcher.OnAnswer({sent[0].sequence, {}});
  cr_assert_eq(results.size(), 1);
  cr_assert(results[0].verdict == ClaimVerdict::kInProgress);
}
