#include "testbed/soak/probes.h"

#include <algorithm>
#include <thread>

#include "src/runtime/clock.h"
#include "testbed/registered/http_call.h"

namespace graniteseam::testbed::soak {

namespace {

    constexpr auto pause_of_prober = std::chrono::milliseconds(10);
    constexpr Duration probe_limit {1'000'000};

} // namespace

auto path_since(std::uint64_t version) -> std::string
{
    return "/since-" + std::to_string(version) + "/";
}

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
    // Half of what a configuration routes: changes that are under way may go on from here.
    if (it == m_accepted.rend() || m_accepted.back().version - it->version > versions_routed / 2)
        return std::nullopt;
    return *it;
}

auto run_prober(Endpoints const& endpoints, AcceptedVersions const& versions, std::stop_token const& stop)
    -> std::vector<SeenProbe>
{
    std::vector<SeenProbe> probes;
    HttpCaller caller;
    while (!stop.stop_requested()) {
        std::this_thread::sleep_for(pause_of_prober);
        auto const now = runtime::BootTimeNow();
        auto const accepted = versions.newest_before(now - in_force_within);
        if (!accepted)
            continue;
        SeenProbe probe {{}, accepted->version, accepted->acknowledged};
        SeenAnswer& answer = probe.answer;
        answer.attempt = "p-" + std::to_string(probes.size());
        answer.router = static_cast<std::uint32_t>(probes.size() % endpoints.routers.size());
        answer.sent = now;
        event_http::Request request;
        request.method = "GET";
        request.target = path_since(accepted->version) + "x";
        request.fields.Add("Host", "a.example");
        request.fields.Add(endpoints.names.attempt_id, answer.attempt);
        request.fields.Add(endpoints.names.time_left_ms, "1000");
        auto const result = caller.Call(endpoints.routers[answer.router], request, probe_limit);
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
