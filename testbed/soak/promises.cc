#include "testbed/soak/promises.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "graniteseam/common/duration_text.h"
#include "testbed/soak/calm.h"
#include "testbed/soak/planned_work_promises.h"
#include "testbed/soak/retry_promises.h"
#include "testbed/soak/stated_promises.h"
#include "testbed/soak/tenants.h"
#include "testbed/soak/version_promises.h"

namespace graniteseam::testbed::soak {

namespace {

    /// The least share of requests that must be served once all faults were undone and time to recover was
    /// given: as the users ask.
    constexpr double served_share_minimum = 0.25;

    /// That a close without an answer is allowed to happen.
    constexpr std::size_t lost_allowed = 3;
    /// A grant counts only if it comes later than this after its sender went on.
    constexpr Duration thaw_slack {300'000};

    auto add(std::vector<Breach>& breaches, std::string promise, std::string detail) -> void
    {
        breaches.push_back({std::move(promise), std::move(detail)});
    }

    /// Statuses by which a router says that a request has not run and never will.
    auto promises_not_run(int status) -> bool
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    auto check_runs_of_answers(Observed const& seen, std::vector<Breach>& breaches) -> void
    {
        std::map<std::string, int> runs;
        for (auto const& run : seen.runs)
            ++runs[run.attempt];
        std::set<std::string> known;
        for (auto const& answer : seen.answers) {
            known.insert(answer.attempt);
            auto const it = runs.find(answer.attempt);
            auto const n = it == runs.end() ? 0 : it->second;
            if (!answer.may_repeat && n > 1)
                add(breaches, "at_most_once", answer.attempt + " ran " + std::to_string(n) + " times");
            if (promises_not_run(answer.status) && n > 0)
                add(breaches, "not_run",
                    answer.attempt + " was refused and ran"
                        + (answer.may_repeat ? "" : ", and may run once only"));
            if (!answer.own)
                add(breaches, "own_answer",
                    answer.attempt + " got an answer that is not its own or not whole, status "
                        + std::to_string(answer.status) + " of router " + std::to_string(answer.router));
            if (answer.out_of_order)
                add(breaches, "answers_in_order", answer.attempt + " got the answer of another attempt");
            if (answer.status / 100 == 2 && n == 0)
                add(breaches, "own_answer", answer.attempt + " succeeded and no worker ran it");
        }
        for (auto const& [attempt, n] : runs) {
            if (!known.contains(attempt))
                add(breaches, "asked_for", attempt + " ran and nobody sent it");
        }
    }

    /// Servers see whose request it is, and no key; a key that nobody has runs nothing.
    auto check_tenants(Observed const& seen, std::vector<Breach>& breaches) -> void
    {
        std::map<std::string, SeenAnswer const*> answers;
        for (auto const& answer : seen.answers)
            answers[answer.attempt] = &answer;
        for (auto const& run : seen.runs) {
            auto const it = answers.find(run.attempt);
            if (it != answers.end() && it->second->tenant != run.tenant)
                add(breaches, "own_tenant",
                    run.attempt + " of tenant '" + it->second->tenant + "' ran as one of '" + run.tenant
                        + "'");
            if (it != answers.end() && it->second->unknown_key)
                add(breaches, "known_key", run.attempt + " ran under a key that nobody has");
            if (run.saw_api_key)
                add(breaches, "key_hidden", run.attempt + " came to " + run.worker + " with its key");
        }
    }

    auto check_quota(Observed const& seen, SoakTenant const& tenant, std::vector<Breach>& breaches) -> void
    {
        std::vector<Instant> begun;
        for (auto const& run : seen.runs) {
            if (run.tenant == tenant.name)
                begun.push_back(run.begun);
        }
        std::sort(begun.begin(), begun.end());
        auto const allowed = allowed_in_window(tenant);
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < begun.size(); ++last) {
            while (begun[last] - begun[first] >= quota_window)
                ++first;
            most = std::max(most, last - first + 1);
        }
        if (most > allowed)
            add(breaches, "quota",
                std::to_string(most) + " requests of tenant " + tenant.name + " within 5 s, "
                    + std::to_string(allowed) + " allowed");
    }

    auto key_text(std::string const& service, std::uint32_t key) -> std::string
    {
        return (service.empty() ? "" : service + " ") + "key " + std::to_string(key);
    }

