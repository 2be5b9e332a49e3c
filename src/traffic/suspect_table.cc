#include "src/traffic/suspect_table.h"

#include <algorithm>
#include <utility>

namespace graniteseam::traffic {
namespace {

/// Each takes about 100 bytes in every router and in every message with the whole list.
constexpr std::size_t kSuspectsMaximum = 256;

}  // namespace

void SuspectTable::Record(const std::vector<SuspectRequest>& suspects, std::uint64_t log_index) {
  for (const SuspectRequest& suspect : suspects) {
    SuspectRequest& recorded = suspects_[suspect.digest];
    recorded = suspect;
    recorded.changed_at = log_index;
    EvictOldest();
  }
  changed_at_ = log_index;
}

void SuspectTable::Clear(const std::vector<RequestDigest>& digests, std::uint64_t log_index) {
  for (const RequestDigest digest : digests) suspects_.erase(digest);
  changed_at_ = log_index;
}

const SuspectRequest* SuspectTable::Find(RequestDigest digest) const {
  const auto found = suspects_.find(digest);
  return found == suspects_.end() ? nullptr : &found->second;
}

std::vector<SuspectRequest> SuspectTable::All() const {
  std::vector<SuspectRequest> all;
  all.reserve(suspects_.size());
  for (const auto& [digest, suspect] : suspects_) all.push_back(suspect);
  return all;
}

void SuspectTable::Restore(const SuspectImage& image) {
  suspects_.clear();
  for (const SuspectRequest& suspect : image.suspects) suspects_[suspect.digest] = suspect;
  changed_at_ = image.changed_at;
}

void SuspectTable::EvictOldest() {
  if (suspects_.size() <= kSuspectsMaximum) return;
  // Quarantined entries go last: once evicted, such a request would end further servers before it
  // is quarantined again.
  const auto eviction_rank = [](const SuspectRequest& suspect) {
    return std::pair(suspect.Quarantined(), suspect.changed_at);
  };
  const auto oldest =
      std::min_element(suspects_.begin(), suspects_.end(), [&](const auto& a, const auto& b) {
        return eviction_rank(a.second) < eviction_rank(b.second);
      });
  suspects_.erase(oldest);
}

}  // namespace graniteseam::traffic
