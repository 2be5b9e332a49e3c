/// @file
/// Requests that wait for single tokens of their tenants' quotas.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "graniteseam/traffic/quota.h"
#include "src/gateway/gateway_events.h"

namespace graniteseam::gateway {

/// One queue for each tenant, oldest first. Not thread safe.
class TokenQueue {
 public:
  auto add(traffic::TenantName const& tenant, RequestNumber request) -> void;
  /// Removes a request; without effect when it does not wait.
  auto remove(traffic::TenantName const& tenant, RequestNumber request) -> void;
  auto contains(RequestNumber request) const -> bool { return m_waiting.contains(request); }

  auto size() const -> std::size_t { return m_waiting.size(); }
  /// The number of waiting requests of each tenant.
  auto wanted() const -> std::vector<traffic::TenantCount>;
  /// Removes and returns the oldest requests of a tenant, at most `count`.
  auto take(traffic::TenantName const& tenant, std::size_t count) -> std::vector<RequestNumber>;

 private:
  std::map<traffic::TenantName, std::deque<RequestNumber>> m_queues;
  std::set<RequestNumber> m_waiting;
};

}  // namespace graniteseam::gateway
