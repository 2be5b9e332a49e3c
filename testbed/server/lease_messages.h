/// @file
/// The JSON of the lease exchange (docs/interface/servers.md), from the server's side.
#pragma once

#include <string>

#include "graniteseam/common/error.h"
#include "graniteseam/lease/grant.h"

namespace graniteseam::testbed {

/// @return kMalformedMessage when a field is missing or has another type.
Result<lease::LeaseRequest> ParseLeaseRequest(const std::string& body);

std::string FormatLeaseAnswer(const lease::LeaseAnswer& answer);

}  // namespace graniteseam::testbed
