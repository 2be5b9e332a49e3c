/// @file
/// A new server's share of new work grows from little to full.
#pragma once

#include "graniteseam/common/time.h"

namespace graniteseam::routing {

/// Weight of a server that began to take work at `since`: grows linearly from `floor` to 1.
/// Stateless, so that it needs no timer.
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
