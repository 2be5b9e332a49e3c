#include "testbed/soak/version_promises.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "testbed/soak/calm.h"
#include "testbed/soak/routed_paths.h"

namespace graniteseam::testbed::soak {

namespace {

    constexpr int no_such_route = 404;
    /// Between two requests at one router, so that the order in which it took them is sure.
    constexpr Duration rollback_slack {250'000};

    /// A change that is in force, or may be, and since when it may be.
    struct PossibleVersion {
        std::uint64_t version = 0;
        Instant sent {};
    };

    /// In the order of the versions.
    auto possible_versions(Observed const& seen) -> std::vector<PossibleVersion>
    {
        std::map<std::uint64_t, Instant> since;
        for (auto const& change : seen.changes) {
            if (!change.refused)
                since.try_emplace(change.version, change.sent);
        }
        std::vector<PossibleVersion> versions;
        versions.reserve(since.size());
        for (auto const& [version, sent] : since)
            versions.push_back({version, sent});
        return versions;
    }

    /// How a router handled a probe: the services that ran it; none and `refused` where it knew no route.
    struct Handling {
        std::set<std::string> services;
        bool refused = false;
    };

    auto handlings(Observed const& seen) -> std::map<std::string, Handling>
    {
        std::map<std::string, Handling> all;
        for (auto const& probe : seen.probes)
            all[probe.answer.attempt].refused = probe.answer.status == no_such_route;
        for (auto const& run : seen.runs) {
            auto const it = all.find(run.attempt);
            if (it != all.end())
                it->second.services.insert(run.service);
        }
        return all;
    }

    auto allows(std::uint64_t version, std::string const& path, Handling const& handling) -> bool
    {
        auto const services = services_for(version, path);
        if (handling.refused)
            return services.empty();
        return std::includes(
            services.begin(), services.end(), handling.services.begin(), handling.services.end());
    }

    auto tells(Handling const& handling) -> bool
    {
        return handling.refused || !handling.services.empty();
    }

    auto is_in_calm(Observed const& seen, SeenProbe const& probe) -> bool
    {
        return core_is_calm(seen, probe.acknowledged, probe.answer.sent)
            && in_touch(seen, probe.answer.router, probe.answer.sent, probe.answer.sent);
    }

    /// Versions that may be in force when a probe was handled, from the newest acknowledged one on.
    template<class Do>
    auto for_each_in_force(
        std::vector<PossibleVersion> const& versions, SeenProbe const& probe, Do const& act) -> void
    {
        for (auto const& it : versions) {
            if (it.version >= probe.version && it.sent <= probe.answer.ended)
                act(it.version);
        }
    }

    auto text_of(Handling const& handling) -> std::string
    {
        std::string text = handling.refused ? "no route" : "";
        for (auto const& service : handling.services)
            text += (text.empty() ? "" : ", ") + service;
        return text;
    }

    auto check_one(std::vector<PossibleVersion> const& versions, SeenProbe const& probe,
        Handling const& handling, std::vector<Breach>& breaches) -> void
    {
        bool allowed = false;
        for_each_in_force(versions, probe,
            [&](std::uint64_t version) { allowed = allowed || allows(version, probe.path, handling); });
        if (allowed)
            return;
        auto const ms = (probe.answer.sent - probe.acknowledged).count() / 1000;
        breaches.push_back({"in_force",
            "router " + std::to_string(probe.answer.router) + " handled " + probe.answer.attempt + " for "
                + probe.path + " by " + text_of(handling) + ", " + std::to_string(ms) + " ms after version "
                + std::to_string(probe.version) + " was acknowledged"});
    }

    /// What is known of the versions that a router went by during its present life.
    struct Life {
        Instant begun {};
        /// Lower bounds in the order of the probes that showed them, and when those had ended.
        std::vector<std::pair<Instant, std::uint64_t>> at_least;
    };

    auto lower_bound_at(Life const& life, Instant instant) -> std::uint64_t
    {
        std::uint64_t version = 0;
        for (auto const& [ended, at_least] : life.at_least) {
            if (ended + rollback_slack <= instant)
                version = std::max(version, at_least);
        }
        return version;
    }

    /// The oldest version from `first` on that allows what was seen.
    auto oldest_allowing(std::vector<PossibleVersion> const& versions, std::uint64_t first,
        SeenProbe const& probe, Handling const& handling) -> std::optional<std::uint64_t>
    {
        for (auto const& it : versions) {
            auto const possible = it.version >= first && it.sent <= probe.answer.ended;
            if (possible && allows(it.version, probe.path, handling))
                return it.version;
        }
        return std::nullopt;
    }

    auto last_disturbance(Observed const& seen, std::uint32_t router, Instant before) -> Instant
    {
        Instant last {};
        for (auto const& it : seen.disturbances) {
            if (it.router == router && it.begun <= before)
                last = std::max(last, it.begun);
        }
        return last;
    }

    auto check_never_back(Observed const& seen, std::vector<PossibleVersion> const& versions,
        std::map<std::string, Handling> const& handled, std::vector<Breach>& breaches) -> void
    {
        std::map<std::uint32_t, Life> lives;
        for (auto const& probe : seen.probes) {
            auto const& handling = handled.at(probe.answer.attempt);
            if (!is_changing(probe.path) || !tells(handling))
                continue;
            auto& life = lives[probe.answer.router];
            // Only a disturbance may have ended the router's process.
            auto const begun = last_disturbance(seen, probe.answer.router, probe.answer.ended);
            if (begun != life.begun)
                life = {begun, {}};
            auto const first = lower_bound_at(life, probe.answer.sent);
            auto const version = oldest_allowing(versions, first, probe, handling);
            if (version) {
                life.at_least.emplace_back(probe.answer.ended, *version);
                continue;
            }
            breaches.push_back({"never_back",
                "router " + std::to_string(probe.answer.router) + " handled " + probe.answer.attempt + " for "
                    + probe.path + " by " + text_of(handling) + ", after it had gone by version "
                    + std::to_string(first)});
        }
    }

} // namespace

auto is_changing(std::string_view path) -> bool
{
    auto const& paths = changing_paths();
    return std::find(paths.begin(), paths.end(), path) != paths.end();
}

auto check_versions(Observed const& seen, std::vector<Breach>& breaches) -> void
{
    auto const versions = possible_versions(seen);
    auto const handled = handlings(seen);
    for (auto const& probe : seen.probes) {
        auto const& handling = handled.at(probe.answer.attempt);
        if (is_changing(probe.path) && tells(handling) && is_in_calm(seen, probe))
            check_one(versions, probe, handling, breaches);
    }
    check_never_back(seen, versions, handled, breaches);
}

auto looked_at(Observed const& seen) -> LookedAt
{
    auto const versions = possible_versions(seen);
    auto const handled = handlings(seen);
    LookedAt looked;
    std::set<std::uint64_t> telling_rounds;
    for (auto const& probe : seen.probes) {
        if (!is_changing(probe.path) || !tells(handled.at(probe.answer.attempt)) || !is_in_calm(seen, probe))
            continue;
        ++looked.in_calm;
        std::set<std::string> allowed;
        for_each_in_force(versions, probe, [&](std::uint64_t version) {
            auto const services = services_for(version, probe.path);
            allowed.insert(services.begin(), services.end());
        });
        auto const told_apart = std::any_of(versions.begin(), versions.end(), [&](auto const& it) {
            auto const services = services_for(it.version, probe.path);
            return it.version < probe.version
                && !std::includes(allowed.begin(), allowed.end(), services.begin(), services.end());
        });
        if (!told_apart)
            continue;
        ++looked.telling;
        if (probe.round)
            telling_rounds.insert(*probe.round);
    }
    looked.telling_rounds = telling_rounds.size();
    return looked;
}

} // namespace graniteseam::testbed::soak
