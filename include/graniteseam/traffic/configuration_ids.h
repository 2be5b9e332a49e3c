/// @file
/// Identifiers used in the traffic configuration.
#pragma once

#include "graniteseam/common/ids.h"

namespace graniteseam::traffic {

/// Version number of a configuration, chosen by its author; 0 means no configuration.
using ConfigurationVersion = NumericId<struct ConfigurationVersionTag>;
/// Name of a route, unique within a configuration.
using RouteName = NameId<struct RouteNameTag>;

}  // namespace graniteseam::traffic