    auto check_owners(Observed const& seen, std::vector<Breach>& breaches) -> void
    {
        std::map<std::pair<std::string, std::uint32_t>, std::vector<WorkerRun const*>> by_key;
        for (auto const& run : seen.runs) {
            if (run.key)
                by_key[{run.service, *run.key}].push_back(&run);
        }
        for (auto& [name, runs] : by_key) {
            auto const& [service, key] = name;
            std::sort(
                runs.begin(), runs.end(), [](auto const* a, auto const* b) { return a->begun < b->begun; });
            for (std::size_t i = 0; i + 1 < runs.size(); ++i) {
                for (std::size_t j = i + 1; j < runs.size() && runs[j]->begun < runs[i]->ended; ++j) {
                    if (runs[j]->worker != runs[i]->worker)
                        add(breaches, "one_owner",
                            key_text(service, key) + " ran at " + runs[i]->worker + " and "
                                + runs[j]->worker);
                }
                auto const& next = *runs[i + 1];
                if (next.worker != runs[i]->worker && next.fence <= runs[i]->fence)
                    add(breaches, "fences_rise",
                        key_text(service, key) + " went on under fence " + std::to_string(next.fence) + " at "
                            + next.worker + " after " + std::to_string(runs[i]->fence) + " at "
                            + runs[i]->worker);
            }
        }
    }

    auto same_grant(WorkerHold const& a, WorkerHold const& b) -> bool
    {
        return a.worker == b.worker && a.span.first == b.span.first && a.span.last == b.span.last
            && a.span.fence == b.span.fence;
    }

    /// Grants of one service in the order of their arrival, renewals joined to what they renew; without
    /// those that came within the slack after a control process went on.
    auto joined_holds(std::vector<WorkerHold const*> holds, std::vector<Instant> const& thaws)
        -> std::vector<WorkerHold>
    {
        std::erase_if(holds, [&](auto const* hold) {
            return std::any_of(thaws.begin(), thaws.end(), [&](auto const& thaw) {
                return thaw <= hold->span.since && hold->span.since <= thaw + thaw_slack;
            });
        });
        std::sort(holds.begin(), holds.end(), [](auto const* a, auto const* b) {
            return std::tie(a->worker, a->span.first, a->span.last, a->span.fence, a->span.since)
                < std::tie(b->worker, b->span.first, b->span.last, b->span.fence, b->span.since);
        });
        std::vector<WorkerHold> joined;
        for (auto const* hold : holds) {
            if (!joined.empty() && same_grant(joined.back(), *hold)
                && hold->span.since <= joined.back().span.until)
                joined.back().span.until = std::max(joined.back().span.until, hold->span.until);
            else
                joined.push_back(*hold);
        }
        std::sort(joined.begin(), joined.end(),
            [](auto const& a, auto const& b) { return a.span.since < b.span.since; });
        return joined;
    }

    /// What instances held, whether anybody asked for the keys or not.
    auto check_holds(Observed const& seen, std::vector<Breach>& breaches) -> void
    {
        std::map<std::string, std::vector<WorkerHold const*>> by_service;
        for (auto const& hold : seen.holds)
            by_service[hold.service].push_back(&hold);
        for (auto const& [service, all] : by_service) {
            auto const holds = joined_holds(all, seen.thaws);
            std::set<std::pair<std::string, std::string>> found; // What was held with gaps is told once.
            for (std::size_t later = 1; later < holds.size(); ++later) {
                auto const& b = holds[later];
                for (std::size_t earlier = 0; earlier < later; ++earlier) {
                    auto const& a = holds[earlier];
                    if (a.worker == b.worker || !Overlap(a.span, b.span))
                        continue;
                    auto const what = key_text(service, std::max(a.span.first, b.span.first)) + " to "
                        + std::to_string(std::min(a.span.last, b.span.last)) + ", " + a.worker
                        + " under fence " + std::to_string(a.span.fence) + ", " + b.worker + " under fence "
                        + std::to_string(b.span.fence);
                    if (b.span.since < a.span.until)
                        found.emplace("held_alone", what + " at once");
                    if (b.span.fence <= a.span.fence)
                        found.emplace("held_under_higher_fence", what + " after it");
                }
            }
            for (auto const& [promise, detail] : found)
                add(breaches, promise, detail);
        }
    }

    auto check_drains(Observed const& seen, std::vector<Breach>& breaches) -> void
    {
        std::map<std::string, SeenAnswer const*> answers;
        for (auto const& answer : seen.answers)
            answers[answer.attempt] = &answer;
        for (auto const& drain : seen.drains) {
            for (auto const& attempt : drain.late_arrivals) {
                auto const it = answers.find(attempt);
                auto const counts = it == answers.end()
                    || in_touch(seen, it->second->router, it->second->sent, it->second->ended);
                if (counts)
                    add(breaches, "drained_rests", drain.worker + " got " + attempt + " late");
            }
        }
    }

