/// @file
/// The JSON bodies of the lease interface (docs/interface/servers.md), control's side.
#pragma once

#include <string>

#include "graniteseam/common/error.h"
#include "graniteseam/lease/grant.h"

namespace graniteseam::http {

/// Body of `POST /graniteseam/v1/lease`.
std::string ToJson(const lease::LeaseRequest& request);

/// Reads the answer's body and copies the order of the request that it answers.
/// @return kMalformedMessage when a member is missing or wrong, or another server answered.
Result<lease::LeaseAnswer> ReadLeaseAnswer(const std::string& json,
                                           const lease::LeaseRequest& request);

}  // namespace graniteseam::http
