/// @file
/// The tenants of a soaked fleet: who sends under which key, and what a worker is to see of it.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "graniteseam/common/time.h"

namespace graniteseam::testbed::soak {

struct SoakTenant {
    std::string name;
    std::string api_key;
    double rate_per_second = 0; ///< 0: no limit.
    double burst = 0;
};

/// Sends as much as it likes.
auto unlimited_tenant() -> SoakTenant const&;
/// Is asked for far more than it may send.
auto limited_tenant() -> SoakTenant const&;
/// That no configuration has.
inline constexpr char unknown_api_key[] = "key-of-nobody";

/// The member "tenants" of each configuration.
auto tenants_of_configurations() -> nlohmann::json;

/// Within any such time a quota is counted.
inline constexpr Duration quota_window {5'000'000};

/// What all routers together may let in of a tenant within any window, as the users allow: a tenth and
/// twenty requests beyond its quota.
auto allowed_in_window(SoakTenant const&) -> std::uint64_t;

} // namespace graniteseam::testbed::soak
