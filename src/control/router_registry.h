/// @file
/// The active routers, derived from their polls.
#pragma once

#include <cstdint>
#include <map>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::control {

/// Indexes are recomputed at intervals, so that a poll of each of a thousand routers does not
/// iterate over all of them. Not thread safe; `now` never decreases.
class RouterRegistry {
 public:
  /// @param now start of the leadership: routers take a moment to discover it.
  explicit RouterRegistry(Instant now) : start_(now) {}

  /// Records that a router polled.
  void RecordPoll(const RouterId& router, Instant now);

  /// Number of routers that polled recently; 0 while a new leader may not have received a poll from
  /// all.
  std::uint32_t Count(Instant now);
  /// Index of a router among these, ordered by id, from 0.
  std::uint32_t IndexOf(const RouterId& router, Instant now);

  /// Number of router records evaluated so far; the cost of recounting.
  std::uint64_t router_evaluations() const { return router_evaluations_; }

 private:
  struct Router {
    Instant last_poll;
    std::uint32_t index = 0;
  };

  void Recount(Instant now);

  const Instant start_;
  std::map<RouterId, Router> routers_;
  std::uint32_t count_ = 0;
  Instant count_due_{};
  std::uint64_t router_evaluations_ = 0;
};

}  // namespace graniteseam::control
