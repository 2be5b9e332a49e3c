/// @file
/// The suspect requests, which were running on instances when these ended: part of the replicated
/// state.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <map>
#include <vector>

#include "graniteseam/traffic/suspect.h"

namespace graniteseam::traffic {

/// Snapshot of a SuspectTable.
struct SuspectImage {
  std::vector<SuspectRequest> suspects;
  std::uint64_t changed_at = 0;
};
BOOST_DESCRIBE_STRUCT(SuspectImage, (), (suspects, changed_at))

/// The suspect requests. They are replicated so that neither a new leader nor a restarted router
/// admits a request that has ended its servers. Bounded: the entry with the oldest change is
/// evicted first, quarantined entries after all others. Not thread safe.
class SuspectTable {
 public:
  /// Inserts or replaces entries; evicts the oldest beyond the limit.
  void Record(const std::vector<SuspectRequest>& suspects, std::uint64_t log_index);
  /// Removes entries; unknown digests are ignored.
  void Clear(const std::vector<RequestDigest>& digests, std::uint64_t log_index);

  /// @return null when the request is not a suspect.
  const SuspectRequest* Find(RequestDigest digest) const;
  const std::map<RequestDigest, SuspectRequest>& suspects() const { return suspects_; }
  /// Log index of the last change.
  std::uint64_t changed_at() const { return changed_at_; }

  /// All suspects. There are few, so updates to routers always contain the whole list.
  std::vector<SuspectRequest> All() const;

  SuspectImage Image() const { return {All(), changed_at_}; }
  void Restore(const SuspectImage& image);

 private:
  void EvictOldest();

  std::map<RequestDigest, SuspectRequest> suspects_;
  std::uint64_t changed_at_ = 0;
};

}  // namespace graniteseam::traffic
