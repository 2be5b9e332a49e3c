/// @file
/// A list of addresses that is seen as it was some time ago.
#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "graniteseam/common/time.h"

namespace graniteseam::testbed {

/// Those who look at the list do not see a change before `lag` has passed. Thread safe.
class LaggingList {
 public:
  LaggingList(std::vector<std::string> addresses, Duration lag);

  auto Change(std::vector<std::string> addresses) -> void;
  auto Addresses() const -> std::vector<std::string>;

 private:
  struct Version {
    Instant since{};
    std::vector<std::string> addresses;
  };

  Duration const lag_;
  mutable std::mutex mutex_;
  std::vector<Version> versions_;  ///< In the order of their times; never empty.
};

}  // namespace graniteseam::testbed
