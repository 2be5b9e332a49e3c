/// @file
/// The requests under which instances ended: part of the replicated state.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <map>
#include <vector>

#include "graniteseam/traffic/suspect.h"

namespace graniteseam::traffic {

/// All of a SuspectTable, for snapshots.
struct SuspectImage {
  std::vector<SuspectRequest> suspects;
  std::uint64_t changed_at = 0;
};
BOOST_DESCRIBE_STRUCT(SuspectImage, (), (suspects, changed_at))

/// Replicated, so that neither a new leader nor a router that starts again lets a request through
/// which has ended its servers. Bounded: the ones that changed longest ago are forgotten, and
/// quarantined ones after all others. Not thread safe.
class SuspectTable {
 public:
  void Record(const std::vector<SuspectRequest>& suspects, std::uint64_t log_index);
  void Clear(const std::vector<RequestDigest>& digests, std::uint64_t log_index);

  /// @return null when the request is not suspected.
  const SuspectRequest* Find(RequestDigest digest) const;
  const std::map<RequestDigest, SuspectRequest>& suspects() const { return suspects_; }
  /// Log index of the newest change.
  std::uint64_t changed_at() const { return changed_at_; }

  /// All suspects; there are few, so that routers are told the whole.
  std::vector<SuspectRequest> All() const;

  SuspectImage Image() const { return {All(), changed_at_}; }
  void Restore(const SuspectImage& image);

 private:
  void EvictOldest();

  std::map<RequestDigest, SuspectRequest> suspects_;
  std::uint64_t changed_at_ = 0;
};

}  // namespace graniteseam::traffic
