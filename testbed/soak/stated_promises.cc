#include "testbed/soak/stated_promises.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "graniteseam/common/duration_text.h"

namespace graniteseam::testbed::soak {

namespace {

    /// From when on a limit binds, over which time it is counted, and since when a router must have passed
    /// it on.
    constexpr Duration limit_binds_after {3'000'000};
    constexpr Duration limit_window {4'000'000};
    constexpr Duration told_before {500'000};
    /// Requests within the window that a limit allows, as a multiple of what it names and beyond that.
    constexpr double limit_stretch = 1.5;
    constexpr double limit_extra = 5;
    /// A rest binds from then on; requests that may reach the worker within it.
    constexpr Duration rest_binds_after {500'000};
    constexpr std::size_t reached_in_rest = 2;
    /// A request that is sent later than this must not reach a worker that leaves.
    constexpr Duration leaving_allowed {2'000'000};

    /// Requests that a worker may get in one second while it warms up: one and a half times the 4.2 a second
    /// that it bears, and 8.
    constexpr Duration warm_up_window {1'000'000};
    constexpr double warm_up_allowed = 4.2 * 1.5 + 8;

    using AnswersByAttempt = std::map<std::string, SeenAnswer const*>;
    using TimeByRouter = std::map<std::uint32_t, Instant>;

    auto overlaps(SeenDisturbance const& it, std::uint32_t router, Instant from, Instant until) -> bool
    {
        return it.router == router && it.begun <= until && from <= it.ended;
    }

    auto was_disturbed(Observed const& seen, std::uint32_t router, Instant from, Instant until) -> bool
    {
        return std::any_of(seen.disturbances.begin(), seen.disturbances.end(),
            [&](auto const& it) { return overlaps(it, router, from, until); });
    }

    /// Whether its process started anew or stood still.
    auto was_interrupted(Observed const& seen, std::uint32_t router, Instant from, Instant until) -> bool
    {
        return std::any_of(seen.disturbances.begin(), seen.disturbances.end(),
            [&](auto const& it) { return !it.only_links && overlaps(it, router, from, until); });
    }

    auto is_success(SeenAnswer const& answer) -> bool
    {
        return answer.status / 100 == 2;
    }

    /// A worker's answer of any status; what a router says in its own name carries no seal.
    auto is_of_worker(SeenAnswer const& answer) -> bool
    {
        return answer.sealed || is_success(answer);
    }

    /// When each router first passed on such an answer of the worker that it gave within a span.
    auto routers_told(Observed const& seen, AnswersByAttempt const& answers, std::string const& worker,
        Instant from, Instant until, bool (*counts)(SeenAnswer const&)) -> TimeByRouter
    {
        TimeByRouter told;
        for (auto const& run : seen.runs) {
            auto const answer = answers.find(run.attempt);
            if (run.worker != worker || run.ended < from || run.ended >= until || answer == answers.end())
                continue;
            if (!counts(*answer->second))
                continue;
            auto const [it, fresh] = told.try_emplace(answer->second->router, answer->second->ended);
            if (!fresh)
                it->second = std::min(it->second, answer->second->ended);
        }
        return told;
    }

    auto check_limit(Observed const& seen, AnswersByAttempt const& answers, WorkerStated const& stated,
        std::vector<Breach>& breaches) -> void
    {
        if (stated.limit_per_second <= 0)
            return;
        auto const told = routers_told(
            seen, answers, stated.worker, stated.limited_from, stated.limited_until, is_success);
        std::vector<Instant> counted;
        for (auto const& [at, attempt] : stated.arrivals) {
            auto const answer = answers.find(attempt);
            if (answer == answers.end() || at < stated.limited_from + limit_binds_after
                || at >= stated.limited_until)
                continue;
            auto const router = answer->second->router;
            auto const it = told.find(router);
            if (it != told.end() && at >= it->second + told_before
                && !was_disturbed(seen, router, it->second, at))
                counted.push_back(at);
        }
        auto const allowed = limit_stretch * stated.limit_per_second * ToSeconds(limit_window) + limit_extra;
        for (auto from = counted.begin(); from != counted.end(); ++from) {
            auto const past = std::upper_bound(from, counted.end(), *from + limit_window);
            if (static_cast<double>(past - from) <= allowed)
                continue;
            breaches.push_back({"limit",
                stated.worker + " named " + std::to_string(stated.limit_per_second) + " a second and got "
                    + std::to_string(past - from) + " requests in 4 s"});
            return;
        }
    }

    auto check_rests(Observed const& seen, AnswersByAttempt const& answers, WorkerStated const& stated,
        std::vector<Breach>& breaches) -> void
    {
        for (auto const& rest : stated.rests) {
            auto const asked = answers.find(rest.attempt);
            if (asked == answers.end())
                continue;
            auto const router = asked->second->router;
            auto const end = rest.asked + rest.rest;
            if (was_disturbed(seen, router, rest.asked, end))
                continue;
            auto const reached
                = std::count_if(stated.arrivals.begin(), stated.arrivals.end(), [&](auto const& it) {
                      auto const answer = answers.find(it.second);
                      return it.first >= rest.asked + rest_binds_after && it.first < end
                          && answer != answers.end() && answer->second->router == router;
                  });
            if (static_cast<std::size_t>(reached) <= reached_in_rest)
                continue;
            breaches.push_back({"rest",
                stated.worker + " got " + std::to_string(reached) + " requests from router "
                    + std::to_string(router) + " within a rest of " + InMs(rest.rest)});
            return;
        }
    }

    auto check_warm_up(WorkerStated const& stated, std::vector<Breach>& breaches) -> void
    {
        auto const& arrivals = stated.arrivals;
        auto const end = std::partition_point(
            arrivals.begin(), arrivals.end(), [&](auto const& it) { return it.first < stated.warm_at; });
        for (auto from = arrivals.begin(); from != end; ++from) {
            auto const past = std::partition_point(
                from, end, [&](auto const& it) { return it.first < from->first + warm_up_window; });
            if (static_cast<double>(past - from) <= warm_up_allowed)
                continue;
            breaches.push_back({"warm_up",
                stated.worker + " got " + std::to_string(past - from)
                    + " requests in 1 s while it warmed up"});
            return;
        }
    }

    auto check_leaving(Observed const& seen, AnswersByAttempt const& answers, WorkerStated const& stated,
        std::vector<Breach>& breaches) -> void
    {
        if (stated.leaving_from == Instant::max())
            return;
        auto const told
            = routers_told(seen, answers, stated.worker, stated.leaving_from, Instant::max(), is_of_worker);
        for (auto const& [at, attempt] : stated.arrivals) {
            auto const answer = answers.find(attempt);
            if (answer == answers.end())
                continue;
            auto const router = answer->second->router;
            auto const it = told.find(router);
            auto const late = it != told.end() && answer->second->sent > it->second + leaving_allowed;
            if (late && !was_interrupted(seen, router, it->second, at))
                breaches.push_back({"leaving",
                    stated.worker + " got " + attempt + " from router " + std::to_string(router)
                        + " long after it had said that it leaves"});
        }
    }

} // namespace

auto check_statements(Observed const& seen, std::vector<Breach>& breaches) -> void
{
    AnswersByAttempt answers;
    for (auto const& answer : seen.answers)
        answers[answer.attempt] = &answer;
    for (auto const& stated : seen.stated) {
        check_limit(seen, answers, stated, breaches);
        check_rests(seen, answers, stated, breaches);
        check_leaving(seen, answers, stated, breaches);
        check_warm_up(stated, breaches);
    }
}

} // namespace graniteseam::testbed::soak
