#include "simulation/traffic_world/traffic_callers.h"

#include <algorithm>
#include <array>
#include <utility>

namespace graniteseam::simulation {
namespace {

    constexpr std::array<CallKind, 6> kKinds {{
        {kOrderedService, "/ordered/safe/", true, true},
        {kOrderedService, "/ordered/unsafe/", true, false},
        {kLeasedService, "/leased/safe/", true, true},
        {kLeasedService, "/leased/unsafe/", true, false},
        {kPooledService, "/pooled/safe/", false, true},
        {kPooledService, "/pooled/unsafe/", false, false},
    }};

    constexpr Duration kArrivalMinimum {1'000};
    constexpr Duration kArrivalMaximum {15'000};
    constexpr Duration kDeadlineMinimum {800'000};
    constexpr Duration kDeadlineMaximum {3'000'000};
    constexpr Duration kToGateway {8'000};
    constexpr Duration kRetryPause {20'000};
    constexpr int kTries = 3;
    /// The users' rule counts from so long after a partition began.
    constexpr Duration kPartitionNoticed {3'000'000};
    /// Part of the gateways that must reach workers: with fewer, nobody is left to take the requests.
    constexpr double kOthersLeast = 0.25;
    constexpr double kHotKeys = 0.4;
    constexpr std::uint32_t kKeys = 65'536;
    /// Part of the calls that ask for what others ask for as well.
    constexpr double kPopular = 0.3;
    constexpr std::uint64_t kCrashingMaximum = 3;
    constexpr Duration kCrashingStart {4'000'000};
    /// Between two calls for what ends its workers.
    constexpr Duration kAgainMinimum {50'000};
    constexpr Duration kAgainMaximum {1'500'000};
    /// What only one call asks for is numbered from here on.
    constexpr std::uint64_t kOwnDigest = 1'000;

    auto is_promise(int status) -> bool
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

} // namespace

auto TrafficCallers::start() -> void
{
    auto const drawn = m_world.random.Between(kArrivalMinimum, kArrivalMaximum);
    auto const wait = static_cast<double>(drawn.count()) / m_fleet.options().load;
    m_world.queue.After(Duration {static_cast<std::int64_t>(wait)}, [this] {
        arrive();
        start();
    });
}

auto TrafficCallers::draw_key() -> std::uint32_t
{
    // A few busy keys that lie close to one another.
    if (m_world.random.Chance(kHotKeys))
        return static_cast<std::uint32_t>(20'000 + m_world.random.Below(8));
    return static_cast<std::uint32_t>(m_world.random.Below(kKeys));
}

auto TrafficCallers::arrive() -> void
{
    Call call;
    call.kind = &kKinds[m_world.random.Below(kKinds.size())];
    if (call.kind->keyed)
        call.key = draw_key();
    call.deadline = m_world.now() + m_world.random.Between(kDeadlineMinimum, kDeadlineMaximum).count();
    call.tries_left = kTries;
    if (m_fleet.options().crashing_requests && m_world.random.Chance(kPopular))
        make_popular(call);
    attempt(call);
}

auto TrafficCallers::make_popular(Call& call) -> void
{
    call.digest = 1 + m_world.random.Below(kPopularDigests);
    // What many ask for alike has one kind and one key.
    call.kind = &kKinds[2 * (call.digest % 3)];
    call.key
        = call.kind->keyed ? std::optional(static_cast<std::uint32_t>(20'000 + call.digest)) : std::nullopt;
}

auto TrafficCallers::start_crashing(TrueTime end) -> void
{
    auto const count = 1 + m_world.random.Below(kCrashingMaximum);
    for (std::uint64_t number = 1; number <= count; ++number) {
        Call call;
        call.kind = &kKinds[m_world.random.Below(kKinds.size())];
        if (call.kind->keyed)
            call.key = draw_key();
        call.digest = kPopularDigests + number;
        m_world.Count("fault: request that ends its workers");
        m_world.queue.After(m_world.random.Between(Duration {0}, kCrashingStart),
            [this, call, end] { come_again(call, end); });
    }
}

auto TrafficCallers::come_again(Call call, TrueTime end) -> void
{
    if (m_world.now() >= end)
        return;
    auto one = call;
    one.deadline = m_world.now() + m_world.random.Between(kDeadlineMinimum, kDeadlineMaximum).count();
    one.tries_left = kTries;
    attempt(one);
    m_world.queue.After(
        m_world.random.Between(kAgainMinimum, kAgainMaximum), [this, call, end] { come_again(call, end); });
}

auto TrafficCallers::attempt(Call call) -> void
{
    --call.tries_left;
    auto const number = ++m_last_request;
    m_oracle.on_sent(number, call.kind->repeatable, m_world.now());
    m_oracle.on_requested(call.kind->service, m_world.now());
    gateway::ArrivedRequest request;
    request.number = {number};
    request.host = "host";
    request.path = call.kind->path + std::to_string(number);
    request.key = call.key;
    request.digest = {call.digest != 0 ? call.digest : kOwnDigest + number};
    request.time_left = Duration {call.deadline - m_world.now()};
    auto& gateway = choose_gateway();
    auto const ended = std::make_shared<bool>(false);
    auto* const first_try = call.tries_left == kTries - 1 ? count_of_first_try(gateway) : nullptr;
    if (first_try != nullptr)
        ++first_try->calls;
    auto const told = [this, call, number, ended, first_try](CallerAnswer const& answer) {
        m_world.queue.After(kToGateway, [this, call, number, ended, first_try, answer] {
            if (std::exchange(*ended, true))
                return;
            if (first_try != nullptr && answer.end == CallerAnswer::End::kAnswered && answer.status < 300)
                ++first_try->served;
            on_told(call, number, answer);
        });
    };
    m_world.queue.After(kToGateway, [&gateway, request, told] {
        if (!gateway.alive())
            return told({});
        gateway.Deliver([&gateway, request, told] { gateway.take(request, told); });
    });
    m_world.queue.At(call.deadline, [this, call, ended] {
        if (!std::exchange(*ended, true))
            count_end(call, false);
    });
}

auto TrafficCallers::choose_gateway() -> GatewayProcess&
{
    constexpr int kDraws = 4;
    auto const draw = [&] { return m_world.random.Below(m_fleet.gateways.size()); };
    auto drawn = draw();
    for (auto left = kDraws; left > 0 && m_fleet.gateways[drawn]->stopping(); --left)
        drawn = draw();
    return *m_fleet.gateways[drawn];
}

auto TrafficCallers::count_of_first_try(GatewayProcess const& gateway) -> Served*
{
    auto const counts_since = m_world.now() - kPartitionNoticed.count();
    auto const counts = [&](GatewayProcess const& one) {
        auto const since = m_fleet.partitioned_since(one);
        return since && *since <= counts_since && m_fleet.in_touch(one);
    };
    auto const& all = m_fleet.gateways;
    auto const partitioned
        = std::count_if(all.begin(), all.end(), [&](auto const& one) { return counts(*one); });
    auto const others = std::count_if(all.begin(), all.end(),
        [&](auto const& one) { return m_fleet.in_touch(*one) && !m_fleet.partitioned_since(*one); });
    auto const enough = static_cast<double>(others) >= kOthersLeast * static_cast<double>(all.size());
    if (partitioned == 0 || !enough || !m_fleet.in_touch(gateway))
        return nullptr;
    if (counts(gateway))
        return &m_first_tries.partitioned;
    return m_fleet.partitioned_since(gateway) ? nullptr : &m_first_tries.others;
}

auto TrafficCallers::on_told(Call call, std::uint64_t request, CallerAnswer const& answer) -> void
{
    if (answer.end == CallerAnswer::End::kAnswered) {
        ++m_answered;
        m_oracle.on_answer(request, answer.answered, m_world.now());
        if (answer.status < 300)
            return count_end(call, true);
    }
    auto const refused = answer.end == CallerAnswer::End::kRefused && is_promise(answer.status);
    if (refused) {
        m_world.Count("request refused");
        m_oracle.on_refused(request, answer.status, m_world.now());
        if (answer.reason == "quarantined") {
            m_world.Count("request quarantined");
            m_oracle.on_quarantined(request, call.digest, m_world.now());
        }
    }
    auto const may_repeat = refused || call.kind->repeatable;
    auto const left = call.deadline - m_world.now();
    if (!may_repeat || call.tries_left == 0 || answer.status == 404 || left <= 0)
        return count_end(call, false);
    auto const wait = std::min<Duration>(answer.retry_after.value_or(kRetryPause), Duration {left / 3});
    m_world.queue.After(wait, [this, call] { attempt(call); });
}

auto TrafficCallers::count_end(Call const& call, bool served) -> void
{
    auto& count = m_served[call.kind->service];
    ++count.calls;
    if (served)
        ++count.served;
}

auto TrafficCallers::take_served() -> std::map<std::string, Served>
{
    return std::exchange(m_served, {});
}

} // namespace graniteseam::simulation