    auto check_kept_connections(Observed const& seen, std::vector<Breach>& breaches) -> void
    {
        auto const lost = lost_on_kept_connections(seen);
        if (lost.size() <= lost_allowed)
            return;
        for (auto const& answer : lost)
            add(breaches, "kept_is_answered",
                answer.attempt + " ran, and router " + std::to_string(answer.router)
                    + " closed its connection without an answer");
    }

    auto check_changes(Observed const& seen, std::vector<Breach>& breaches) -> void
    {
        std::map<std::uint64_t, SeenChange const*> accepted_on;
        std::map<std::uint64_t, SeenChange const*> accepted;
        for (auto const& change : seen.changes) {
            if (!change.accepted)
                continue;
            auto const [it, first] = accepted_on.try_emplace(change.base, &change);
            if (!first && it->second->body != change.body)
                add(breaches, "one_winner",
                    "two changes on version " + std::to_string(change.base) + " were accepted");
            auto const known = accepted.try_emplace(change.version, &change).first;
            if (change.ended < known->second->ended)
                known->second = &change;
        }
        for (auto const& read : seen.reads) {
            for (auto const& [version, change] : accepted) {
                if (change->ended < read.sent && read.version < version)
                    add(breaches, "accepted_stays",
                        "version " + std::to_string(read.version) + " was read after "
                            + std::to_string(version) + " was accepted");
            }
            auto const it = accepted.find(read.version);
            if (it != accepted.end() && it->second->body != read.body)
                add(breaches, "accepted_stays",
                    "version " + std::to_string(read.version) + " reads otherwise than it was sent");
        }
    }

    /// While the control group was disturbed, changes need not be in force anywhere sooner than after the
    /// last disturbance, so that only calm time is looked at. While it was strained, a router may say that it
    /// is not sure of its configuration.
    auto check_in_force(Observed const& seen, std::vector<Breach>& breaches) -> void
    {
        constexpr int no_such_route = 404;
        for (auto const& probe : seen.probes) {
            auto const& [answer, version, acknowledged, path, round] = probe;
            if (is_changing(path) || (answer.status != no_such_route && !answer.unconfirmed))
                continue;
            auto const calm = core_is_calm(seen, acknowledged, answer.sent)
                && in_touch(seen, answer.router, answer.sent, answer.sent);
            auto const may_be_unsure
                = answer.unconfirmed && !core_is_unstrained(seen, acknowledged, answer.sent);
            if (calm && !may_be_unsure)
                add(breaches, "in_force",
                    "router " + std::to_string(answer.router) + " did not know version "
                        + std::to_string(version) + " " + InMs(answer.sent - acknowledged)
                        + " after its acknowledgement");
        }
    }

    auto check_acknowledged(Observed const& seen, std::vector<Breach>& breaches) -> void
    {
        using Name = std::pair<std::uint64_t, std::string>;
        std::map<Name, Instant> clear;
        std::map<Name, Instant> last_sent;
        for (auto const& change : seen.changes) {
            Name const name(change.version, change.body);
            last_sent[name] = change.sent;
            if (change.accepted || change.refused)
                clear.try_emplace(name, change.ended);
        }
        std::set<Name> begun;
        std::set<Name> told;
        for (auto const& change : seen.changes) {
            Name const name(change.version, change.body);
            auto const due = change.sent + answered_within;
            auto const it = clear.find(name);
            auto const late = it == clear.end() ? seen.ended >= due : it->second > due;
            // A change that was first sent in a disturbance counts from a resend in calm on, where the
            // operator did not give it up meanwhile.
            auto const counts = begun.insert(name).second || last_sent.at(name) >= due;
            if (late && counts && core_is_unstrained(seen, change.sent, due) && told.insert(name).second)
                add(breaches, "acknowledged",
                    "version " + std::to_string(name.first) + " had no clear answer after "
                        + InMs(answered_within) + " of calm");
        }
    }

    auto check_readable(Observed const& seen, std::vector<Breach>& breaches) -> void
    {
        for (auto const& failed : seen.read_tries) {
            auto const due = failed.sent + answered_within;
            if (failed.answered || due > seen.ended || !core_is_unstrained(seen, failed.sent, due))
                continue;
            auto const answered = std::any_of(seen.read_tries.begin(), seen.read_tries.end(),
                [&](auto const& it) { return it.answered && it.ended >= failed.sent && it.ended <= due; });
            if (!answered)
                add(breaches, "readable",
                    "the configuration could not be read within " + InMs(answered_within) + " of calm");
        }
    }

