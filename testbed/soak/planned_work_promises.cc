#include "testbed/soak/planned_work_promises.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "graniteseam/common/duration_text.h"
#include "testbed/soak/calm.h"

namespace graniteseam::testbed::soak {

namespace {

    // The users' bounds.

    /// A request that was sent later than this before the end of its connection may have crossed it.
    constexpr Duration loss_slack {200'000};
    /// For which a router that was told to stop may go on.
    constexpr Duration grace {6'000'000};
    constexpr Duration after_grace {1'000'000};
    /// A worker that still works on a request later than this after the stop is too slow, if the request was
    /// sent early enough.
    constexpr Duration last_sixth_of_grace = grace * 5 / 6;
    constexpr Duration sent_early_enough {3'000'000};
    constexpr Duration after_reload {2'000'000};
    constexpr Duration after_change {3'000'000};

    using LastRuns = std::map<std::string, WorkerRun const*>; ///< By attempt.

    auto last_runs(Observed const& seen) -> LastRuns
    {
        LastRuns last;
        for (auto const& run : seen.runs) {
            auto& it = last[run.attempt];
            if (it == nullptr || it->begun < run.begun)
                it = &run;
        }
        return last;
    }

    struct Span {
        Instant begun {};
        Instant ended {};
    };

    /// From the first sending of each accepted change until it counts as done everywhere.
    auto changing(Observed const& seen) -> std::vector<Span>
    {
        std::map<std::pair<std::uint64_t, std::string>, Instant> first;
        std::vector<Span> spans;
        for (auto const& change : seen.changes) {
            auto const sent = first.try_emplace({change.version, change.body}, change.sent).first->second;
            if (change.accepted)
                spans.push_back({sent, change.ended + after_change});
        }
        return spans;
    }

    auto is_around_stop(SeenAnswer const& answer, SeenSignal const& stop) -> bool
    {
        return stop.router == answer.router && stop.at <= answer.ended
            && answer.ended <= stop.at + grace + after_grace;
    }

    auto worker_was_slow(Observed const& seen, SeenAnswer const& answer, WorkerRun const* run) -> bool
    {
        return run != nullptr && std::any_of(seen.stops.begin(), seen.stops.end(), [&](auto const& stop) {
            return is_around_stop(answer, stop) && answer.sent <= stop.at + sent_early_enough
                && run->ended > stop.at + last_sixth_of_grace;
        });
    }

    auto is_around_reload(SeenAnswer const& answer, SeenSignal const& reload) -> bool
    {
        return reload.router == answer.router && answer.sent <= reload.at + after_reload
            && reload.at <= answer.ended;
    }

    auto is_around_planned_work(
        Observed const& seen, std::vector<Span> const& changes, SeenAnswer const& answer) -> bool
    {
        return std::any_of(seen.stops.begin(), seen.stops.end(), [&](auto const& it) {
            return is_around_stop(answer, it);
        }) || std::any_of(seen.reloads.begin(), seen.reloads.end(), [&](auto const& it) {
            return is_around_reload(answer, it);
        }) || std::any_of(changes.begin(), changes.end(), [&](auto const& it) {
            return it.begun <= answer.ended && answer.ended <= it.ended;
        });
    }

    auto worker_broke_off(Observed const& seen, SeenAnswer const& answer, WorkerRun const* run) -> bool
    {
        if (run == nullptr)
            return false;
        auto const end = seen.worker_ends.find(run->worker);
        return end != seen.worker_ends.end() && end->second <= answer.ended;
    }

    /// "; sent 2733 ms after the router was told to stop", or nothing.
    auto stop_text(Observed const& seen, SeenAnswer const& answer) -> std::string
    {
        for (auto const& stop : seen.stops) {
            if (is_around_stop(answer, stop))
                return "; sent " + InMs(answer.sent - stop.at) + " after the router was told to stop";
        }
        return "";
    }

    auto was_read(SeenAnswer const& answer, WorkerRun const* run) -> bool
    {
        return run != nullptr || (!answer.reset && answer.known_open > loss_slack);
    }

} // namespace

auto lost_around_planned_work(Observed const& seen) -> std::vector<SeenAnswer>
{
    auto const runs = last_runs(seen);
    auto const changes = changing(seen);
    std::vector<SeenAnswer> lost;
    for (auto const& answer : seen.answers) {
        if (!answer.closed || answer.ended - answer.sent >= callers_deadline)
            continue;
        auto const it = runs.find(answer.attempt);
        auto const* run = it == runs.end() ? nullptr : it->second;
        if (was_read(answer, run) && !worker_broke_off(seen, answer, run)
            && !worker_was_slow(seen, answer, run) && in_touch(seen, answer.router, answer.sent, answer.ended)
            && is_around_planned_work(seen, changes, answer))
            lost.push_back(answer);
    }
    return lost;
}

auto check_planned_work(Observed const& seen, std::vector<Breach>& breaches) -> void
{
    for (auto const& answer : lost_around_planned_work(seen))
        breaches.push_back({"read_is_answered",
            answer.attempt + " was sent to router " + std::to_string(answer.router)
                + ", which closed its connection without an answer " + InMs(answer.ended - answer.sent)
                + " later" + stop_text(seen, answer)});
}

} // namespace graniteseam::testbed::soak
