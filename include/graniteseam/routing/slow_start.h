/// @file
/// Slow start: ramps up a new server's share of requests.
#pragma once

#include "graniteseam/common/time.h"

namespace graniteseam::routing {

/// Weight of a server that accepts work since `since`: grows over `length` linearly from `floor`
/// to 1. Stateless, so that it needs no timer.
struct SlowStart {
  Duration length{5'000'000};
  double floor = 0.1;

  double Weight(Instant since, Instant now) const {
    if (length <= Duration{0} || now - since >= length) return 1.0;
    const double part =
        static_cast<double>((now - since).count()) / static_cast<double>(length.count());
    return part > floor ? part : floor;
  }
};

}  // namespace graniteseam::routing
