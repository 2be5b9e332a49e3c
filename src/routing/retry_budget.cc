#include "graniteseam/routing/retry_budget.h"

#include <algorithm>

namespace graniteseam::routing {

void RetryBudget::OnFirstAttempt() {
  balance_ = std::min(options_.balance_maximum, balance_ + options_.retries_per_request);
}

bool RetryBudget::TryTake() {
  if (balance_ < 1.0) return false;
  balance_ -= 1.0;
  return true;
}

}  // namespace graniteseam::routing
