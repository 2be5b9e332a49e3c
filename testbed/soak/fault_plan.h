/// @file
/// Which faults hit a soaked fleet, and when: drawn from a seed alone, so that a failed run can be
/// played again.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "graniteseam/common/time.h"

namespace graniteseam::testbed::soak {

enum class FaultKind {
    KillControl, ///< SIGKILL; back after the span.
    KillRouter,
    KillAllControls, ///< At the same moment; their disks stay.
    StopControl, ///< SIGTERM; back after the span.
    StopRouter, ///< SIGTERM; back after it has ended.
    ReloadControl, ///< SIGHUP, after its settings file was changed.
    ReloadRouter,
    FreezeControl, ///< SIGSTOP, then SIGCONT: its clock jumps by the span.
    FreezeRouter,
    CutControl, ///< From the other control processes, both ways.
    CutControlOneWay, ///< What it sends to the others is held; what they send arrives.
    CutRouter, ///< From all control processes.
    LoseDisk, ///< SIGKILL; the data folder is empty when it is back.
    TearWrite, ///< SIGKILL; the newest file of the log ends in bytes that were never synced whole.
    CrashWorker, ///< Ends without a word; another one starts after the span, at another address.
    ReplaceWorker, ///< The same, at the same address.
    ReuseAddress, ///< The same, at the same address and of another service.
    DrainWorker, ///< Says that it leaves, and ends after the span; another one starts at its address.
    DeregisterWorker, ///< Says that it is gone, serves on for the span; another one starts at its address.
    SilenceRouter, ///< Its open connections to control carry nothing any more; new ones work.
    SilenceControl, ///< The same of a control process's connections with peers and routers.
    StarveControl, ///< Gets hardly any processor time; its machine and links are as before.
    NarrowControl, ///< What it sends to routers shares a narrow link; its peers hear it as before.
    /// Ends without a word, and so does the next one at its address. A third one there says in its answers
    /// alone that it leaves, is displaced by the late heartbeat of the second, and ends after the span.
    LeaveUnheard,
    ScaleIn, ///< Many workers say at the same moment that they leave; others start at their addresses.
    RejectRequests, ///< All workers reject a part of their requests.
    /// SIGKILL; its data folder is gone for good. Another one starts after the span, at another address and
    /// with an empty folder.
    ReplaceControl,
    TurnOverControl, ///< Another one starts at another address; after the span it gets SIGTERM and is
                     ///< removed.
    ChangeSeeds, ///< All settings files name other control processes; SIGHUP, or no signal.
};

auto name_of(FaultKind kind) -> std::string_view;
auto kind_named(std::string_view name) -> std::optional<FaultKind>;

/// Whether it takes a control process away for a time, or cuts one off.
auto disturbs_core(FaultKind kind) -> bool;

/// Whether another process takes a control process's place for good, at another address.
auto replaces_control(FaultKind kind) -> bool;

/// Whether it leaves a control process too little of something to keep up, and takes none away.
auto strains_core(FaultKind kind) -> bool;

struct Fault {
    FaultKind kind = FaultKind::KillControl;
    Duration at {}; ///< Since the start of traffic.
    Duration span {}; ///< Until it is undone.
    std::uint32_t target = 0; ///< Which of its kind, from 0.
    std::uint32_t choice = 0; ///< Drawn for what else may differ, such as the next service.

    auto operator==(Fault const&) const -> bool = default;
};

/// How many there are of what faults may hit, and when they may.
struct PlanBounds {
    std::uint32_t controls = 3;
    std::uint32_t routers = 3;
    std::uint32_t workers = 6;
    Duration first {4'000'000};
    Duration last {26'000'000}; ///< Every fault is undone by then.
    Duration catch_up {8'000'000}; ///< That a control process needs after its disk was lost.
    std::uint32_t faults = 20;
    bool crowded = false; ///< Draws what hits many workers at once, too.
    bool silencing = false; ///< Draws connections that fall silent, too.
    std::set<FaultKind> only; ///< The kinds that are drawn; empty: all that the other bounds allow.
    bool starving = false; ///< Draws control processes that are short of processor time, too.
    bool stating = false; ///< Draws workers whose announcements reach routers alone, too.
    /// Begins with workers that reject requests, and routers that all start again soon after.
    bool rejecting = false;
    /// Begins with replacements of control processes until none of the first ones is left.
    bool replacing = false;
    std::uint32_t losses_tolerated = 1; ///< With replacing: control processes that are lost at once.
    /// With replacing: a control process counts as lost so long after its start.
    Duration lost_after_start {4'000'000};
};

/// The kinds of planned work on routers.
auto planned_router_work() -> std::set<FaultKind>;

/// The kinds that leave routers their unused retry budgets and control its leader.
auto beside_rejections() -> std::set<FaultKind>;

/// The kinds beside replacements of control processes.
auto beside_replacements() -> std::set<FaultKind>;

/// Faults in the order of their times. At most one disk is lost at once: while a control process that
/// lost its disk catches up, no other control process is killed or cut, and none lost one within
/// catch_up before. The users' claim is that nothing acknowledged is lost by such faults.
///
/// Half of the faults begin within moments of another one, so that they come in series and overlap; a
/// router may be hit by several signals at once.
///
/// With replacing, the target of a fault of control processes is a place, which one process after the other
/// takes. Never more than losses_tolerated of them are lost at once.
auto plan_faults(std::uint64_t seed, PlanBounds const&) -> std::vector<Fault>;

/// Whether a plan keeps to what plan_faults() promises.
auto is_borne(std::span<Fault const>, PlanBounds const&) -> bool;

} // namespace graniteseam::testbed::soak
