/// @file
/// What tells two requests of callers apart, whoever sends them and however often.
#pragma once

#include "graniteseam/common/ids.h"

namespace graniteseam::traffic {

/// A hash of everything of a request that a server acts on: method, host, target, key and body. Two
/// requests with the same digest make a server do the same work; ids, deadlines and connections
/// have no part in it. 63 bits, so that it travels as a signed number; 0: not known.
using RequestDigest = NumericId<struct RequestDigestTag>;

}  // namespace graniteseam::traffic
