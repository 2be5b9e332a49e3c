#include "testbed/soak/probes.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <latch>
#include <thread>

#include "src/event_http/client_pool.h"
#include "src/runtime/clock.h"
#include "src/runtime/event_loop.h"
#include "testbed/registered/http_call.h"
#include "testbed/soak/routed_paths.h"

namespace graniteseam::testbed::soak {

namespace {

    constexpr auto pause_of_prober = std::chrono::milliseconds(10);
    constexpr Duration probe_limit {1'000'000};
    constexpr auto pause_of_rounds = std::chrono::milliseconds(50);
    /// A round without a new change to ask for.
    constexpr Duration round_interval {1'000'000};
    constexpr std::size_t body_bytes = 1'200;

    auto request_for(Endpoints const& endpoints, SeenProbe const& probe) -> event_http::Request
    {
        event_http::Request request;
        request.method = "GET";
        request.target = probe.path + "x";
        request.fields.Add("Host", "a.example");
        request.fields.Add(endpoints.names.attempt_id, probe.answer.attempt);
        request.fields.Add(endpoints.names.time_left_ms, "1000");
        return request;
    }

    auto note_answer(event_http::CallResult const& result, SeenAnswer& answer) -> void
    {
        answer.ended = runtime::BootTimeNow();
        if (result.end != event_http::CallEnd::kAnswered)
            return;
        answer.status = result.response.status;
        auto const names
            = [&](char const* reason) { return result.response.body.find(reason) != std::string::npos; };
        answer.unconfirmed = names("\"unconfirmed\"") || names("\"outdated\"");
    }

    /// Sends one request to each router at one moment. Not thread safe.
    class RoundSender {
    public:
        explicit RoundSender(Endpoints const& endpoints)
            : m_endpoints(endpoints)
            , m_pool(m_loop.context(), {})
        {
        }
        ~RoundSender() { m_loop.Stop(); }
        RoundSender(RoundSender const&) = delete;
        auto operator=(RoundSender const&) -> RoundSender& = delete;

        /// Sends the probes, one for each router, and waits for all answers.
        auto send(std::vector<SeenProbe>& probes, bool with_body) -> void
        {
            std::latch open(static_cast<std::ptrdiff_t>(probes.size()));
            boost::asio::post(m_loop.context(), [&] {
                auto const now = runtime::BootTimeNow();
                for (auto& probe : probes) {
                    probe.answer.sent = now;
                    m_pool.Start(call_for(probe, with_body), [&](event_http::CallResult const& result) {
                        note_answer(result, probe.answer);
                        open.count_down();
                    });
                }
            });
            open.wait();
        }

    private:
        auto call_for(SeenProbe const& probe, bool with_body) const -> event_http::Call
        {
            auto request = request_for(m_endpoints, probe);
            if (with_body) {
                request.method = "PUT";
                request.body.assign(body_bytes, 'x');
            }
            event_http::Call call;
            call.address = m_endpoints.routers[probe.answer.router];
            call.bytes = event_http::Serialize(request);
            call.limit = probe_limit;
            return call;
        }

        Endpoints const& m_endpoints;
        runtime::EventLoop m_loop;
        event_http::ClientPool m_pool;
    };

    /// A path that a version changed; any changing one where it changed none.
    auto path_changed_by(AcceptedVersions const& versions, std::uint64_t version, std::size_t round)
        -> std::string
    {
        auto const& paths = changing_paths();
        auto const before = versions.before(version);
        for (std::size_t i = 0; before && i < paths.size(); ++i) {
            auto const& path = paths[(round + i) % paths.size()];
            if (services_for(*before, path) != services_for(version, path))
                return path;
        }
        return paths[round % paths.size()];
    }

