/// @file
/// A bundle as named fields, the basis of the canonical text and of the comparison of bundles.
#pragma once

#include <map>
#include <string>

#include "graniteseam/bundle/bundle.h"

namespace graniteseam::bundle {

/// Returns each field's value by its path, for example "services.billing.lease_ms" -> "600". Texts
/// are quoted and escaped, so that different bundles never have equal fields.
std::map<std::string, std::string> FieldsOf(const Bundle& bundle);

}  // namespace graniteseam::bundle
