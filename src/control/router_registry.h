/// @file
/// Which routers there are at present, by their polls.
#pragma once

#include <cstdint>
#include <map>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::control {

/// Places are worked out anew at intervals: a poll of each of a thousand routers must not look at
/// all of them. Not thread safe; `now` never goes back.
class RouterRegistry {
 public:
  /// @param now the start of the leadership: routers take a moment to find it.
  explicit RouterRegistry(Instant now) : start_(now) {}

  void RecordPoll(const RouterId& router, Instant now);

  /// Routers that were heard of lately; 0 while a new leader may not have heard of all.
  std::uint32_t Count(Instant now);
  /// A router's place among those, from 0 on, by their ids.
  std::uint32_t IndexOf(const RouterId& router, Instant now);

  /// Routers looked at so far, each as often as it was.
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
