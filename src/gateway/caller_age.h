/// @file
/// Estimates how long a caller has been trying, from the time that its request states to be left.
#pragma once

#include <cstddef>
#include <deque>
#include <map>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/configuration.h"

namespace graniteseam::gateway {

/// Callers state how long they will wait. At their first attempts they state similar times, and
/// less when they come back after a refusal, so the stated time tells the two apart. Without this,
/// a request that is late already takes the place of one that can still be in time.
///
/// Not thread safe.
class CallerAge {
 public:
  /// Records the time that a request states, and estimates its age.
  /// @return zero for a first attempt, and where callers state too different times to tell.
  auto age_of(traffic::RouteName const& route, Duration stated) -> Duration;

 private:
  /// Newest stated times of a route, and the range of first attempts as of the last evaluation.
  struct Route {
    std::deque<Duration> stated;
    std::size_t since_evaluation = 0;
    Duration lowest{};  ///< Less than this is stated by callers that came back.
    Duration middle{};
  };

  static auto evaluate(Route& route) -> void;

  std::map<traffic::RouteName, Route> m_routes;
};

}  // namespace graniteseam::gateway