    /// Each router is asked for each path, whatever their numbers have in common.
    auto changing_path(std::size_t round) -> std::string const&
    {
        auto const& paths = changing_paths();
        return paths[round % paths.size()];
    }

} // namespace

auto AcceptedVersions::add(std::uint64_t version) -> void
{
    std::lock_guard const lock(m_mutex);
    m_accepted.push_back({version, runtime::BootTimeNow()});
}

auto AcceptedVersions::newest_before(Instant instant) const -> std::optional<Accepted>
{
    std::lock_guard const lock(m_mutex);
    auto const it = std::find_if(m_accepted.rbegin(), m_accepted.rend(),
        [&](auto const& accepted) { return accepted.acknowledged <= instant; });
    if (it == m_accepted.rend())
        return std::nullopt;
    return *it;
}

auto AcceptedVersions::before(std::uint64_t version) const -> std::optional<std::uint64_t>
{
    std::lock_guard const lock(m_mutex);
    auto const it = std::find_if(m_accepted.rbegin(), m_accepted.rend(),
        [&](auto const& accepted) { return accepted.version < version; });
    if (it == m_accepted.rend())
        return std::nullopt;
    return it->version;
}

auto AcceptedVersions::is_outdated(Accepted const& accepted) const -> bool
{
    std::lock_guard const lock(m_mutex);
    // Half of what a configuration routes: changes that are under way may go on from here.
    return m_accepted.back().version - accepted.version > versions_routed / 2;
}

auto run_prober(Endpoints const& endpoints, AcceptedVersions const& versions, std::stop_token const& stop)
    -> std::vector<SeenProbe>
{
    std::vector<SeenProbe> probes;
    HttpCaller caller;
    auto const routers = endpoints.routers.size();
    for (std::size_t turn = 0; !stop.stop_requested(); ++turn) {
        std::this_thread::sleep_for(pause_of_prober);
        auto const now = runtime::BootTimeNow();
        auto const accepted = versions.newest_before(now - in_force_within);
        auto const of_added = turn / routers % 2 == 0;
        if (!accepted || (of_added && versions.is_outdated(*accepted)))
            continue;
        SeenProbe probe {{}, accepted->version, accepted->acknowledged, {}};
        probe.path = of_added ? path_since(accepted->version) : changing_path(turn / routers / 2);
        SeenAnswer& answer = probe.answer;
        answer.attempt = "p-" + std::to_string(probes.size());
        answer.router = static_cast<std::uint32_t>(turn % routers);
        answer.sent = now;
        auto const result
            = caller.Call(endpoints.routers[answer.router], request_for(endpoints, probe), probe_limit);
        note_answer(result, answer);
        probes.push_back(probe);
    }
    return probes;
}

auto run_probe_rounds(
    Endpoints const& endpoints, AcceptedVersions const& versions, std::stop_token const& stop) -> ProbeRounds
{
    ProbeRounds seen;
    RoundSender sender(endpoints);
    std::uint64_t asked_for = 0;
    Instant last {};
    while (!stop.stop_requested()) {
        std::this_thread::sleep_for(pause_of_rounds);
        auto const now = runtime::BootTimeNow();
        auto const accepted = versions.newest_before(now - in_force_within);
        if (!accepted || (accepted->version == asked_for && now - last < round_interval))
            continue;
        asked_for = accepted->version;
        last = now;
        SeenProbe const one {{}, accepted->version, accepted->acknowledged,
            path_changed_by(versions, accepted->version, seen.rounds), ++seen.rounds};
        std::vector<SeenProbe> probes(endpoints.routers.size(), one);
        for (std::size_t i = 0; i < probes.size(); ++i) {
            probes[i].answer.router = static_cast<std::uint32_t>(i);
            probes[i].answer.attempt = "q" + std::to_string(seen.rounds) + "r" + std::to_string(i) + "-0";
        }
        sender.send(probes, seen.rounds % 2 == 0);
        std::move(probes.begin(), probes.end(), std::back_inserter(seen.probes));
    }
    return seen;
}

auto add_rounds(ProbeRounds const& rounds, Observed& seen) -> void
{
    seen.probes.insert(seen.probes.end(), rounds.probes.begin(), rounds.probes.end());
    std::stable_sort(seen.probes.begin(), seen.probes.end(),
        [](auto const& a, auto const& b) { return a.answer.sent < b.answer.sent; });
    seen.probe_rounds = rounds.rounds;
}

} // namespace graniteseam::testbed::soak
