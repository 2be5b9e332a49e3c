/// @file
/// A bundle as named fields: what the canonical text and the comparison of bundles rest on.
#pragma once

#include <map>
#include <string>

#include "graniteseam/bundle/bundle.h"

namespace graniteseam::bundle {

/// Returns each field's value by its path, for example "services.billing.lease_ms" -> "600". Texts
/// are quoted and escaped, so that no two bundles have the same fields.
std::map<std::string, std::string> FieldsOf(const Bundle& bundle);

}  // namespace graniteseam::bundle
