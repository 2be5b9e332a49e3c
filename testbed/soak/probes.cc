#include "testbed/soak/probes.h"

#include <algorithm>
#include <thread>

#include "src/runtime/clock.h"
#include "testbed/registered/http_call.h"
#include "testbed/soak/routed_paths.h"

namespace graniteseam::testbed::soak {

namespace {

    constexpr auto pause_of_prober = std::chrono::milliseconds(10);
    constexpr Duration probe_limit {1'000'000};

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
        answer.ended = runtime::BootTimeNow();
        if (result.end == event_http::CallEnd::kAnswered) {
            answer.status = result.response.status;
            answer.unconfirmed = result.response.body.find("\"unconfirmed\"") != std::string::npos;
        }
        probes.push_back(probe);
    }
    return probes;
}

} // namespace graniteseam::testbed::soak
