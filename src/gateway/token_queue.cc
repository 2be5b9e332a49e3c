#include "src/gateway/token_queue.h"

#include <algorithm>

namespace graniteseam::gateway {

auto TokenQueue::add(traffic::TenantName const& tenant, RequestNumber request) -> void {
  m_queues[tenant].push_back(request);
  m_waiting.insert(request);
}

auto TokenQueue::remove(traffic::TenantName const& tenant, RequestNumber request) -> void {
  if (m_waiting.erase(request) == 0) return;
  auto const queue = m_queues.find(tenant);
  std::erase(queue->second, request);
  if (queue->second.empty()) m_queues.erase(queue);
}

auto TokenQueue::wanted() const -> std::vector<traffic::TenantCount> {
  std::vector<traffic::TenantCount> wanted;
  for (auto const& [tenant, queue] : m_queues)
    wanted.push_back({tenant, static_cast<std::uint32_t>(queue.size())});
  return wanted;
}

auto TokenQueue::take(traffic::TenantName const& tenant, std::size_t count)
    -> std::vector<RequestNumber> {
  std::vector<RequestNumber> taken;
  auto const queue = m_queues.find(tenant);
  while (queue != m_queues.end() && taken.size() < count && !queue->second.empty()) {
    taken.push_back(queue->second.front());
    m_waiting.erase(taken.back());
    queue->second.pop_front();
  }
  if (queue != m_queues.end() && queue->second.empty()) m_queues.erase(queue);
  return taken;
}

}  // namespace graniteseam::gateway
