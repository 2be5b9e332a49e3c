#include "src/gateway/live_requests.h"

#include <algorithm>

namespace graniteseam::gateway {
namespace {

auto place_of(LiveRequest const& request) -> WaitingPlace {
  return {request.priority, request.arrived.number};
}

}  // namespace

auto LiveRequests::add(ArrivedRequest const& arrived, Instant now) -> LiveRequest& {
  auto& request = m_requests[arrived.number];
  request.arrived = arrived;
  request.received = now;
  request.hold_from = now;
  m_untimed.insert(arrived.number);
  return request;
}

auto LiveRequests::find(RequestNumber number) -> LiveRequest* {
  auto const found = m_requests.find(number);
  return found == m_requests.end() ? nullptr : &found->second;
}

auto LiveRequests::erase(LiveRequest& request) -> void {
  auto const number = request.arrived.number;
  dequeue(request);
  m_timers.erase({request.timer, number});
  m_untimed.erase(number);
  m_unrouted.erase(number);
  m_requests.erase(number);
}

auto LiveRequests::numbers() const -> std::vector<RequestNumber> {
  std::vector<RequestNumber> numbers;
  for (auto const& [number, request] : m_requests) numbers.push_back(number);
  return numbers;
}

auto LiveRequests::set_timer(LiveRequest& request, Instant at) -> void {
  auto const number = request.arrived.number;
  m_timers.erase({request.timer, number});
  if (at == Instant{}) {
    request.timer = {};
    m_untimed.insert(number);
    return;
  }
  request.timer = std::min(at, request.give_up);
  m_timers.insert({request.timer, number});
  m_untimed.erase(number);
}

auto LiveRequests::take_due(Instant now) -> LiveRequest* {
  if (m_timers.empty() || m_timers.begin()->first > now) return nullptr;
  auto& request = m_requests.at(m_timers.begin()->second);
  set_timer(request, {});
  return &request;
}

auto LiveRequests::next_timer() const -> Instant {
  return m_timers.empty() ? Instant::max() : m_timers.begin()->first;
}

auto LiveRequests::find_untimed() -> LiveRequest* {
  return m_untimed.empty() ? nullptr : &m_requests.at(*m_untimed.begin());
}

auto LiveRequests::enqueue(LiveRequest& request) -> void {
  request.waiting = true;
  m_queues[request.service].insert(place_of(request));
}

auto LiveRequests::dequeue(LiveRequest& request) -> void {
  if (!request.waiting) return;
  m_queues[request.service].erase(place_of(request));
  request.waiting = false;
}

auto LiveRequests::queue_of(ServiceName const& service) const -> std::vector<WaitingPlace> {
  auto const queue = m_queues.find(service);
  if (queue == m_queues.end()) return {};
  return {queue->second.begin(), queue->second.end()};
}

auto LiveRequests::queue_size(ServiceName const& service) const -> std::size_t {
  auto const queue = m_queues.find(service);
  return queue == m_queues.end() ? 0 : queue->second.size();
}

auto LiveRequests::queued_services() const -> std::vector<ServiceName> {
  std::vector<ServiceName> services;
  services.reserve(m_queues.size());
  for (auto const& [service, queue] : m_queues) services.push_back(service);
  return services;
}

auto LiveRequests::add_unrouted(LiveRequest const& request) -> void {
  m_unrouted.insert(request.arrived.number);
}

auto LiveRequests::is_unrouted(LiveRequest const& request) const -> bool {
  return m_unrouted.contains(request.arrived.number);
}

}  // namespace graniteseam::gateway
