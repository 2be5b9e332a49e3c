/// @file
/// Bounds retries to a fraction of first attempts, so that retries cannot amplify an overload.
#pragma once

namespace graniteseam::routing {

/// Limits of a retry budget, in retries.
struct RetryBudgetOptions {
  double retries_per_request = 0.1;  ///< Credited for each first attempt.
  double balance_maximum = 20.0;     ///< Longest burst of retries.
};

/// A token bucket filled by first attempts instead of by time (Finagle's RetryBudget; "The Site
/// Reliability Workbook", chapter 22). Over any span the retries are at most `balance_maximum` plus
/// `retries_per_request` times the first attempts. Not thread safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {})
      : options_(options), balance_(options.balance_maximum) {}

  void OnFirstAttempt();
  /// Takes one retry out of the budget.
  /// @return false when the balance is below one retry.
  bool TryTake();
  double balance() const { return balance_; }

 private:
  RetryBudgetOptions options_;
  double balance_;
};

}  // namespace graniteseam::routing
