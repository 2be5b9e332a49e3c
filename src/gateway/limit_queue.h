/// @file
/// Requests that wait for tokens of owners that name a limit.
#pragma once

#include <map>
#include <vector>

#include "graniteseam/traffic/instance.h"
#include "src/gateway/gateway_events.h"

namespace graniteseam::gateway {

/// Not thread safe.
class LimitQueue {
 public:
  struct Wanted {
    traffic::InstanceId instance;
    std::uint32_t requests = 0;
  };

  /// Has a request wait, once however often it is added.
  auto add(traffic::InstanceId const& instance, RequestNumber request) -> void;
  auto remove(RequestNumber request) -> void;

  /// What to ask for now, for all that wait.
  auto ask() -> std::vector<Wanted>;
  /// Those that were asked for and still wait.
  auto requested_for(traffic::InstanceId const& instance) const -> std::vector<RequestNumber>;

 private:
  struct Waiting {
    traffic::InstanceId instance;
    bool asked = false;
  };

  std::map<RequestNumber, Waiting> m_waiting;
};

}  // namespace graniteseam::gateway
