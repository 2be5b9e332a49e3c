/// @file
/// The requests that a gateway has, where they wait, and their timers.
#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "src/gateway/live_request.h"

namespace graniteseam::gateway {

/// Invariants: whatever waits or has a timer here is a live request; a request has one timer at
/// most, the one that it names; it waits in its service's queue exactly while its `waiting` is set.
/// Not thread safe. References hold until their request is erased.
class LiveRequests {
 public:
  /// Begins a request that was read at `now`.
  auto add(ArrivedRequest const& arrived, Instant now) -> LiveRequest&;
  /// @return null when there is none of that number.
  auto find(RequestNumber number) -> LiveRequest*;
  auto at(RequestNumber number) -> LiveRequest& { return m_requests.at(number); }
  /// Ends a request, with its timer and its place wherever it waits.
  auto erase(LiveRequest& request) -> void;
  auto size() const -> std::size_t { return m_requests.size(); }

  /// @param at Instant{} for none.
  auto set_timer(LiveRequest& request, Instant at) -> void;
  /// A request whose timer is due, without that timer; null when there is none.
  auto take_due(Instant now) -> LiveRequest*;
  auto next_timer() const -> Instant;

  auto enqueue(LiveRequest& request) -> void;
  auto dequeue(LiveRequest& request) -> void;
  /// The places in a service's queue, in their order.
  auto queue_of(ServiceName const& service) const -> std::vector<WaitingPlace>;
  auto queue_size(ServiceName const& service) const -> std::size_t;
  /// Services that had a queue at any time.
  auto queued_services() const -> std::vector<ServiceName>;

  /// Requests that were read before the first configuration came.
  auto add_unrouted(LiveRequest const& request) -> void;
  auto is_unrouted(LiveRequest const& request) const -> bool;
  auto unrouted_size() const -> std::size_t { return m_unrouted.size(); }
  auto take_unrouted() -> std::set<RequestNumber> { return std::exchange(m_unrouted, {}); }

 private:
  std::map<RequestNumber, LiveRequest> m_requests;
  std::set<RequestNumber> m_unrouted;
  std::map<ServiceName, std::set<WaitingPlace>> m_queues;
  std::set<std::pair<Instant, RequestNumber>> m_timers;
};

}  // namespace graniteseam::gateway
