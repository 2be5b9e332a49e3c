/// @file
/// Bounds retries to a fraction of first attempts, so that retries can not multiply an overload.
#pragma once

namespace graniteseam::routing {

struct RetryBudgetOptions {
  double retries_per_request = 0.1;  ///< Earned by each first attempt.
  double balance_maximum = 20.0;     ///< Retries that can be saved up for a burst.
};

/// A token bucket filled by first attempts instead of by time (Finagle's RetryBudget; "The Site
/// Reliability Workbook", chapter 22). Over any span the retries are at most `balance_maximum` plus
/// `retries_per_request` times the first attempts. Not thread safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {})
      : options_(options), balance_(options.balance_maximum) {}

  void OnFirstAttempt();
  /// Takes one retry out, if there is one.
  bool TryTake();
  double balance() const { return balance_; }

 private:
  RetryBudgetOptions options_;
  double balance_;
};

}  // namespace graniteseam::routing
