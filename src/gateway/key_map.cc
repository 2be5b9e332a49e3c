#include "src/gateway/key_map.h"

#include <iterator>

namespace graniteseam::gateway {

void KeyMap::Apply(const traffic::TrafficUpdate& update) {
  if (update.base == 0) services_.clear();
  for (const traffic::KeyRange& range : update.ranges) Override(services_[range.service], range);
}

/// Removes the new span from existing ranges, then inserts the new range.
void KeyMap::Override(Ranges& ranges, const traffic::KeyRange& range) {
  const traffic::KeySpan span = range.span;
  auto at = ranges.upper_bound(span.first);
  if (at != ranges.begin()) --at;
  while (at != ranges.end() && at->second.span.first <= span.last) {
    const traffic::KeyRange old = at->second;
    if (old.span.last < span.first) {
      ++at;
      continue;
    }
    at = ranges.erase(at);
    if (old.span.first < span.first) {
      traffic::KeyRange before = old;
      before.span.last = span.first - 1;
      ranges.emplace(before.span.first, before);
    }
    if (old.span.last > span.last) {
      traffic::KeyRange after = old;
      after.span.first = span.last + 1;
      at = std::next(ranges.emplace(after.span.first, after).first);
    }
  }
  ranges[span.first] = range;
}

void KeyMap::MarkOwnerStale(const traffic::KeyRange& range, Instant until) {
  stale_owners_[range.service][range.span.first] = {range.fence, until};
}

bool KeyMap::IsOwnerStale(const traffic::KeyRange& range, Instant now) const {
  const auto service = stale_owners_.find(range.service);
  if (service == stale_owners_.end()) return false;
  const auto found = service->second.find(range.span.first);
  return found != service->second.end() && found->second.fence == range.fence &&
         now < found->second.until;
}

const traffic::KeyRange* KeyMap::Find(const ServiceName& service, std::uint32_t key) const {
  const auto ranges = services_.find(service);
  if (ranges == services_.end()) return nullptr;
  const auto after = ranges->second.upper_bound(key);
  if (after == ranges->second.begin()) return nullptr;
  const traffic::KeyRange& range = std::prev(after)->second;
  return range.span.Contains(key) ? &range : nullptr;
}

}  // namespace graniteseam::gateway
