#include "testbed/soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace graniteseam::testbed::soak {

namespace {

    struct KindTraits {
        FaultKind kind;
        std::string_view name;
        Duration shortest;
        Duration longest;
    };

    constexpr auto kind_traits = std::to_array<KindTraits>({
        {FaultKind::KillControl, "kill_control", Duration {200'000}, Duration {5'000'000}},
        {FaultKind::KillRouter, "kill_router", Duration {200'000}, Duration {3'000'000}},
        {FaultKind::KillAllControls, "kill_all_controls", Duration {200'000}, Duration {1'000'000}},
        {FaultKind::StopRouter, "stop_router", Duration {6'500'000}, Duration {7'000'000}},
        {FaultKind::FreezeControl, "freeze_control", Duration {300'000}, Duration {6'000'000}},
        {FaultKind::FreezeRouter, "freeze_router", Duration {300'000}, Duration {4'000'000}},
        {FaultKind::CutControl, "cut_control", Duration {500'000}, Duration {6'000'000}},
        {FaultKind::CutControlOneWay, "cut_control_one_way", Duration {500'000}, Duration {6'000'000}},
        {FaultKind::CutRouter, "cut_router", Duration {500'000}, Duration {6'000'000}},
        {FaultKind::LoseDisk, "lose_disk", Duration {200'000}, Duration {2'000'000}},
        {FaultKind::TearWrite, "tear_write", Duration {200'000}, Duration {2'000'000}},
        {FaultKind::CrashWorker, "crash_worker", Duration {500'000}, Duration {4'000'000}},
        {FaultKind::DrainWorker, "drain_worker", Duration {3'500'000}, Duration {4'500'000}},
    });

    auto traits_of(FaultKind kind) -> KindTraits const&
    {
        return *std::find_if(
            kind_traits.begin(), kind_traits.end(), [&](auto const& it) { return it.kind == kind; });
    }

    auto targets_of(FaultKind kind, PlanBounds const& bounds) -> std::uint32_t
    {
        switch (kind) {
        case FaultKind::KillAllControls:
            return 1;
        case FaultKind::KillRouter:
        case FaultKind::StopRouter:
        case FaultKind::FreezeRouter:
        case FaultKind::CutRouter:
            return bounds.routers;
        case FaultKind::CrashWorker:
        case FaultKind::DrainWorker:
            return bounds.workers;
        default:
            return bounds.controls;
        }
    }

    auto hits_control(FaultKind kind) -> bool
    {
        switch (kind) {
        case FaultKind::KillControl:
        case FaultKind::KillAllControls:
        case FaultKind::FreezeControl:
        case FaultKind::CutControl:
        case FaultKind::CutControlOneWay:
        case FaultKind::LoseDisk:
        case FaultKind::TearWrite:
            return true;
        default:
            return false;
        }
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

    auto go_together(Fault const& a, Fault const& b, PlanBounds const& bounds) -> bool
    {
        if (!overlap(a, b, bounds))
            return true;
        // One thing is hit by one fault at a time.
        if (a.kind == b.kind && a.target == b.target)
            return false;
        auto const disk = a.kind == FaultKind::LoseDisk || b.kind == FaultKind::LoseDisk;
        if (disk && hits_control(a.kind) && hits_control(b.kind))
            return false;
        auto const same_target = a.target == b.target || a.kind == FaultKind::KillAllControls
            || b.kind == FaultKind::KillAllControls;
        if (hits_control(a.kind) != hits_control(b.kind))
            return true;
        if (targets_of(a.kind, bounds) != targets_of(b.kind, bounds) && !hits_control(a.kind))
            return true;
        return !same_target;
    }

} // namespace

auto name_of(FaultKind kind) -> std::string_view
{
    return traits_of(kind).name;
}

auto plan_faults(std::uint64_t seed, PlanBounds const& bounds) -> std::vector<Fault>
{
    std::mt19937_64 random(seed);
    // Not std::uniform_int_distribution: its results differ between standard libraries.
    auto const below = [&](std::uint64_t n) { return n == 0 ? 0 : random() % n; };
    std::vector<Fault> plan;
    constexpr int attempts_maximum = 1'000;
    for (int attempt = 0; attempt < attempts_maximum && plan.size() < bounds.faults; ++attempt) {
        auto const& traits = kind_traits[below(kind_traits.size())];
        Fault fault;
        fault.kind = traits.kind;
        fault.target = static_cast<std::uint32_t>(below(targets_of(traits.kind, bounds)));
        auto const spread = static_cast<std::uint64_t>((traits.longest - traits.shortest).count());
        fault.span = traits.shortest + Duration(static_cast<std::int64_t>(below(spread + 1)));
        auto const room = (bounds.last - bounds.first - fault.span).count();
        if (room <= 0)
            continue;
        fault.at
            = bounds.first + Duration(static_cast<std::int64_t>(below(static_cast<std::uint64_t>(room))));
        auto const fits = std::all_of(
            plan.begin(), plan.end(), [&](auto const& it) { return go_together(it, fault, bounds); });
        if (fits)
            plan.push_back(fault);
    }
    std::sort(plan.begin(), plan.end(), [](auto const& a, auto const& b) { return a.at < b.at; });
    return plan;
}

auto is_borne(std::span<Fault const> plan, PlanBounds const& bounds) -> bool
{
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
