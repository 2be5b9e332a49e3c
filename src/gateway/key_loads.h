/// @file
/// Counts the requests for each key since the last poll.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "graniteseam/traffic/update.h"

namespace graniteseam::gateway {

/// Request counts by service and key. Not thread safe.
class KeyLoads {
 public:
  auto count(ServiceName const& service, std::uint32_t key) -> void {
    auto& requests = m_requests[service][key];
    ++requests;
    m_is_urgent = m_is_urgent || requests >= kUrgentRequests;
  }

  /// Whether some key got so many requests that control should be polled at once.
  auto is_urgent() const -> bool { return m_is_urgent; }

  /// Returns the counts since the last call and clears them.
  auto take() -> std::vector<traffic::ServiceLoads> {
    std::vector<traffic::ServiceLoads> all;
    for (auto const& [service, keys] : m_requests) {
      auto& loads = all.emplace_back();
      loads.service = service;
      for (auto const& [key, requests] : keys) loads.keys.push_back({key, requests});
    }
    m_requests.clear();
    m_is_urgent = false;
    return all;
  }

 private:
  /// Requests for one key between two polls from which on a poll is urgent.
  static constexpr std::uint32_t kUrgentRequests = 3;

  std::map<ServiceName, std::map<std::uint32_t, std::uint32_t>> m_requests;  ///< By key.
  bool m_is_urgent = false;
};

}  // namespace graniteseam::gateway
