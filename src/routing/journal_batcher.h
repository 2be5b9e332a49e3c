/// @file
/// The router's client of the operation journal: batches claims and completions and resends each
/// batch until it is answered. See docs/design/operation-journal.md.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "graniteseam/control/router_messages.h"

namespace graniteseam::routing {

/// Collects claims and completions into batches.
///
/// A batch is sent as soon as fewer than kInFlightMaximum are unanswered, so that under load claims
/// accumulate while others are committed. A claim may be committed long after its request was
/// abandoned: an abandoned claim that is granted is completed as not run, after its result has
/// arrived, so that claim and completion cannot be reordered. Not thread safe.
class JournalBatcher {
 public:
  explicit JournalBatcher(RouterId router) : router_(std::move(router)) {}

  void AddClaim(control::ClaimRequest claim);
  /// Abandons a claim; no attempt was or will be sent under it.
  void AbandonClaim(std::uint64_t claim);
  void AddCompletion(control::Completion completion);

  /// Marks as sent and returns the batches that are due: new ones, and those unanswered for
  /// kResendAfter.
  std::vector<control::JournalRequest> TakeDue(Instant now);
  /// The time of the next TakeDue() call if no event occurs earlier.
  std::optional<Instant> NextDue() const;
  /// Marks all unanswered batches to be sent again, after a new connection or leader.
  void Resend();

  /// Processes an answer.
  /// @return the results of claims that were not abandoned.
  std::vector<control::ClaimResult> OnAnswer(const control::JournalAnswer& answer);

  std::size_t claims_waiting() const { return claims_.size(); }
  bool Idle() const { return in_flight_.empty() && unsent_completions_.empty() && claims_.empty(); }

 private:
  static constexpr std::size_t kInFlightMaximum = 4;
  static constexpr std::size_t kBatchMaximum = 256;
  /// Beyond this the oldest is dropped: its operation then stays claimed, and a resend correctly
  /// gets outcome_unknown.
  static constexpr std::size_t kCompletionsMaximum = 10'000;
  static constexpr Duration kResendAfter{200'000};

  struct Claim {
    control::ClaimRequest request;
    bool sent = false;
    bool abandoned = false;
  };
  struct Batch {
    control::JournalRequest request;
    Instant sent_at{};
    bool resend = false;
  };

  std::optional<control::JournalRequest> NextBatch(Instant now);
  void TakeResult(const control::ClaimResult& result,
                  std::vector<control::ClaimResult>& waited_for);

  RouterId router_;
  std::uint64_t last_sequence_ = 0;
  std::unordered_map<std::uint64_t, Claim> claims_;  ///< By claim number, until answered.
  std::deque<std::uint64_t> unsent_claims_;
  std::deque<control::Completion> unsent_completions_;
  std::map<std::uint64_t, Batch> in_flight_;  ///< By sequence.
};

}  // namespace graniteseam::routing
