#include "testbed/soak/version_promises.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "testbed/soak/routed_paths.h"

using namespace graniteseam;
using namespace graniteseam::testbed;
using namespace graniteseam::testbed::soak;

namespace {

constexpr auto start = InstantFromMicros(1'000'000'000);

auto at(std::int64_t ms) -> Instant
{
    return start + std::chrono::milliseconds(ms);
}

/// Versions 1 to 40, one each 100 ms from 0 on, each acknowledged 5 ms after it was sent.
auto forty_versions() -> Observed
{
    Observed seen;
    seen.settled = at(-10'000);
    seen.ended = at(60'000);
    for (std::uint64_t version = 1; version <= 40; ++version) {
        auto const sent = static_cast<std::int64_t>(version) * 100;
        seen.changes.push_back({version - 1, version, "", true, at(sent), at(sent + 5)});
    }
    return seen;
}

/// A probe for a path, sent when `version` had been acknowledged for so long; run by a service, or refused.
auto add_probe(Observed& seen, std::string const& path, std::uint64_t version, std::int64_t later,
    std::string const& service) -> void
{
    SeenProbe probe;
    probe.answer.attempt = "p-" + std::to_string(seen.probes.size());
    probe.answer.status = service.empty() ? 404 : 200;
    probe.version = version;
    probe.acknowledged = at(static_cast<std::int64_t>(version) * 100 + 5);
    probe.answer.sent = probe.acknowledged + std::chrono::milliseconds(later);
    probe.answer.ended = probe.answer.sent + std::chrono::milliseconds(5);
    probe.path = path;
    if (!service.empty())
        seen.runs.push_back(
            {"w", probe.answer.attempt, {}, 0, probe.answer.sent, probe.answer.ended, service});
    seen.probes.push_back(probe);
}

auto broken(Observed const& seen) -> std::vector<std::string>
{
    std::vector<Breach> breaches;
    check_versions(seen, breaches);
    std::vector<std::string> promises;
    for (auto const& it : breaches)
        promises.push_back(it.promise);
    return promises;
}

using Promises = std::vector<std::string>;

} // namespace

Test(version_promises, service_that_only_older_versions_route_to)
{
    // /moves-32/ goes to the pool up to version 31 and to the annex from 32 on.
    auto seen = forty_versions();
    add_probe(seen, "/moves-32/", 40, 5'000, "annex");
    cr_assert(broken(seen).empty());
    seen = forty_versions();
    add_probe(seen, "/moves-32/", 40, 5'000, "pool");
    cr_assert(broken(seen) == Promises {"in_force"});
}

Test(version_promises, dropped_route_that_is_run_and_one_that_is_refused_though_it_is_there)
{
    // /comes-and-goes-16/ is routed up to version 15 and from 32 to 47.
    auto seen = forty_versions();
    add_probe(seen, "/comes-and-goes-16/", 20, 100, "");
    cr_assert(broken(seen).empty());
    seen = forty_versions();
    seen.changes.resize(25);
    add_probe(seen, "/comes-and-goes-16/", 25, 5'000, "pool");
    cr_assert(broken(seen) == Promises {"in_force"});
    seen = forty_versions();
    add_probe(seen, "/comes-and-goes-16/", 40, 5'000, "");
    cr_assert(broken(seen) == Promises {"in_force"});
}

Test(version_promises, split_allows_both_parts_and_its_end_one)
{
    // /splits-16/: the pool to 15, both to 31, the annex from 32 on.
    auto seen = forty_versions();
    add_probe(seen, "/splits-16/", 25, 10, "pool");
    add_probe(seen, "/splits-16/", 25, 10, "annex");
    cr_assert(broken(seen).empty());
    seen = forty_versions();
    add_probe(seen, "/splits-16/", 40, 5'000, "pool");
    cr_assert(broken(seen) == Promises {"in_force"});
}

Test(version_promises, change_that_may_be_in_force_already_is_allowed)
{
    // Version 32, sent at 3.2 s, may be in force by then, though only 30 must be.
    auto seen = forty_versions();
    add_probe(seen, "/moves-32/", 30, 200, "annex");
    add_probe(seen, "/moves-32/", 30, 200, "pool");
    cr_assert(std::count(broken(seen).begin(), broken(seen).end(), "in_force") == 0);
}

Test(version_promises, disturbed_router_or_group_excuses_an_old_version_and_not_a_step_back)
{
    auto seen = forty_versions();
    add_probe(seen, "/moves-32/", 40, 5'000, "pool");
    seen.disturbances = {{0, at(8'000), at(8'500)}};
    cr_assert(broken(seen).empty());
    seen.disturbances = {{1, at(8'000), at(8'500)}};
    cr_assert(broken(seen) == Promises {"in_force"});
    seen.disturbances.clear();
    seen.core_disturbances = {{at(8'000), at(8'500)}};
    cr_assert(broken(seen).empty());
}

Test(version_promises, router_that_goes_back_during_one_life)
{
    auto seen = forty_versions();
    seen.core_disturbances = {{at(0), at(60'000)}};
    add_probe(seen, "/moves-32/", 32, 100, "annex");
    add_probe(seen, "/moves-32/", 32, 200, "pool");
    cr_assert(broken(seen).empty(), "their order at the router is not sure");
    add_probe(seen, "/moves-32/", 32, 1'000, "pool");
    cr_assert(broken(seen) == Promises {"never_back"});
    seen.disturbances = {{0, at(3'800), at(3'900)}};
    cr_assert(broken(seen).empty(), "another life may begin with an older version");
}

Test(version_promises, count_what_was_looked_at)
{
    auto seen = forty_versions();
    add_probe(seen, "/moves-32/", 40, 5'000, "annex");
    add_probe(seen, "/moves-64/", 40, 5'000, "pool");
    add_probe(seen, "/since-40/", 40, 5'000, "pool");
    auto const looked = looked_at(seen);
    cr_assert(looked.in_calm == 2);
    cr_assert(looked.telling == 1, "no version up to 40 moves /moves-64/");
}

Test(version_promises, count_rounds_that_would_tell_an_older_version)
{
    auto seen = forty_versions();
    add_probe(seen, "/moves-32/", 40, 5'000, "annex");
    add_probe(seen, "/moves-32/", 40, 5'000, "annex");
    add_probe(seen, "/moves-64/", 40, 5'000, "pool");
    for (std::size_t i = 0; i < seen.probes.size(); ++i)
        seen.probes[i].round = i / 2;
    cr_assert(looked_at(seen).telling_rounds == 1);
}

namespace {

auto check_patches(bool coordinated) -> void
{
    for (std::uint64_t base = 1; base < 130; base += 3) {
        for (std::uint64_t version : {base + 1, base + 2, base + 70}) {
            auto const patch = patch_between(base, version, coordinated);
            auto patched = configuration_of(base, coordinated);
            auto& routes = patched["routes"];
            auto const drop = [&](nlohmann::json const& name) {
                for (std::size_t i = 0; i < routes.size(); ++i) {
                    if (routes[i]["name"] == name)
                        routes.erase(i--);
                }
            };
            for (auto const& name : patch["remove"]["routes"])
                drop(name);
            for (auto const& route : patch["set"]["routes"]) {
                drop(route["name"]);
                routes.push_back(route);
            }
            patched["version"] = version;
            cr_assert(in_order(patched) == in_order(configuration_of(version, coordinated)), "%lu to %lu",
                base, version);
        }
    }
}

} // namespace

Test(routed_paths, patches_lead_from_each_configuration_to_each_later_one)
{
    check_patches(false);
}

Test(routed_paths, patches_lead_to_each_later_configuration_with_coordinated_admission)
{
    check_patches(true);
}
