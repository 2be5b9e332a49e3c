#include "testbed/soak/routed_paths.h"

#include <algorithm>
#include <array>

#include "testbed/registered/worker.h"
#include "testbed/soak/tenants.h"

namespace graniteseam::testbed::soak {

namespace {

    using nlohmann::json;

    constexpr char pool[] = "pool";
    constexpr char annex[] = "annex";
    /// Every route's timeout changes with each so many versions.
    constexpr std::uint64_t versions_per_timeout = 8;
    constexpr std::uint64_t timeouts = 7;
    constexpr std::uint64_t shortest_timeout_ms = 2'000;
    /// Routers coordinate admission from 800 ms on.
    constexpr std::uint64_t coordinated_target_ms = 1'000;

    /// What becomes of a path from one span of versions to the next.
    enum class Course {
        Moves, ///< The pool, then the annex.
        Splits, ///< The pool, then half of each, then the annex.
        ComesAndGoes, ///< The pool, then no route.
        Trades, ///< Two routes take each other's places.
    };

    /// Versions that a path stays as it is: some move within a change's time to be in force, and some so
    /// rarely that a router which is behind for long is told apart.
    struct ChangingPath {
        char const* path;
        Course course;
        std::uint64_t span;
    };

    constexpr auto changing = std::to_array<ChangingPath>({
        {"/moves-8/", Course::Moves, 8},
        {"/moves-16/", Course::Moves, 16},
        {"/moves-32/", Course::Moves, 32},
        {"/moves-64/", Course::Moves, 64},
        {"/splits-16/", Course::Splits, 16},
        {"/splits-40/", Course::Splits, 40},
        {"/comes-and-goes-16/", Course::ComesAndGoes, 16},
        {"/comes-and-goes-40/", Course::ComesAndGoes, 40},
        {"/trades-a/", Course::Trades, 24},
        {"/trades-b/", Course::Trades, 24},
    });

    auto weights_of(ChangingPath const& it, std::uint64_t version) -> json
    {
        auto const turn = version / it.span;
        auto const all_to = [](char const* service) {
            return json::array({{{"service", service}, {"weight", 100}}});
        };
        switch (it.course) {
        case Course::Moves:
            return all_to(turn % 2 == 0 ? pool : annex);
        case Course::Splits:
            if (turn % 3 == 1)
                return json::array(
                    {{{"service", pool}, {"weight", 50}}, {{"service", annex}, {"weight", 50}}});
            return all_to(turn % 3 == 0 ? pool : annex);
        case Course::ComesAndGoes:
            return turn % 2 == 0 ? all_to(pool) : json::array();
        case Course::Trades: {
            auto const first = std::string_view(it.path) == "/trades-a/";
            return all_to(first == (turn % 2 == 0) ? pool : annex);
        }
        }
        return json::array();
    }

    auto route(std::uint64_t version, std::string const& name, std::string const& prefix, char const* kind)
        -> json
    {
        return {{"name", name}, {"host", "a.example"}, {"path_prefix", prefix}, {"kind", kind},
            {"timeout_ms", shortest_timeout_ms + version / versions_per_timeout % timeouts},
            {"target_latency_ms", 500}, {"priority", 1}, {"attempts_maximum", 2}};
    }

    auto route_to(std::uint64_t version, std::string const& prefix, char const* kind, char const* service)
        -> json
    {
        auto it = route(version, prefix, prefix, kind);
        it["service"] = service;
        return it;
    }

    /// One that asks for no key.
    auto open_route_to(std::uint64_t version, std::string const& prefix) -> json
    {
        auto it = route_to(version, prefix, "safe", pool);
        it["anonymous"] = true;
        return it;
    }

    /// Routes that trade places are named by the service that they keep.
    auto name_of(ChangingPath const& it, json const& weights) -> std::string
    {
        return it.course == Course::Trades ? "trades-" + weights[0]["service"].get<std::string>() : it.path;
    }

    auto add_changing(std::uint64_t version, json& routes) -> void
    {
        for (auto const& it : changing) {
            auto const weights = weights_of(it, version);
            if (weights.empty())
                continue;
            auto& added = routes.emplace_back(route(version, name_of(it, weights), it.path, "safe"));
            added["split"] = weights;
            added["anonymous"] = true;
        }
    }

} // namespace

auto path_since(std::uint64_t version) -> std::string
{
    return "/since-" + std::to_string(version) + "/";
}

auto changing_paths() -> std::vector<std::string> const&
{
    static auto const paths = [] {
        std::vector<std::string> all;
        all.reserve(changing.size());
        for (auto const& it : changing)
            all.emplace_back(it.path);
        return all;
    }();
    return paths;
}

auto services_for(std::uint64_t version, std::string_view path) -> std::set<std::string>
{
    auto const* const found
        = std::find_if(changing.begin(), changing.end(), [&](auto const& it) { return it.path == path; });
    std::set<std::string> services;
    if (version == 0 || found == changing.end())
        return services;
    for (auto const& part : weights_of(*found, version))
        services.insert(part["service"].get<std::string>());
    return services;
}

auto configuration_of(std::uint64_t version, bool coordinated) -> json
{
    json routes {route_to(version, "/safe/", "safe", pool), route_to(version, "/unsafe/", "unsafe", pool),
        route_to(version, "/keyed-unsafe/", "unsafe", "keyed"),
        route_to(version, "/leased-unsafe/", "unsafe", "leased"),
        route_to(version, "/keyed/", "safe", "keyed"), route_to(version, "/leased/", "safe", "leased")};
    if (coordinated)
        routes.back()["target_latency_ms"] = coordinated_target_ms;
    auto const first = version > versions_routed ? version - versions_routed + 1 : 1;
    for (auto since = first; since <= version; ++since)
        routes.push_back(open_route_to(version, path_since(since)));
    add_changing(version, routes);
    return {{"version", version}, {"routes", routes},
        {"services",
            {{{"name", pool}, {"health_path", kHealthPath}}, {{"name", annex}, {"health_path", kHealthPath}},
                {{"name", "keyed"}, {"keyed", true}, {"health_path", kHealthPath}},
                {{"name", "leased"}, {"keyed", true}, {"health_path", kHealthPath},
                    {"grants", "heartbeat"}}}},
        {"tenants", tenants_of_configurations()}, {"limits", {{"idle_timeout_ms", 15'000}}}};
}

auto patch_between(std::uint64_t base, std::uint64_t version, bool coordinated) -> json
{
    auto const before = configuration_of(base, coordinated);
    auto const after = configuration_of(version, coordinated);
    json changed = json::array();
    json removed = json::array();
    for (auto const& it : after["routes"]) {
        auto const& old = before["routes"];
        if (std::find(old.begin(), old.end(), it) == old.end())
            changed.push_back(it);
    }
    for (auto const& old : before["routes"]) {
        auto const& routes = after["routes"];
        auto const kept = std::any_of(
            routes.begin(), routes.end(), [&](auto const& it) { return it["name"] == old["name"]; });
        if (!kept)
            removed.push_back(old["name"]);
    }
    return {{"version", version}, {"set", {{"routes", changed}}}, {"remove", {{"routes", removed}}}};
}

auto in_order(json configuration) -> json
{
    auto& routes = configuration["routes"];
    std::sort(routes.begin(), routes.end(),
        [](auto const& a, auto const& b) { return a["name"].dump() < b["name"].dump(); });
    return configuration;
}

} // namespace graniteseam::testbed::soak
