#include "src/http/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace graniteseam::http {

std::unique_ptr<UpstreamConnection> UpstreamPool::Take(const std::string& address, Instant now) {
  for (;;) {
    std::unique_ptr<UpstreamConnection> connection;
    {
      const std::lock_guard lock(mutex_);
      const auto found = by_address_.find(address);
      if (found == by_address_.end() || found->second.empty()) return nullptr;
      std::vector<Idle>& idle = found->second;
      const auto own = std::find_if(idle.rbegin(), idle.rend(), [](const Idle& candidate) {
        return candidate.user == std::this_thread::get_id();
      });
      const auto taken = own == idle.rend() ? std::prev(idle.end()) : std::prev(own.base());
      const bool fresh = now - taken->since < idle_;
      connection = std::move(taken->connection);
      idle.erase(taken);
      if (!fresh) continue;
    }
    if (connection->Reusable()) return connection;
  }
}

void UpstreamPool::Keep(const std::string& address, std::unique_ptr<UpstreamConnection> connection,
                        Instant now) {
  const std::lock_guard lock(mutex_);
  std::vector<Idle>& idle = by_address_[address];
  if (idle.size() < kIdlePerAddressMaximum) {
    idle.push_back({std::move(connection), now, std::this_thread::get_id()});
  }
}

void UpstreamPool::Reap(Instant now) {
  std::vector<Idle> old;  // Closed after the lock is let go.
  const std::lock_guard lock(mutex_);
  for (auto entry = by_address_.begin(); entry != by_address_.end();) {
    std::vector<Idle>& idle = entry->second;
    const auto young = std::find_if(idle.begin(), idle.end(), [&](const Idle& candidate) {
      return now - candidate.since < idle_;
    });
    std::move(idle.begin(), young, std::back_inserter(old));
    idle.erase(idle.begin(), young);
    entry = idle.empty() ? by_address_.erase(entry) : std::next(entry);
  }
}

std::size_t UpstreamPool::size() const {
  const std::lock_guard lock(mutex_);
  std::size_t count = 0;
  for (const auto& [address, idle] : by_address_) count += idle.size();
  return count;
}

}  // namespace graniteseam::http
