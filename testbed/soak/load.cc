#include "testbed/soak/load.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <thread>

#include "src/runtime/clock.h"
#include "testbed/registered/http_call.h"
#include "testbed/soak/caller_connection.h"
#include "testbed/soak/probes.h"
#include "testbed/soak/routed_paths.h"
#include "testbed/soak/tenants.h"

namespace graniteseam::testbed::soak {

namespace {

    using event_http::CallEnd;
    using nlohmann::json;

    constexpr auto pause_of_callers = std::chrono::milliseconds(12);
    constexpr Duration hesitation_least {50'000};
    constexpr Duration hesitation_spread {150'000};
    constexpr auto pause_of_operator = std::chrono::milliseconds(250);
    /// Of callers that rest, before the router of their connection is told to stop.
    constexpr Duration rest_least_before_stop {200'000};
    constexpr Duration rest_spread {2'000'000};
    /// One connection in so many brings no answer before its rest.
    constexpr std::uint64_t silent_every = 4;
    /// One in so many opens its connection only just before it sends.
    constexpr std::uint64_t hesitant_every = 4;
    /// When they send, after the stop: a router closes connections that rest half-way through its 6 s.
    constexpr Duration around_close_from {2'300'000};
    constexpr Duration around_close_spread {1'100'000};
    constexpr Duration together_from {2'720'000};
    constexpr Duration together_until {2'800'000};
    constexpr Duration together_spread {3'000};
    constexpr Duration soon_after_from {10'000};
    constexpr Duration soon_after_spread {150'000};
    constexpr Duration call_limit {3'000'000};
    /// The operator moves on after a second of silence.
    constexpr Duration operator_call_limit {1'000'000};
    constexpr Duration read_patience {20'000'000};
    constexpr Duration connect_limit {1'000'000};
    constexpr int connections_tried = 3;
    /// Of an operator: one change in so many begins a series without pauses, of at most so many.
    constexpr std::uint64_t series_every = 6;
    constexpr std::uint64_t series_longest = 5;
    constexpr int resends_maximum = 6;
    /// One change in so many is followed by a rest, longer than a change takes to be in force: only then a
    /// router that is behind by a few changes can be told from one that is not.
    constexpr std::uint64_t rest_every = 8;
    constexpr auto rest_of_operator = std::chrono::milliseconds(4'000);
    /// Apart from the numbers that versions are drawn from.
    constexpr std::uint64_t form_salt = 0x5eed'0f5a'4a9e'0002;
    constexpr std::size_t all_kinds = 4; ///< Of requests; the last one is of those that may not be repeated.
    constexpr std::uint64_t time_left_ms = 2'000;
    /// Of requests that may run once: what differs between them.
    constexpr std::uint64_t large_body_every = 8;
    constexpr std::uint64_t body_largest = 1'048'576;
    constexpr std::uint64_t time_least_ms = 150;
    constexpr std::uint64_t time_spread_ms = 1'350;
    constexpr std::uint64_t unknown_key_every = 40;
    constexpr std::uint32_t keys_asked_for = 64;
    constexpr std::uint32_t key_distance = 1'021;

    auto is_own(event_http::Response const& response, std::string const& attempt,
        daemon::ExchangeNames const& names) -> bool
    {
        auto const* id = response.fields.Find(names.attempt_id);
        auto const* seal = response.fields.Find(names.seal);
        return id != nullptr && *id == attempt && seal != nullptr && *seal == "seal-of-" + response.body;
    }

    struct Operator {
        Endpoints const& endpoints;
        AcceptedVersions& accepted;
        std::mt19937_64 random;
        std::mt19937_64 random_forms; ///< Of whole changes and patches, and of rests.
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
        auto const registries = it.endpoints.registries->Addresses();
        auto const& registry = registries[it.random() % registries.size()];
        return it.caller.CallFollowing(registry, request, operator_call_limit);
    }

    auto read(Operator& it) -> std::optional<std::uint64_t>
    {
        auto const sent = runtime::BootTimeNow();
        auto const result = call(it, "GET", "", 0);
        auto const answered = result.end == CallEnd::kAnswered && result.response.status == 200;
        it.seen.read_tries.push_back({sent, runtime::BootTimeNow(), answered});
        if (!answered)
            return std::nullopt;
        auto const body = json::parse(result.response.body, nullptr, false);
        if (body.is_discarded() || !body.contains("version"))
            return std::nullopt;
        auto const version = body["version"].get<std::uint64_t>();
        it.seen.reads.push_back({version, in_order(body).dump(), sent});
        return version;
    }

    /// @return whether it was accepted.
    auto change(Operator& it, std::uint64_t base, std::uint64_t version) -> bool
    {
        auto const whole = base == 0 || it.random_forms() % 2 == 0;
        auto const coordinated = it.endpoints.coordinated;
        auto const sent_whole = configuration_of(version, coordinated);
        auto const text = whole ? sent_whole.dump() : patch_between(base, version, coordinated).dump();
        auto const body = in_order(sent_whole).dump();
        for (int sending = 0; sending <= resends_maximum; ++sending) {
            SeenChange change {base, version, body, false, runtime::BootTimeNow(), {}, {}};
            auto const result = call(it, whole ? "PUT" : "PATCH", text, base);
            change.ended = runtime::BootTimeNow();
            auto const answered = result.end == CallEnd::kAnswered;
            change.accepted = answered && result.response.status == 200;
            change.refused = answered && result.response.status / 100 == 4;
            it.seen.changes.push_back(change);
            if (change.accepted) {
                it.accepted.add(version);
                return true;
            }
            if (change.refused)
                return false;
            std::this_thread::sleep_for(pause_of_operator);
        }
        return false;
    }

    auto rest(std::stop_token const& stop) -> void
    {
        auto const end = std::chrono::steady_clock::now() + rest_of_operator;
        while (!stop.stop_requested() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(pause_of_operator);
    }

    struct Caller {
        Endpoints const& endpoints;
        CallerOptions const& options;
        std::mt19937_64 random;
        std::mt19937_64 random_keys; ///< Apart, so that a seed's requests stay what they were.
        HttpCaller pooled;
        std::optional<CallerConnection> connection;
        std::uint32_t router = 0; ///< That the connection leads to.
    };

    auto draw_router(Caller& it) -> std::uint32_t
    {
        return static_cast<std::uint32_t>(it.random() % it.endpoints.routers.size());
    }

    /// Shows its tenant's key, now and then one that nobody has, and claims to be somebody else.
    auto show_key(Caller& it, event_http::Request& request, SeenAnswer& answer) -> void
    {
        auto const& tenant = it.options.limited ? limited_tenant() : unlimited_tenant();
        answer.unknown_key = it.random_keys() % unknown_key_every == 0;
        answer.tenant = answer.unknown_key ? "" : tenant.name;
        request.fields.Add("Authorization",
            "Bearer " + (answer.unknown_key ? std::string(unknown_api_key) : tenant.api_key));
        request.fields.Add(it.endpoints.names.tenant, "somebody-else");
    }

    /// With all fields but the key.
    auto begin_request(Caller& it, SeenAnswer& answer, char const* method, char const* path,
        std::uint64_t time_left) -> event_http::Request
    {
        auto const& names = it.endpoints.names;
        event_http::Request request;
        request.method = method;
        request.target = path;
        request.fields.Add("Host", "a.example");
        request.fields.Add(names.attempt_id, answer.attempt);
        request.fields.Add(names.time_left_ms, std::to_string(time_left));
        show_key(it, request, answer);
        return request;
    }

    /// @param kinds of the four paths, from the first on.
    auto next_request(Caller& it, SeenAnswer& answer, std::size_t kinds) -> event_http::Request
    {
        auto const& names = it.endpoints.names;
        constexpr auto paths = std::to_array<char const*>({"/keyed/x", "/leased/x", "/safe/x", "/unsafe/x"});
        constexpr auto services = std::to_array<char const*>({"keyed", "leased", "pool", "pool"});
        auto const kind = it.random() % std::min(kinds, paths.size());
        auto const keyed = kind < 2;
        auto const unsafe = kind == 3;
        answer.may_repeat = !unsafe;
        answer.service = services[kind];
        auto request = begin_request(it, answer, unsafe ? "POST" : "GET", paths[kind], time_left_ms);
        if (keyed)
            request.fields.Add(names.key, std::to_string(it.random() % keys_asked_for * key_distance));
        if (unsafe)
            request.body = "order";
        return request;
    }

    /// One that may run once only.
    auto next_unsafe_request(Caller& it, SeenAnswer& answer) -> event_http::Request
    {
        auto const& names = it.endpoints.names;
        constexpr auto paths
            = std::to_array<char const*>({"/keyed-unsafe/x", "/leased-unsafe/x", "/unsafe/x"});
        constexpr auto services = std::to_array<char const*>({"keyed", "leased", "pool"});
        auto const kind = it.random() % paths.size();
        answer.may_repeat = false;
        answer.service = services[kind];
        auto const time_left = time_least_ms + it.random() % time_spread_ms;
        auto request = begin_request(it, answer, "POST", paths[kind], time_left);
        if (kind < 2)
            request.fields.Add(names.key, std::to_string(it.random() % keys_asked_for * key_distance));
        auto const large = it.random() % large_body_every == 0;
        request.body = std::string(large ? it.random() % body_largest : 1, 'x');
        return request;
    }

    auto note(Caller const& it, event_http::Response const& response, SeenAnswer& answer) -> void
    {
        answer.status = response.status;
        answer.quarantined = response.body.find("\"quarantined\"") != std::string::npos;
        answer.own = answer.status / 100 != 2 || is_own(response, answer.attempt, it.endpoints.names);
        answer.sealed = response.fields.Find(it.endpoints.names.seal) != nullptr;
    }

    auto call_pooled(Caller& it, event_http::Request const& request, SeenAnswer& answer) -> void
    {
        answer.router = draw_router(it);
        answer.sent = runtime::BootTimeNow();
        auto const result = it.pooled.Call(it.endpoints.routers[answer.router], request, call_limit);
        answer.ended = runtime::BootTimeNow();
        if (result.end == CallEnd::kAnswered)
            note(it, result.response, answer);
    }

    /// Keeps the connection that is open, or opens one: to the same router as before, or to another one
    /// where that takes none.
    auto connect(Caller& it) -> void
    {
        for (int opened = 0; opened < connections_tried && !(it.connection && it.connection->open());
             ++opened) {
            if (opened > 0)
                it.router = draw_router(it);
            it.connection.emplace(it.endpoints.routers[it.router], connect_limit);
        }
    }

    auto note_sending(Caller const& it, SeenAnswer& answer) -> void
    {
        answer.router = it.router;
        answer.sent = answer.ended = runtime::BootTimeNow();
        answer.kept = it.connection->kept();
    }

    auto note_end(Caller const& it, ExchangeOutcome const& outcome, SeenAnswer& answer) -> void
    {
        answer.ended = runtime::BootTimeNow();
        answer.reset = outcome.end == ExchangeEnd::Reset;
        answer.closed = outcome.end == ExchangeEnd::Closed || answer.reset;
        answer.known_open = outcome.known_open;
        if (outcome.end == ExchangeEnd::Malformed)
            answer.own = false;
        if (outcome.end == ExchangeEnd::Answered)
            note(it, outcome.response, answer);
    }

    auto call_kept(Caller& it, event_http::Request const& request, SeenAnswer& answer) -> void
    {
        connect(it);
        note_sending(it, answer);
        if (it.connection->open())
            note_end(it, it.connection->exchange(request, call_limit), answer);
    }

    auto draw_span(std::mt19937_64& random, Duration spread) -> Duration
    {
        return Duration(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(spread.count())));
    }

    /// Between the opening of a connection and the first request on it.
    auto hesitation(std::mt19937_64& random) -> Duration
    {
        return hesitation_least + draw_span(random, hesitation_spread);
    }

    auto call_fresh(Caller& it, event_http::Request const& request, SeenAnswer& answer) -> void
    {
        it.connection.reset();
        it.router = draw_router(it);
        connect(it);
        if (it.options.style == CallerStyle::Hesitant)
            std::this_thread::sleep_for(hesitation(it.random));
        call_kept(it, request, answer);
    }

    auto attempt_name(CallerOptions const& options, std::size_t number) -> std::string
    {
        return options.name + "-" + std::to_string(number);
    }

    /// Sends some requests in one piece and takes their answers in that order.
    auto call_ahead(Caller& it, CallerOptions const& options, std::vector<SeenAnswer>& answers) -> void
    {
        auto const kinds = options.style == CallerStyle::SafeAhead ? all_kinds - 1 : all_kinds;
        auto const first = answers.size();
        std::vector<event_http::Request> requests(1 + it.random() % options.ahead_longest);
        connect(it);
        for (auto& request : requests) {
            auto& answer = answers.emplace_back();
            answer.attempt = attempt_name(options, answers.size() - 1);
            request = options.style == CallerStyle::Unsafe ? next_unsafe_request(it, answer)
                                                           : next_request(it, answer, kinds);
            note_sending(it, answer);
        }
        if (!it.connection->open())
            return;
        auto const outcomes = it.connection->exchange_ahead(requests, call_limit);
        for (std::size_t i = 0; i < outcomes.size(); ++i) {
            note_end(it, outcomes[i], answers[first + i]);
            auto const* id = outcomes[i].response.fields.Find(it.endpoints.names.attempt_id);
            answers[first + i].out_of_order = id != nullptr && *id != answers[first + i].attempt;
        }
    }

    auto sends_ahead(CallerStyle style) -> bool
    {
        return style == CallerStyle::Ahead || style == CallerStyle::SafeAhead || style == CallerStyle::Unsafe;
    }

    /// Sends on the connection where it is open.
    auto call_open(Caller& it, std::vector<SeenAnswer>& answers) -> void
    {
        if (!it.connection->open())
            return;
        SeenAnswer answer;
        answer.attempt = attempt_name(it.options, answers.size());
        call_kept(it, next_request(it, answer, all_kinds), answer);
        answers.push_back(std::move(answer));
    }

    /// How long after a stop a resting caller sends: half of them at one moment, a quarter while the router
    /// is at work on what these sent, a quarter at any time around its close.
    auto draw_around_close(std::mt19937_64& random, PlannedStop const& stop) -> Duration
    {
        std::mt19937_64 shared(stop.seed);
        auto const together = together_from + draw_span(shared, together_until - together_from);
        switch (random() % 4) {
        case 0:
            return around_close_from + draw_span(random, around_close_spread);
        case 1:
            return together + soon_after_from + draw_span(random, soon_after_spread);
        default:
            return together + draw_span(random, together_spread);
        }
    }

    /// @return false when it is told to stop before.
    auto sleep_until(Instant instant, std::stop_token const& stop) -> bool
    {
        std::mutex mutex;
        std::unique_lock lock(mutex);
        std::condition_variable_any never;
        auto const told = [&] { return stop.stop_requested(); };
        return !never.wait_for(lock, stop, instant - runtime::BootTimeNow(), told);
    }

} // namespace

auto run_caller(Endpoints const& endpoints, CallerOptions const& options, std::stop_token const& stop)
    -> std::vector<SeenAnswer>
{
    Caller it {endpoints, options, std::mt19937_64(options.seed), std::mt19937_64(~options.seed), {}, {}, 0};
    std::vector<SeenAnswer> answers;
    while (!stop.stop_requested()) {
        if (sends_ahead(options.style)) {
            call_ahead(it, options, answers);
            std::this_thread::sleep_for(pause_of_callers);
            continue;
        }
        SeenAnswer answer;
        answer.attempt = attempt_name(options, answers.size());
        auto const request = next_request(it, answer, all_kinds);
        switch (options.style) {
        case CallerStyle::Pooled:
            call_pooled(it, request, answer);
            break;
        case CallerStyle::Kept:
            call_kept(it, request, answer);
            break;
        case CallerStyle::Fresh:
        case CallerStyle::Hesitant:
            call_fresh(it, request, answer);
            break;
        case CallerStyle::Ahead:
        case CallerStyle::SafeAhead:
        case CallerStyle::Unsafe:
            break; // Taken above.
        }
        answers.push_back(std::move(answer));
        std::this_thread::sleep_for(pause_of_callers);
    }
    return answers;
}

auto run_resting_caller(Endpoints const& endpoints, CallerOptions const& options,
    std::vector<PlannedStop> const& stops, std::stop_token const& stop) -> std::vector<SeenAnswer>
{
    Caller it {endpoints, options, std::mt19937_64(options.seed), std::mt19937_64(~options.seed), {}, {}, 0};
    std::vector<SeenAnswer> answers;
    for (auto const& planned : stops) {
        auto const sent_at = planned.at + draw_around_close(it.random, planned);
        auto const rests = it.random() % hesitant_every != 0;
        auto const opened_at = rests ? planned.at - rest_least_before_stop - draw_span(it.random, rest_spread)
                                     : sent_at - hesitation(it.random);
        if (!sleep_until(opened_at, stop))
            break;
        it.connection.emplace(endpoints.routers[planned.router], connect_limit);
        it.router = planned.router;
        if (rests && it.random() % silent_every != 0)
            call_open(it, answers);
        if (!sleep_until(sent_at, stop))
            break;
        call_open(it, answers);
    }
    return answers;
}

auto run_crasher(Endpoints const& endpoints, std::uint64_t seed, std::stop_token const& stop)
    -> std::vector<SeenAnswer>
{
    constexpr auto first_after = std::chrono::seconds(6);
    constexpr Duration one_lasts {15'000'000};
    constexpr std::uint64_t pause_least_ms = 50;
    constexpr std::uint64_t pause_spread_ms = 1'000;
    std::mt19937_64 random(seed);
    HttpCaller caller;
    std::vector<SeenAnswer> answers;
    std::this_thread::sleep_for(first_after);
    auto const start = runtime::BootTimeNow();
    while (!stop.stop_requested()) {
        SeenAnswer answer;
        answer.attempt = "x-" + std::to_string(answers.size());
        answer.crashes = true;
        answer.tenant = unlimited_tenant().name;
        answer.router = static_cast<std::uint32_t>(random() % endpoints.routers.size());
        answer.sent = runtime::BootTimeNow();
        event_http::Request request;
        request.method = "GET";
        request.target
            = std::string("/safe") + kCrashingWord + std::to_string((answer.sent - start) / one_lasts);
        request.fields.Add("Host", "a.example");
        request.fields.Add(endpoints.names.attempt_id, answer.attempt);
        request.fields.Add(endpoints.names.time_left_ms, "2000");
        request.fields.Add("Authorization", "Bearer " + unlimited_tenant().api_key);
        auto const result = caller.Call(endpoints.routers[answer.router], request, call_limit);
        answer.ended = runtime::BootTimeNow();
        if (result.end == CallEnd::kAnswered) {
            answer.status = result.response.status;
            answer.quarantined = result.response.body.find("\"quarantined\"") != std::string::npos;
        }
        answers.push_back(std::move(answer));
        std::this_thread::sleep_for(std::chrono::milliseconds(pause_least_ms + random() % pause_spread_ms));
    }
    return answers;
}

auto run_operator(Endpoints const& endpoints, std::uint64_t seed, Duration pause, AcceptedVersions& accepted,
    std::stop_token const& stop) -> SeenByOperator
{
    Operator it {endpoints, accepted, std::mt19937_64(seed), std::mt19937_64(seed ^ form_salt), {}, {}};
    std::uint64_t current = 0;
    std::uint64_t in_series = 0; ///< Changes that are to follow without a pause.
    while (!stop.stop_requested()) {
        auto const version = current + 1 + it.random() % 3;
        if (change(it, current, version)) {
            // A rival that builds on the same version must lose, also when it comes to another machine.
            if (it.random() % 4 == 0)
                change(it, current, version + 1);
            current = version;
            if (in_series == 0 && it.random() % series_every == 0)
                in_series = 1 + it.random() % series_longest;
        }
        if (in_series > 0 && --in_series > 0)
            continue;
        std::this_thread::sleep_for(pause);
        if (it.random_forms() % rest_every == 0)
            rest(stop);
        if (auto const newest = read(it))
            current = *newest;
    }
    auto const end = runtime::BootTimeNow() + read_patience;
    while (!read(it) && runtime::BootTimeNow() < end)
        std::this_thread::sleep_for(pause_of_operator);
    return std::move(it.seen);
}

} // namespace graniteseam::testbed::soak
