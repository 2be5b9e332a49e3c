/// @file
/// The dashboard that a control process serves at "/": fleet, zones, shards, versions, load, moves.
#pragma once

#include <string_view>

namespace graniteseam::http {

/// One HTML page without anything from elsewhere. It asks for an operator's credential, keeps it
/// for the browser's session, and reads /v1/fleet and /v1/bundles every two seconds.
std::string_view DashboardPage();

/// What a browser may do on it: its own inline code, and calls to this process alone.
inline constexpr char kDashboardPolicy[] =
    "default-src 'none'; script-src 'unsafe-inline'; style-src 'unsafe-inline'; "
    "connect-src 'self'; base-uri 'none'; form-action 'none'; frame-ancestors 'none'";

}  // namespace graniteseam::http
