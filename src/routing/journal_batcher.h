/// @file
/// The router's side of the operation journal: batches claims and completions, sends them again
/// until they are answered, and forgets nothing in between. See docs/design/operation-journal.md.
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

/// Collects journal work into batches.
///
/// A batch goes out as soon as fewer than kInFlightMaximum are unanswered, so that under load
/// claims gather while others are committed. A claim may be committed long after its request was
/// given up: an abandoned claim that turns out to be granted is completed as not run, after its
/// result, so that the two can not overtake each other. Not thread safe.
class JournalBatcher {
 public:
  explicit JournalBatcher(RouterId router) : router_(std::move(router)) {}

  void AddClaim(control::ClaimRequest claim);
  /// Nobody waits for this claim any more; nothing was or will be sent under it.
  void AbandonClaim(std::uint64_t claim);
  void AddCompletion(control::Completion completion);

  /// The batches to send now: new ones, and those unanswered for too long.
  std::vector<control::JournalRequest> Due(Instant now);
  /// When Due() must be asked again, if no event comes before.
  std::optional<Instant> NextDue() const;
  /// Sends all unanswered batches again, for a new connection or leader.
  void Resend();

  /// Takes an answer.
  /// @return the results of claims that are still waited for.
  std::vector<control::ClaimResult> OnAnswer(const control::JournalAnswer& answer);

  std::size_t claims_waiting() const { return claims_.size(); }
  bool Idle() const { return in_flight_.empty() && unsent_completions_.empty() && claims_.empty(); }

 private:
  static constexpr std::size_t kInFlightMaximum = 4;
  static constexpr std::size_t kBatchMaximum = 256;
  /// Beyond it the oldest is dropped: its operation then stays claimed, and a resend is told
  /// outcome_unknown, which is true.
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
