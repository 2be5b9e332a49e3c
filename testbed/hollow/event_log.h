/// @file
/// What hollow nodes note down for the scale run, with times of CLOCK_BOOTTIME, which all processes
/// of one machine share.
#pragma once

#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "graniteseam/common/time.h"

namespace graniteseam::testbed {

/// Thread safe.
class EventLog {
 public:
  void Add(nlohmann::json event) {
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
  }
  /// Hands out what came since the last call.
  nlohmann::json Take() {
    const std::lock_guard lock(mutex_);
    return std::exchange(events_, nlohmann::json::array());
  }

 private:
  std::mutex mutex_;  ///< Guards events_.
  nlohmann::json events_ = nlohmann::json::array();
};

}  // namespace graniteseam::testbed
