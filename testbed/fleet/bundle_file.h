/// @file
/// The bundle of a fleet: the deployments' bundles put together under one version.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"

namespace graniteseam::testbed {

/// Puts the services and groups of several bundle files under one version and author. Their names
/// must differ between files.
/// @return kNotFound when a file can't be read.
Result<std::string> JoinBundles(const std::vector<std::string>& files, std::uint64_t version,
                                const std::string& author);

}  // namespace graniteseam::testbed
