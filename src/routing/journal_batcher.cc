#include "src/routing/journal_batcher.h"

#include <algorithm>
#include <utility>

namespace graniteseam::routing {

void JournalBatcher::AddClaim(control::ClaimRequest claim) {
  unsent_claims_.push_back(claim.claim);
  const std::uint64_t number = claim.claim;
  claims_[number].request = std::move(claim);
}

void JournalBatcher::AbandonClaim(std::uint64_t claim) {
  const auto found = claims_.find(claim);
  if (found == claims_.end()) return;
  if (found->second.sent) {
    found->second.abandoned = true;
  } else {
    claims_.erase(found);
  }
}

void JournalBatcher::AddCompletion(control::Completion completion) {
  if (unsent_completions_.size() >= kCompletionsMaximum) unsent_completions_.pop_front();
  unsent_completions_.push_back(std::move(completion));
}

std::vector<control::JournalRequest> JournalBatcher::TakeDue(Instant now) {
  std::vector<control::JournalRequest> due;
  for (auto& [sequence, batch] : in_flight_) {
    if (!batch.resend && now - batch.sent_at < kResendAfter) continue;
    batch.resend = false;
    batch.sent_at = now;
    due.push_back(batch.request);
  }
  while (in_flight_.size() < kInFlightMaximum) {
    std::optional<control::JournalRequest> batch = NextBatch(now);
    if (!batch) break;
    due.push_back(std::move(*batch));
  }
  return due;
}

std::optional<control::JournalRequest> JournalBatcher::NextBatch(Instant now) {
  control::JournalRequest request;
  while (!unsent_claims_.empty() && request.claims.size() < kBatchMaximum) {
    const auto found = claims_.find(unsent_claims_.front());
    unsent_claims_.pop_front();
    if (found == claims_.end()) continue;  // Abandoned before it was sent.
    found->second.sent = true;
    request.claims.push_back(found->second.request);
  }
  while (!unsent_completions_.empty() && request.completions.size() < kBatchMaximum) {
    request.completions.push_back(std::move(unsent_completions_.front()));
    unsent_completions_.pop_front();
  }
  if (request.claims.empty() && request.completions.empty()) return std::nullopt;
  request.router = router_;
  request.sequence = ++last_sequence_;
  in_flight_[request.sequence] = {request, now, false};
  return request;
}

std::optional<Instant> JournalBatcher::NextDue() const {
  std::optional<Instant> next;
  for (const auto& [sequence, batch] : in_flight_) {
    const Instant at = batch.resend ? batch.sent_at : batch.sent_at + kResendAfter;
    if (!next || at < *next) next = at;
  }
  return next;
}

void JournalBatcher::Resend() {
  for (auto& [sequence, batch] : in_flight_) batch.resend = true;
}

std::vector<control::ClaimResult> JournalBatcher::OnAnswer(const control::JournalAnswer& answer) {
  std::vector<control::ClaimResult> waited_for;
  const auto batch = in_flight_.find(answer.sequence);
  if (batch == in_flight_.end()) return waited_for;
  for (const control::ClaimResult& result : answer.results) TakeResult(result, waited_for);
  // A claim missing from the answer may be held by another router: nothing is sent under it.
  for (const control::ClaimRequest& claim : batch->second.request.claims) {
    TakeResult({claim.operation, claim.claim, control::ClaimVerdict::kInProgress, std::nullopt},
               waited_for);
  }
  in_flight_.erase(batch);
  return waited_for;
}

void JournalBatcher::TakeResult(const control::ClaimResult& result,
                                std::vector<control::ClaimResult>& waited_for) {
  const auto found = claims_.find(result.claim);
  if (found == claims_.end()) return;
  if (!found->second.abandoned) {
    waited_for.push_back(result);
  } else if (result.verdict == control::ClaimVerdict::kClaimed) {
    AddCompletion({result.operation, found->second.request.service, result.claim,
                   control::CompletionKind::kNotRun, std::nullopt});
  }
  claims_.erase(found);
}

}  // namespace graniteseam::routing
