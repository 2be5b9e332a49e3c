/// @file
/// Identifies callers' requests by their content, independent of the sender and of retries.
#pragma once

#include "graniteseam/common/ids.h"

namespace graniteseam::traffic {

/// A hash of the parts of a request that a server acts on: method, host, target, key and body. Two
/// requests with the same digest make a server do the same work; ids, deadlines and connections are
/// excluded. 63 bits wide, so that it can be encoded as a signed number; 0 means unknown.
using RequestDigest = NumericId<struct RequestDigestTag>;

}  // namespace graniteseam::traffic
