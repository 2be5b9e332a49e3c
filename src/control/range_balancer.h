/// @file
/// Chooses owners for spans of keys by the load that routers report.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/update.h"
#include "src/traffic/key_range_table.h"

namespace graniteseam::control {

/// An instance that may own keys.
struct RangeCandidate {
  traffic::InstanceId id;
  ZoneName zone;
  double slots = 1;  ///< Scaled by its speed, relative to the mean of its service.
};

/// Keys of one bucket share a load figure.
inline constexpr std::uint32_t kKeysPerBucket = 16;
inline constexpr std::uint32_t kBucketCount = (traffic::kLastKey + 1) / kKeysPerBucket;

/// Keeps moves few and narrow: what moves has no owner for a moment, and its next owner is cold.
/// Deterministic; not thread safe; `now` never goes back.
class RangeBalancer {
 public:
  void TakeLoads(const std::vector<traffic::SpanLoad>& loads, Instant now);

  /// Divides a span that has no owner any more among the candidates, in proportion to slots, less
  /// for those that carry much already.
  std::vector<traffic::RangeAssignment> Divide(const traffic::KeyRange& range,
                                               const traffic::KeyRangeTable::Ranges& ranges,
                                               const std::vector<RangeCandidate>& candidates) const;

  /// The candidates that carry least, `count` at most.
  std::vector<RangeCandidate> Lightest(const traffic::KeyRangeTable::Ranges& ranges,
                                       std::vector<RangeCandidate> candidates,
                                       std::size_t count) const;

  /// Moves that even out the load, none when it is even enough.
  std::vector<traffic::RangeRelease> Rebalance(const ServiceName& service,
                                               const traffic::KeyRangeTable::Ranges& ranges,
                                               const std::vector<RangeCandidate>& candidates,
                                               Instant now);

 private:
  /// Requests a second in each bucket, as an exponentially weighted mean.
  struct ServiceLoad {
    std::vector<double> rate = std::vector<double>(kBucketCount, 0.0);
    std::vector<double> arrived = std::vector<double>(kBucketCount, 0.0);
    Instant window_start{};
    bool measured = false;
  };

  void CloseWindow(ServiceLoad& load, Instant now);
  /// The load of a span, with a share for its mere size, so that cold keys count a little.
  double LoadOf(const ServiceName& service, const traffic::KeySpan& span) const;
  std::map<traffic::InstanceId, double> OwnerLoads(
      const ServiceName& service, const traffic::KeyRangeTable::Ranges& ranges) const;
  std::optional<traffic::RangeRelease> NextMove(
      const ServiceName& service, traffic::KeyRangeTable::Ranges& ranges,
      const std::vector<RangeCandidate>& candidates) const;
  /// A piece of a range, from its start or end, that carries about `wanted`.
  std::optional<traffic::KeySpan> PieceOf(const traffic::KeyRange& range, double wanted) const;

  std::map<ServiceName, ServiceLoad> loads_;
  std::map<ServiceName, Instant> last_move_;
};

}  // namespace graniteseam::control
