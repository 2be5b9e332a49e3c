/// @file
/// The requests of a gateway, with their queues and timers.
#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "src/gateway/live_request.h"

namespace graniteseam::gateway {

/// Container of live requests.
///
/// Invariants: each queued or timed entry refers to a live request; a request has at most one
/// timer, the one in its `timer`, which is not later than its `give_up`; it is in its service's
/// queue exactly while its `waiting` is set. A request without a timer is listed as untimed: its
/// owner ends it before the event that it handles is over, because nothing else would.
/// Not thread safe. References stay valid until their request is erased.
class LiveRequests {
 public:
  /// Adds a request that was read at `now`.
  auto add(ArrivedRequest const& arrived, Instant now) -> LiveRequest&;
  /// @return null when there is no request of that number.
  auto find(RequestNumber number) -> LiveRequest*;
  auto at(RequestNumber number) -> LiveRequest& { return m_requests.at(number); }
  /// Removes a request with its timer and queue entry.
  auto erase(LiveRequest& request) -> void;
  auto size() const -> std::size_t { return m_requests.size(); }
  auto numbers() const -> std::vector<RequestNumber>;

  /// Replaces the request's timer.
  /// @param at is brought forward to its `give_up`; Instant{} for none.
  auto set_timer(LiveRequest& request, Instant at) -> void;
  /// Clears the timer of a due request and returns the request; null when none is due.
  auto take_due(Instant now) -> LiveRequest*;
  /// The earliest timer; Instant::max() when none is set.
  auto next_timer() const -> Instant;
  /// A request without a timer; null when each one has one.
  auto find_untimed() -> LiveRequest*;
  auto has_untimed() const -> bool { return !m_untimed.empty(); }

  auto enqueue(LiveRequest& request) -> void;
  auto dequeue(LiveRequest& request) -> void;
  /// The entries of a service's queue, in order.
  auto queue_of(ServiceName const& service) const -> std::vector<WaitingPlace>;
  auto queue_size(ServiceName const& service) const -> std::size_t;
  /// Services that ever had a queue.
  auto queued_services() const -> std::vector<ServiceName>;

  /// Adds a request that was read before the first configuration.
  auto add_unrouted(LiveRequest const& request) -> void;
  /// Whether a request still waits for the first configuration.
  auto is_unrouted(LiveRequest const& request) const -> bool;
  auto unrouted_size() const -> std::size_t { return m_unrouted.size(); }
  /// Returns the requests that wait for the first configuration, and clears their list.
  auto take_unrouted() -> std::set<RequestNumber> { return std::exchange(m_unrouted, {}); }

 private:
  std::map<RequestNumber, LiveRequest> m_requests;
  std::set<RequestNumber> m_unrouted;
  std::map<ServiceName, std::set<WaitingPlace>> m_queues;
  std::set<std::pair<Instant, RequestNumber>> m_timers;
  std::set<RequestNumber> m_untimed;
};

}  // namespace graniteseam::gateway