    /// Workers end by themselves while they run requests that have nothing to do with it.
    auto check_spared(Observed const& seen, std::vector<Breach>& breaches) -> void
    {
        for (auto const& answer : seen.answers) {
            if (answer.quarantined && !answer.crashes)
                add(breaches, "spared", answer.attempt + " was refused as one that ends its servers");
        }
    }

    /// What ends each worker that runs it reaches few more of them, by routers in touch, from `contact` after
    /// the third one ended under it.
    auto check_contained(Observed const& seen, std::vector<Breach>& breaches) -> void
    {
        constexpr std::size_t ends_to_contain = 3;
        constexpr std::size_t later_allowed = 3;
        std::map<std::string, SeenAnswer const*> answers;
        for (auto const& answer : seen.answers)
            answers[answer.attempt] = &answer;
        std::map<std::string, std::vector<WorkerCrash const*>> by_path;
        for (auto const& crash : seen.crashes)
            by_path[crash.path].push_back(&crash);
        for (auto& [path, crashes] : by_path) {
            std::sort(
                crashes.begin(), crashes.end(), [](auto const* a, auto const* b) { return a->at < b->at; });
            if (crashes.size() <= ends_to_contain)
                continue;
            auto const from = crashes[ends_to_contain - 1]->at + contact;
            auto const later = std::count_if(crashes.begin(), crashes.end(), [&](auto const* it) {
                auto const answer = answers.find(it->attempt);
                // Without a leader nobody can tell the gateways; the users' rule asks for a stable core too.
                return it->at > from && answer != answers.end() && core_is_calm(seen, it->at, it->at)
                    && in_touch(seen, answer->second->router, it->at, it->at);
            });
            if (static_cast<std::size_t>(later) > later_allowed)
                add(breaches, "contained",
                    path + " ended " + std::to_string(later) + " more workers after the third");
        }
    }

} // namespace

auto lost_on_kept_connections(Observed const& seen) -> std::vector<SeenAnswer>
{
    std::map<std::string, WorkerRun const*> runs;
    for (auto const& run : seen.runs)
        runs[run.attempt] = &run;
    std::vector<SeenAnswer> lost;
    for (auto const& answer : seen.answers) {
        if (!answer.kept || !answer.closed || answer.ended - answer.sent >= callers_deadline)
            continue;
        auto const run = runs.find(answer.attempt);
        if (run == runs.end())
            continue;
        auto const end = seen.worker_ends.find(run->second->worker);
        auto const sound = end == seen.worker_ends.end() || end->second > answer.ended;
        if (sound && in_touch(seen, answer.router, answer.sent, answer.ended))
            lost.push_back(answer);
    }
    return lost;
}

static auto check_memory(Observed const& seen, std::vector<Breach>& breaches) -> void
{
    for (auto const& memory : seen.memory) {
        auto const bound = memory.program == "router" ? router_memory_bytes : control_memory_bytes;
        if (memory.peak_bytes <= bound)
            continue;
        add(breaches, "memory",
            "a " + memory.program + " process of machine " + std::to_string(memory.machine) + " held "
                + std::to_string(memory.peak_bytes / bytes_per_megabyte) + " MB of "
                + std::to_string(bound / bytes_per_megabyte));
    }
}

auto check_promises(Observed const& seen) -> std::vector<Breach>
{
    std::vector<Breach> breaches;
    check_runs_of_answers(seen, breaches);
    check_tenants(seen, breaches);
    check_quota(seen, limited_tenant(), breaches);
    check_owners(seen, breaches);
    check_changes(seen, breaches);
    check_holds(seen, breaches);
    check_drains(seen, breaches);
    check_statements(seen, breaches);
    check_kept_connections(seen, breaches);
    check_planned_work(seen, breaches);
    check_retries(seen, breaches);
    check_spared(seen, breaches);
    check_contained(seen, breaches);
    check_in_force(seen, breaches);
    check_versions(seen, breaches);
    check_acknowledged(seen, breaches);
    check_readable(seen, breaches);
    check_memory(seen, breaches);
    auto const wanted = static_cast<double>(seen.asked_at_the_end) * served_share_minimum;
    if (static_cast<double>(seen.served_at_the_end) < wanted)
        add(breaches, "recovers",
            std::to_string(seen.served_at_the_end) + " of " + std::to_string(seen.asked_at_the_end)
                + " were served at the end");
    return breaches;
}

} // namespace graniteseam::testbed::soak
