#include "testbed/soak/tenants.h"

#include "graniteseam/common/duration_text.h"

namespace graniteseam::testbed::soak {

auto unlimited_tenant() -> SoakTenant const&
{
    static SoakTenant const tenant {"unlimited", "key-of-the-unlimited", 0, 0};
    return tenant;
}

auto limited_tenant() -> SoakTenant const&
{
    static SoakTenant const tenant {"limited", "key-of-the-limited", 40, 20};
    return tenant;
}

auto tenants_of_configurations() -> nlohmann::json
{
    auto tenants = nlohmann::json::array();
    for (auto const* it : {&unlimited_tenant(), &limited_tenant()})
        tenants.push_back({{"name", it->name}, {"api_keys", {it->api_key}},
            {"rate_per_s", it->rate_per_second}, {"burst", it->burst}});
    return tenants;
}

auto allowed_in_window(SoakTenant const& tenant) -> std::uint64_t
{
    constexpr double overshoot = 0.1;
    constexpr double slack = 20;
    auto const quota = tenant.rate_per_second * ToSeconds(quota_window) + tenant.burst;
    return static_cast<std::uint64_t>(quota * (1 + overshoot) + slack);
}

} // namespace graniteseam::testbed::soak
