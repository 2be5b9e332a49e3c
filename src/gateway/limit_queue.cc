#include "src/gateway/limit_queue.h"

namespace graniteseam::gateway {

auto LimitQueue::add(traffic::InstanceId const& instance, RequestNumber request) -> void {
  auto& waiting = m_waiting[request];
  // The key may have moved to another owner meanwhile.
  if (waiting.instance != instance) waiting = {instance, false};
}

auto LimitQueue::remove(RequestNumber request) -> void { m_waiting.erase(request); }

auto LimitQueue::take_wanted() -> std::vector<Wanted> {
  std::map<traffic::InstanceId, std::uint32_t> counts;
  for (auto& [request, waiting] : m_waiting) {
    waiting.asked = true;
    ++counts[waiting.instance];
  }
  std::vector<Wanted> wanted;
  wanted.reserve(counts.size());
  for (auto const& [instance, count] : counts) wanted.push_back({instance, count});
  return wanted;
}

auto LimitQueue::requested_for(traffic::InstanceId const& instance) const
    -> std::vector<RequestNumber> {
  std::vector<RequestNumber> requests;
  for (auto const& [request, waiting] : m_waiting) {
    if (waiting.asked && waiting.instance == instance) requests.push_back(request);
  }
  return requests;
}

}  // namespace graniteseam::gateway
