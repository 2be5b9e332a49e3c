#include "src/traffic/key_range_table.h"

#include <algorithm>
#include <utility>

namespace graniteseam::traffic {

void KeyRangeTable::AddService(const ServiceName& service, std::uint64_t log_index) {
  if (services_.contains(service)) return;
  KeyRange all;
  all.service = service;
  all.span = {0, kLastKey};
  all.changed_at = log_index;
  services_[service].emplace(0, all);
  changed_at_ = log_index;
  urgent_changed_at_ = log_index;
}

const KeyRange* KeyRangeTable::Find(const ServiceName& service, std::uint32_t key) const {
  const auto ranges = services_.find(service);
  if (ranges == services_.end()) return nullptr;
  auto after = ranges->second.upper_bound(key);
  if (after == ranges->second.begin()) return nullptr;
  const KeyRange& range = std::prev(after)->second;
  return range.span.Contains(key) ? &range : nullptr;
}

KeyRange* KeyRangeTable::SplitOut(const ServiceName& service, const KeySpan& span, Fence expected,
                                  std::uint64_t log_index) {
  if (span.first > span.last || span.last > kLastKey) return nullptr;
  const KeyRange* holder = Find(service, span.first);
  if (holder == nullptr || !holder->span.Contains(span.last) || holder->fence != expected) {
    return nullptr;
  }
  Ranges& ranges = services_.at(service);
  const KeyRange whole = *holder;
  ranges.erase(whole.span.first);
  if (whole.span.first < span.first) {
    KeyRange before = whole;
    before.span.last = span.first - 1;
    ranges.emplace(before.span.first, before);
  }
  if (span.last < whole.span.last) {
    KeyRange after = whole;
    after.span.first = span.last + 1;
    ranges.emplace(after.span.first, after);
  }
  KeyRange cut = whole;
  cut.span = span;
  cut.changed_at = log_index;
  changed_at_ = log_index;
  return &ranges.emplace(span.first, cut).first->second;
}

bool KeyRangeTable::Assign(const RangeAssignment& assignment, std::uint64_t log_index) {
  KeyRange* range = SplitOut(assignment.service, assignment.span, assignment.expected, log_index);
  if (range == nullptr) return false;
  if (range->phase != RangePhase::kReleasing) urgent_changed_at_ = log_index;
  range->phase = assignment.owner.Empty() ? RangePhase::kUnowned : RangePhase::kGranting;
  range->owner = assignment.owner;
  range->successor = {};
  range->handover = assignment.handover;
  // The log index is greater than all earlier fences.
  range->fence = Fence{log_index};
  return true;
}

bool KeyRangeTable::BeginRelease(const RangeRelease& release, std::uint64_t log_index) {
  const KeyRange* holder = Find(release.service, release.span.first);
  const bool owned = holder != nullptr && (holder->phase == RangePhase::kServing ||
                                           holder->phase == RangePhase::kGranting);
  if (!owned) return false;
  KeyRange* range = SplitOut(release.service, release.span, release.expected, log_index);
  if (range == nullptr) return false;
  urgent_changed_at_ = log_index;
  range->phase = RangePhase::kReleasing;
  range->successor = release.successor;
  range->handover.clear();
  // Greater than the fence of any grant in transit, so that the server rejects late grants.
  range->fence = Fence{log_index};
  return true;
}

bool KeyRangeTable::Confirm(const RangeConfirmation& confirmation, std::uint64_t log_index) {
  const KeyRange* holder = Find(confirmation.service, confirmation.span.first);
  if (holder == nullptr || holder->phase != RangePhase::kGranting) return false;
  KeyRange* range =
      SplitOut(confirmation.service, confirmation.span, confirmation.fence, log_index);
  if (range == nullptr) return false;
  urgent_changed_at_ = log_index;
  range->phase = RangePhase::kServing;
  range->handover.clear();
  MergeNeighbours(confirmation.service, range->span.first);
  return true;
}

/// Merges a serving range with neighbours of the same owner and fence, to renew fewer ranges.
void KeyRangeTable::MergeNeighbours(const ServiceName& service, std::uint32_t first) {
  Ranges& ranges = services_.at(service);
  const auto joins = [](const KeyRange& a, const KeyRange& b) {
    return a.phase == RangePhase::kServing && b.phase == RangePhase::kServing &&
           a.owner == b.owner && a.fence == b.fence;
  };
  auto range = ranges.find(first);
  if (range != ranges.begin() && joins(std::prev(range)->second, range->second)) {
    auto before = std::prev(range);
    before->second.span.last = range->second.span.last;
    before->second.changed_at = range->second.changed_at;
    ranges.erase(range);
    range = before;
  }
  const auto after = std::next(range);
  if (after == ranges.end() || !joins(range->second, after->second)) return;
  range->second.span.last = after->second.span.last;
  range->second.changed_at = std::max(range->second.changed_at, after->second.changed_at);
  ranges.erase(after);
}

void KeyRangeTable::AddChanges(std::uint64_t base, std::vector<KeyRange>& changed) const {
  for (const auto& [service, ranges] : services_) {
    for (const auto& [first, range] : ranges) {
      if (range.changed_at <= base) continue;
      KeyRange& sent = changed.emplace_back(range);
      // Routers send requests only to a serving owner. Each range is sent to each router, and the
      // omitted fields are most of a range's encoded size.
      sent.handover.clear();
      sent.successor = {};
      if (range.phase != RangePhase::kServing) sent.owner = {};
    }
  }
  std::stable_sort(changed.begin(), changed.end(), [](const KeyRange& a, const KeyRange& b) {
    return a.changed_at < b.changed_at;
  });
}

std::vector<KeyRange> KeyRangeTable::Image() const {
  std::vector<KeyRange> image;
  for (const auto& [service, ranges] : services_) {
    for (const auto& [first, range] : ranges) image.push_back(range);
  }
  return image;
}

void KeyRangeTable::Restore(const std::vector<KeyRange>& image) {
  services_.clear();
  changed_at_ = 0;
  for (const KeyRange& range : image) {
    services_[range.service].emplace(range.span.first, range);
    changed_at_ = std::max(changed_at_, range.changed_at);
  }
  urgent_changed_at_ = changed_at_;
}

}  // namespace graniteseam::traffic
