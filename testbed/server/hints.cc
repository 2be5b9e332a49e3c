#include "testbed/server/hints.h"

namespace graniteseam::testbed {

Hint LaggingHints::Exchange(const Hint& current, Instant now) {
  const std::lock_guard lock(mutex_);
  looks_.push_back({now, current});
  while (looks_.size() > 1 && looks_[1].taken + lag_ <= now) looks_.pop_front();
  return looks_.front().hint;
}

}  // namespace graniteseam::testbed
