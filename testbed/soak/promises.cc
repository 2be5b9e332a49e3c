#include "testbed/soak/promises.h"

#include <algorithm>
#include <map>
#include <set>

namespace graniteseam::testbed::soak {

namespace {

    /// The least share of requests that must be served once all faults were undone and time to recover was
    /// given: as the users ask.
    constexpr double served_share_minimum = 0.25;

    auto add(std::vector<Breach>& breaches, std::string promise, std::string detail) -> void
    {
        breaches.push_back({std::move(promise), std::move(detail)});
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
            auto const promised = answer.status == 503 || answer.status == 429;
            if (promised && n > 0)
                add(breaches, "not_run", answer.attempt + " was refused and ran");
            if (answer.status / 100 == 2 && !answer.own)
                add(breaches, "own_answer",
                    answer.attempt + " got an answer that is not its own or not whole");
            if (answer.status / 100 == 2 && n == 0)
                add(breaches, "own_answer", answer.attempt + " succeeded and no worker ran it");
        }
        for (auto const& [attempt, n] : runs) {
            if (!known.contains(attempt))
                add(breaches, "asked_for", attempt + " ran and nobody sent it");
        }
    }

    auto check_owners(Observed const& seen, std::vector<Breach>& breaches) -> void
    {
        std::map<std::uint32_t, std::vector<WorkerRun const*>> by_key;
        for (auto const& run : seen.runs) {
            if (run.key)
                by_key[*run.key].push_back(&run);
        }
        for (auto& [key, runs] : by_key) {
            std::sort(
                runs.begin(), runs.end(), [](auto const* a, auto const* b) { return a->begun < b->begun; });
            for (std::size_t i = 0; i + 1 < runs.size(); ++i) {
                for (std::size_t j = i + 1; j < runs.size() && runs[j]->begun < runs[i]->ended; ++j) {
                    if (runs[j]->worker != runs[i]->worker)
                        add(breaches, "one_owner",
                            "key " + std::to_string(key) + " ran at " + runs[i]->worker + " and "
                                + runs[j]->worker);
                }
                auto const& next = *runs[i + 1];
                if (next.worker != runs[i]->worker && next.fence <= runs[i]->fence)
                    add(breaches, "fences_rise",
                        "key " + std::to_string(key) + " went on under fence " + std::to_string(next.fence));
            }
        }
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

} // namespace

auto check_promises(Observed const& seen) -> std::vector<Breach>
{
    std::vector<Breach> breaches;
    check_runs_of_answers(seen, breaches);
    check_owners(seen, breaches);
    check_changes(seen, breaches);
    for (auto const& drain : seen.drains) {
        if (drain.late_arrivals > 0)
            add(breaches, "drained_rests",
                drain.worker + " got " + std::to_string(drain.late_arrivals) + " requests late");
    }
    auto const wanted = static_cast<double>(seen.asked_at_the_end) * served_share_minimum;
    if (static_cast<double>(seen.served_at_the_end) < wanted)
        add(breaches, "recovers",
            std::to_string(seen.served_at_the_end) + " of " + std::to_string(seen.asked_at_the_end)
                + " were served at the end");
    return breaches;
}

} // namespace graniteseam::testbed::soak
