/// @file
/// Requests that wait for tokens of owners with a rate limit.
#pragma once

#include <map>
#include <vector>

#include "graniteseam/traffic/instance.h"
#include "src/gateway/gateway_events.h"

namespace graniteseam::gateway {

/// Waiting requests with the instance that each waits for. Not thread safe.
class LimitQueue {
 public:
  /// The number of tokens wanted of one instance.
  struct Wanted {
    traffic::InstanceId instance;
    std::uint32_t requests = 0;
  };

  /// Adds a request; adding it again has no effect.
  auto add(traffic::InstanceId const& instance, RequestNumber request) -> void;
  /// Removes a request; without effect when it does not wait.
  auto remove(RequestNumber request) -> void;

  /// Returns the number of tokens to request for each instance, and marks all waiting requests as
  /// asked for.
  auto take_wanted() -> std::vector<Wanted>;
  /// Waiting requests whose tokens were requested.
  auto requested_for(traffic::InstanceId const& instance) const -> std::vector<RequestNumber>;

 private:
  struct Waiting {
    traffic::InstanceId instance;
    bool asked = false;
  };

  std::map<RequestNumber, Waiting> m_waiting;
};

}  // namespace graniteseam::gateway
