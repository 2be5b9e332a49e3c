#include "testbed/soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <random>

namespace graniteseam::testbed::soak {

namespace {

    enum class Role { Control, Router, Worker };

    struct KindTraits {
        FaultKind kind;
        std::string_view name;
        Duration shortest;
        Duration longest;
        std::uint32_t weight; ///< How often it is drawn, beside the others.
        Role role; ///< Which it hits.
        /// Bound that must be set for it to be drawn, so that plans without it stay as they are.
        bool PlanBounds::*only_with = nullptr;
    };

    constexpr auto kind_traits = std::to_array<KindTraits>({
        {FaultKind::KillControl, "kill_control", Duration {200'000}, Duration {5'000'000}, 2, Role::Control},
        {FaultKind::KillRouter, "kill_router", Duration {200'000}, Duration {3'000'000}, 2, Role::Router},
        {FaultKind::KillAllControls, "kill_all_controls", Duration {200'000}, Duration {1'000'000}, 1,
            Role::Control},
        {FaultKind::StopControl, "stop_control", Duration {500'000}, Duration {3'000'000}, 1, Role::Control},
        {FaultKind::StopRouter, "stop_router", Duration {6'500'000}, Duration {7'000'000}, 3, Role::Router},
        {FaultKind::ReloadControl, "reload_control", Duration {1'000}, Duration {10'000}, 1, Role::Control},
        {FaultKind::ReloadRouter, "reload_router", Duration {1'000}, Duration {10'000}, 2, Role::Router},
        {FaultKind::FreezeControl, "freeze_control", Duration {300'000}, Duration {6'000'000}, 2,
            Role::Control},
        {FaultKind::FreezeRouter, "freeze_router", Duration {300'000}, Duration {4'000'000}, 2, Role::Router},
        {FaultKind::CutControl, "cut_control", Duration {500'000}, Duration {6'000'000}, 1, Role::Control},
        {FaultKind::CutControlOneWay, "cut_control_one_way", Duration {500'000}, Duration {6'000'000}, 1,
            Role::Control},
        {FaultKind::CutRouter, "cut_router", Duration {500'000}, Duration {6'000'000}, 1, Role::Router},
        {FaultKind::LoseDisk, "lose_disk", Duration {200'000}, Duration {2'000'000}, 1, Role::Control},
        {FaultKind::TearWrite, "tear_write", Duration {200'000}, Duration {2'000'000}, 1, Role::Control},
        {FaultKind::CrashWorker, "crash_worker", Duration {500'000}, Duration {4'000'000}, 2, Role::Worker},
        {FaultKind::ReplaceWorker, "replace_worker", Duration {0}, Duration {900'000}, 5, Role::Worker},
        {FaultKind::ReuseAddress, "reuse_address", Duration {0}, Duration {3'000'000}, 4, Role::Worker},
        {FaultKind::DrainWorker, "drain_worker", Duration {3'500'000}, Duration {4'500'000}, 2, Role::Worker},
        {FaultKind::DeregisterWorker, "deregister_worker", Duration {3'500'000}, Duration {4'500'000}, 2,
            Role::Worker},
        {FaultKind::SilenceRouter, "silence_router", Duration {1'000}, Duration {10'000}, 5, Role::Router,
            &PlanBounds::silencing},
        {FaultKind::SilenceControl, "silence_control", Duration {1'000}, Duration {10'000}, 3, Role::Control,
            &PlanBounds::silencing},
        {FaultKind::StarveControl, "starve_control", Duration {3'000'000}, Duration {8'000'000}, 8,
            Role::Control, &PlanBounds::starving},
        {FaultKind::NarrowControl, "narrow_control", Duration {4'000'000}, Duration {9'000'000}, 8,
            Role::Control, &PlanBounds::starving},
        {FaultKind::LeaveUnheard, "leave_unheard", Duration {14'000'000}, Duration {17'000'000}, 3,
            Role::Worker, &PlanBounds::stating},
        {FaultKind::ScaleIn, "scale_in", Duration {4'000'000}, Duration {6'000'000}, 8, Role::Worker,
            &PlanBounds::crowded},
        {FaultKind::RejectRequests, "reject_requests", Duration {10'000'000}, Duration {10'000'000}, 0,
            Role::Worker, &PlanBounds::rejecting},
        {FaultKind::ReplaceControl, "replace_control", Duration {200'000}, Duration {2'000'000}, 2,
            Role::Control, &PlanBounds::replacing},
        {FaultKind::TurnOverControl, "turn_over_control", Duration {500'000}, Duration {5'000'000}, 2,
            Role::Control, &PlanBounds::replacing},
        {FaultKind::ChangeSeeds, "change_seeds", Duration {1'000}, Duration {10'000}, 2, Role::Control,
            &PlanBounds::replacing},
    });

    /// Faults of a series begin within this after the one before.
    constexpr std::int64_t series_gap_us = 1'500'000;

    auto traits_of(FaultKind kind) -> KindTraits const&
    {
        return *std::find_if(
            kind_traits.begin(), kind_traits.end(), [&](auto const& it) { return it.kind == kind; });
    }

    auto targets_of(FaultKind kind, PlanBounds const& bounds) -> std::uint32_t
    {
        if (kind == FaultKind::KillAllControls || kind == FaultKind::ChangeSeeds)
            return 1;
        switch (traits_of(kind).role) {
        case Role::Control:
            return bounds.controls;
        case Role::Router:
            return bounds.routers;
        case Role::Worker:
            return bounds.workers;
        }
        return 1;
    }

    auto hits_control(FaultKind kind) -> bool
    {
        return traits_of(kind).role == Role::Control;
    }

    auto hits_all_of_role(FaultKind kind) -> bool
    {
        return kind == FaultKind::KillAllControls || kind == FaultKind::ScaleIn;
    }

    auto is_reload(FaultKind kind) -> bool
    {
        return kind == FaultKind::ReloadControl || kind == FaultKind::ReloadRouter
            || kind == FaultKind::ChangeSeeds;
    }

    auto ends_router(FaultKind kind) -> bool
    {
        return kind == FaultKind::KillRouter || kind == FaultKind::StopRouter;
    }

    /// What a fault needs for itself: until the end of catching up where a disk was lost.
    auto end_of(Fault const& fault, PlanBounds const& bounds) -> Duration
    {
        auto const lost = fault.kind == FaultKind::LoseDisk;
        return fault.at + fault.span + (lost ? bounds.catch_up : Duration {});
    }

    auto overlap(Fault const& a, Fault const& b, PlanBounds const& bounds) -> bool
    {
        return a.at < end_of(b, bounds) && b.at < end_of(a, bounds);
    }

    /// Whether a control process is to take a signal that it may not be ready for so soon after its start.
    auto signals_new_process(Fault const& signal, Fault const& fault) -> bool
    {
        constexpr Duration ready_for_signals {2'000'000};
        return signal.kind == FaultKind::ReloadControl && disturbs_core(fault.kind)
            && signal.target == fault.target && fault.at <= signal.at
            && signal.at < fault.at + fault.span + ready_for_signals;
    }

    auto go_together(Fault const& a, Fault const& b, PlanBounds const& bounds) -> bool
    {
        if (bounds.replacing && (signals_new_process(a, b) || signals_new_process(b, a)))
            return false;
        if (!overlap(a, b, bounds))
            return true;
        if (a.kind == b.kind && a.target == b.target)
            return false;
        if (is_reload(a.kind) || is_reload(b.kind) || traits_of(a.kind).role != traits_of(b.kind).role)
            return true;
        // The group is to bear one control process that can't keep up, beside what hits others.
        if (strains_core(a.kind) && strains_core(b.kind))
            return false;
        auto const disk = a.kind == FaultKind::LoseDisk || b.kind == FaultKind::LoseDisk;
        if (disk && hits_control(a.kind))
            return false;
        auto const same_target = a.target == b.target || hits_all_of_role(a.kind) || hits_all_of_role(b.kind);
        // A router bears several signals at once, but is started again by one fault only.
        if (traits_of(a.kind).role == Role::Router)
            return !same_target || !ends_router(a.kind) || !ends_router(b.kind);
        return !same_target;
    }

    /// Each router is killed once or twice, or all of them are stopped, 1.8 s or more after workers begin to
    /// reject requests: by then a retry budget that was unused is spent.
    auto plan_restarts_at_rejections(std::mt19937_64& random, PlanBounds const& bounds) -> std::vector<Fault>
    {
        auto const between = [&](std::int64_t least_us, std::int64_t most_us) {
            auto const spread = static_cast<std::uint64_t>(most_us - least_us);
            return Duration {least_us + static_cast<std::int64_t>(random() % spread)};
        };
        constexpr std::uint64_t planned_one_in = 4;
        auto const span = traits_of(FaultKind::RejectRequests).shortest;
        auto const start = bounds.last - span - between(0, 1'500'000);
        std::vector<Fault> plan {{FaultKind::RejectRequests, start, span, 0}};
        auto const planned = random() % planned_one_in == 0;
        auto const twice = random() % 2 == 0;
        for (std::uint32_t router = 0; router < bounds.routers; ++router) {
            auto const first = start + between(1'800'000, 2'600'000);
            if (planned) {
                plan.push_back({FaultKind::StopRouter, first, between(6'500'000, 7'000'000), router});
                continue;
            }
            plan.push_back({FaultKind::KillRouter, first, between(100'000, 500'000), router});
            if (twice)
                plan.push_back({FaultKind::KillRouter, first + between(2'000'000, 3'000'000),
                    between(100'000, 500'000), router});
        }
        return plan;
    }

    /// From when on the process that a fault takes away, or the one that follows it, does not count as lost.
    auto lost_until(Fault const& fault, PlanBounds const& bounds) -> Duration
    {
        if (fault.kind == FaultKind::TurnOverControl)
            return fault.at + std::max(fault.span, bounds.lost_after_start);
        return fault.at + fault.span + bounds.lost_after_start;
    }

    auto lost_at(std::span<Fault const> plan, Duration at, PlanBounds const& bounds) -> std::uint32_t
    {
        std::uint32_t lost = 0;
        for (auto const& fault : plan) {
            if (disturbs_core(fault.kind) && fault.at <= at && at < lost_until(fault, bounds))
                lost += hits_all_of_role(fault.kind) ? bounds.controls : 1;
        }
        return lost;
    }

    /// Whether no more control processes are lost at once than the group is to bear. The most are lost at
    /// the beginning of a fault.
    auto losses_are_tolerated(std::span<Fault const> plan, PlanBounds const& bounds) -> bool
    {
        return std::all_of(plan.begin(), plan.end(),
            [&](auto const& fault) { return lost_at(plan, fault.at, bounds) <= bounds.losses_tolerated; });
    }

    auto losses_stay_tolerated(std::vector<Fault> plan, Fault const& further, PlanBounds const& bounds)
        -> bool
    {
        plan.push_back(further);
        return losses_are_tolerated(plan, bounds);
    }

    /// Each place's process is replaced once at least, in an order that is drawn. The next replacement begins
    /// as soon as the losses before it permit, or some time later.
    auto plan_replacements(std::mt19937_64& random, PlanBounds const& bounds) -> std::vector<Fault>
    {
        constexpr std::uint64_t rest_one_in = 4;
        constexpr std::int64_t rest_spread_us = 3'000'000;
        auto const up_to = [&](std::int64_t most_us) {
            return Duration {static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(most_us))};
        };
        std::vector<std::uint32_t> places(bounds.controls);
        std::iota(places.begin(), places.end(), 0U);
        // Not std::shuffle: its results differ between standard libraries.
        for (auto left = places.size(); left > 1; --left)
            std::swap(places[left - 1], places[random() % left]);
        std::vector<Fault> plan;
        auto at = bounds.first;
        for (auto const place : places) {
            auto const& traits
                = traits_of(random() % 2 == 0 ? FaultKind::ReplaceControl : FaultKind::TurnOverControl);
            constexpr Duration step {50'000};
            while (lost_at(plan, at, bounds) >= bounds.losses_tolerated)
                at += step;
            auto const rests = random() % rest_one_in == 0;
            at += up_to(rests ? rest_spread_us : series_gap_us / 2);
            Fault fault {
                traits.kind, at, traits.shortest + up_to((traits.longest - traits.shortest).count()), place};
            fault.choice = static_cast<std::uint32_t>(random());
            plan.push_back(fault);
        }
        return plan;
    }

    /// One that ends in time.
    auto plan_fitting_replacements(std::mt19937_64& random, PlanBounds const& bounds) -> std::vector<Fault>
    {
        constexpr int attempts_maximum = 100;
        auto plan = plan_replacements(random, bounds);
        for (int attempt = 0; attempt < attempts_maximum && !is_borne(plan, bounds); ++attempt)
            plan = plan_replacements(random, bounds);
        return plan;
    }

    auto draw_kind(std::uint64_t drawn, PlanBounds const& bounds) -> KindTraits const&
    {
        auto const weight_of = [&](auto const& it) -> std::uint64_t {
            auto const drawn_here = (it.only_with == nullptr || bounds.*it.only_with)
                && (bounds.only.empty() || bounds.only.contains(it.kind));
            return drawn_here ? it.weight : 0;
        };
        auto const total = std::accumulate(kind_traits.begin(), kind_traits.end(), std::uint64_t {0},
            [&](auto sum, auto const& it) { return sum + weight_of(it); });
        auto left = drawn % total;
        for (auto const& it : kind_traits) {
            if (left < weight_of(it))
                return it;
            left -= weight_of(it);
        }
        return kind_traits.back();
    }

} // namespace

auto name_of(FaultKind kind) -> std::string_view
{
    return traits_of(kind).name;
}

auto kind_named(std::string_view name) -> std::optional<FaultKind>
{
    auto const* const it = std::find_if(
        kind_traits.begin(), kind_traits.end(), [&](auto const& traits) { return traits.name == name; });
    return it == kind_traits.end() ? std::nullopt : std::optional(it->kind);
}

auto disturbs_core(FaultKind kind) -> bool
{
    return hits_control(kind) && !is_reload(kind) && !strains_core(kind);
}

auto strains_core(FaultKind kind) -> bool
{
    return kind == FaultKind::StarveControl || kind == FaultKind::NarrowControl;
}

auto replaces_control(FaultKind kind) -> bool
{
    return kind == FaultKind::ReplaceControl || kind == FaultKind::TurnOverControl;
}

auto planned_router_work() -> std::set<FaultKind>
{
    return {FaultKind::StopRouter, FaultKind::ReloadRouter};
}

auto beside_rejections() -> std::set<FaultKind>
{
    return {FaultKind::ReloadRouter, FaultKind::CutRouter, FaultKind::CrashWorker, FaultKind::ReplaceWorker,
        FaultKind::DrainWorker};
}

auto beside_replacements() -> std::set<FaultKind>
{
    return {FaultKind::ReplaceControl, FaultKind::TurnOverControl, FaultKind::ChangeSeeds,
        FaultKind::KillControl, FaultKind::StopControl, FaultKind::ReloadControl, FaultKind::KillRouter,
        FaultKind::StopRouter, FaultKind::ReloadRouter, FaultKind::ReplaceWorker, FaultKind::DrainWorker};
}

auto plan_faults(std::uint64_t seed, PlanBounds const& bounds) -> std::vector<Fault>
{
    std::mt19937_64 random(seed);
    // Not std::uniform_int_distribution: its results differ between standard libraries.
    auto const below = [&](std::uint64_t n) { return n == 0 ? 0 : random() % n; };
    std::vector<Fault> plan;
    if (bounds.rejecting)
        plan = plan_restarts_at_rejections(random, bounds);
    if (bounds.replacing)
        plan = plan_fitting_replacements(random, bounds);
    constexpr int attempts_maximum = 1'000;
    for (int attempt = 0; attempt < attempts_maximum && plan.size() < bounds.faults; ++attempt) {
        auto const& traits = draw_kind(random(), bounds);
        Fault fault;
        fault.kind = traits.kind;
        fault.target = static_cast<std::uint32_t>(below(targets_of(traits.kind, bounds)));
        auto const spread = static_cast<std::uint64_t>((traits.longest - traits.shortest).count());
        fault.span = traits.shortest + Duration(static_cast<std::int64_t>(below(spread + 1)));
        auto const room = (bounds.last - bounds.first - fault.span).count();
        if (room <= 0)
            continue;
        fault.choice = static_cast<std::uint32_t>(random());
        auto const in_series = !plan.empty() && below(2) == 0;
        fault.at = in_series
            ? plan.back().at + Duration(static_cast<std::int64_t>(below(std::uint64_t {series_gap_us})))
            : bounds.first + Duration(static_cast<std::int64_t>(below(static_cast<std::uint64_t>(room))));
        if (fault.at + fault.span > bounds.last)
            continue;
        auto const fits = std::all_of(
            plan.begin(), plan.end(), [&](auto const& it) { return go_together(it, fault, bounds); });
        if (fits && (!bounds.replacing || losses_stay_tolerated(plan, fault, bounds)))
            plan.push_back(fault);
    }
    std::sort(plan.begin(), plan.end(), [](auto const& a, auto const& b) { return a.at < b.at; });
    return plan;
}

auto is_borne(std::span<Fault const> plan, PlanBounds const& bounds) -> bool
{
    if (bounds.replacing && !losses_are_tolerated(plan, bounds))
        return false;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        if (plan[i].at < bounds.first || plan[i].at + plan[i].span > bounds.last)
            return false;
        for (std::size_t j = i + 1; j < plan.size(); ++j) {
            if (!go_together(plan[i], plan[j], bounds))
                return false;
        }
    }
    return true;
}

} // namespace graniteseam::testbed::soak
