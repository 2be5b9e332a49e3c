#include "testbed/soak/load.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <thread>

#include "src/runtime/clock.h"
#include "testbed/registered/http_call.h"

namespace graniteseam::testbed::soak {

namespace {

    using event_http::CallEnd;
    using nlohmann::json;

    constexpr auto pause_of_callers = std::chrono::milliseconds(12);
    constexpr auto pause_of_operator = std::chrono::milliseconds(250);
    constexpr Duration call_limit {3'000'000};
    constexpr Duration read_patience {20'000'000};
    constexpr int resends_maximum = 6;
    constexpr std::uint32_t keys_asked_for = 64;
    constexpr std::uint32_t key_distance = 1'021;

    auto configuration_text(std::uint64_t version) -> std::string
    {
        auto const route = [&](char const* prefix, char const* kind, char const* service) {
            return json {{"name", std::string(prefix)}, {"host", "a.example"}, {"path_prefix", prefix},
                {"kind", kind}, {"timeout_ms", 2'000 + version % 7}, {"target_latency_ms", 500},
                {"priority", 1}, {"attempts_maximum", 2}, {"service", service}};
        };
        return json {{"version", version},
            {"routes",
                {route("/safe/", "safe", "pool"), route("/unsafe/", "unsafe", "pool"),
                    route("/keyed/", "safe", "keyed")}},
            {"services", {{{"name", "pool"}}, {{"name", "keyed"}, {"keyed", true}}}},
            {"limits", {{"idle_timeout_ms", 15'000}}}}
            .dump();
    }

    auto is_own(event_http::Response const& response, std::string const& attempt,
        daemon::ExchangeNames const& names) -> bool
    {
        auto const* id = response.fields.Find(names.attempt_id);
        auto const* seal = response.fields.Find(names.seal);
        return id != nullptr && *id == attempt && seal != nullptr && *seal == "seal-of-" + response.body;
    }

    struct Operator {
        Endpoints const& endpoints;
        std::mt19937_64 random;
        HttpCaller caller;
        SeenByOperator seen;
    };

    auto call(Operator& it, char const* method, std::string const& body, std::uint64_t base)
        -> event_http::CallResult
    {
        event_http::Request request;
        request.method = method;
        request.target = "/v1/traffic/configuration";
        request.fields.Add("Host", "control");
        request.fields.Add("If-Match", std::to_string(base));
        request.body = body;
        auto const& registry = it.endpoints.registries[it.random() % it.endpoints.registries.size()];
        return it.caller.CallFollowing(registry, request, call_limit);
    }

    auto read(Operator& it) -> std::optional<std::uint64_t>
    {
        auto const sent = runtime::BootTimeNow();
        auto const result = call(it, "GET", "", 0);
        if (result.end != CallEnd::kAnswered || result.response.status != 200)
            return std::nullopt;
        auto const body = json::parse(result.response.body, nullptr, false);
        if (body.is_discarded() || !body.contains("version"))
            return std::nullopt;
        auto const version = body["version"].get<std::uint64_t>();
        it.seen.reads.push_back({version, body.dump(), sent});
        return version;
    }

    /// @return whether it was accepted.
    auto change(Operator& it, std::uint64_t base, std::uint64_t version) -> bool
    {
        auto const text = configuration_text(version);
        for (int sending = 0; sending <= resends_maximum; ++sending) {
            SeenChange change {base, version, json::parse(text).dump(), false, runtime::BootTimeNow(), {}};
            auto const result = call(it, "PUT", text, base);
            change.ended = runtime::BootTimeNow();
            auto const answered = result.end == CallEnd::kAnswered;
            change.accepted = answered && result.response.status == 200;
            it.seen.changes.push_back(change);
            if (change.accepted)
                return true;
            if (answered && result.response.status / 100 == 4)
                return false;
            std::this_thread::sleep_for(pause_of_operator);
        }
        return false;
    }

} // namespace

auto run_caller(Endpoints const& endpoints, std::uint64_t seed, std::string const& name,
    std::stop_token const& stop) -> std::vector<SeenAnswer>
{
    auto const& names = endpoints.names;
    std::mt19937_64 random(seed);
    HttpCaller caller;
    std::vector<SeenAnswer> answers;
    while (!stop.stop_requested()) {
        auto const kind = random() % 3;
        SeenAnswer answer;
        answer.attempt = name + "-" + std::to_string(answers.size());
        answer.may_repeat = kind != 2;
        event_http::Request request;
        request.method = kind == 2 ? "POST" : "GET";
        request.target = kind == 0 ? "/keyed/x" : kind == 1 ? "/safe/x" : "/unsafe/x";
        request.fields.Add("Host", "a.example");
        request.fields.Add(names.attempt_id, answer.attempt);
        request.fields.Add(names.time_left_ms, "2000");
        if (kind == 0)
            request.fields.Add(names.key, std::to_string(random() % keys_asked_for * key_distance));
        if (kind == 2)
            request.body = "order";
        answer.sent = runtime::BootTimeNow();
        auto const result
            = caller.Call(endpoints.routers[random() % endpoints.routers.size()], request, call_limit);
        answer.ended = runtime::BootTimeNow();
        if (result.end == CallEnd::kAnswered) {
            answer.status = result.response.status;
            answer.own = answer.status / 100 != 2 || is_own(result.response, answer.attempt, names);
        }
        answers.push_back(std::move(answer));
        std::this_thread::sleep_for(pause_of_callers);
    }
    return answers;
}

auto run_operator(Endpoints const& endpoints, std::uint64_t seed, std::stop_token const& stop)
    -> SeenByOperator
{
    Operator it {endpoints, std::mt19937_64(seed), {}, {}};
    std::uint64_t current = 0;
    while (!stop.stop_requested()) {
        auto const version = current + 1 + it.random() % 3;
        if (change(it, current, version)) {
            // A rival that builds on the same version must lose, also when it comes to another machine.
            if (it.random() % 4 == 0)
                change(it, current, version + 1);
            current = version;
        }
        std::this_thread::sleep_for(pause_of_operator);
        if (auto const newest = read(it))
            current = *newest;
    }
    auto const end = runtime::BootTimeNow() + read_patience;
    while (!read(it) && runtime::BootTimeNow() < end)
        std::this_thread::sleep_for(pause_of_operator);
    return std::move(it.seen);
}

} // namespace graniteseam::testbed::soak
