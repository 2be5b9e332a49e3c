#include "simulation/traffic_world/worker.h"

#include <algorithm>
#include <utility>

namespace graniteseam::simulation {
namespace {

    using Outcome = control::RangeOrderResult::Outcome;

    /// Within this a worker takes the answer to a heartbeat.
    constexpr std::int64_t kAnswerTaken = 1'000'000;
    constexpr int kMisdirected = 421;
    constexpr int kUnavailable = 503;
    constexpr int kFailed = 500;
    constexpr int kOk = 200;

    auto keys_of(traffic::KeySpan const& span) -> Keys
    {
        return {span.first, span.last};
    }

    auto span_of(Keys const& keys) -> traffic::KeySpan
    {
        return {keys.first, keys.last};
    }

} // namespace

Worker::Worker(World& world, TrafficOracle& oracle, WorkerTraits traits)
    : m_world(world)
    , m_oracle(oracle)
    , m_traits(std::move(traits))
{
    if (m_traits.warm_up > Duration {0})
        warm_up(m_traits.warm_up);
}

// --- Keys ---

auto Worker::refuses(Keys const& keys, std::uint64_t fence) const -> bool
{
    auto const seen = m_seen.within(keys);
    return std::any_of(seen.begin(), seen.end(), [&](auto const& part) { return part.value > fence; });
}

auto Worker::see(Keys const& keys, std::uint64_t fence) -> void
{
    auto const before = m_seen.within(keys);
    m_seen.assign(keys, fence);
    for (auto const& part : before) {
        if (part.value > fence)
            m_seen.assign(part.keys, part.value);
    }
}

auto Worker::end_of_lease(Duration length, TrueTime from) const -> TrueTime
{
    return from + static_cast<TrueTime>(static_cast<double>(length.count()) / m_traits.clock_rate);
}

auto Worker::take(Keys const& keys, Hold const& hold) -> void
{
    m_oracle.on_keys_taken(
        m_traits.id, m_traits.service, {keys, hold.fence, hold.until, hold.late}, m_world.now());
    see(keys, hold.fence);
    m_holds.assign(keys, hold);
    expire_at(hold.until);
}

auto Worker::take_order(control::RangeOrder const& order, bool late, OrderReply const& reply) -> void
{
    // Not carried out, and without a word about the fences that it has seen.
    if (m_traits.checks_instance && order.instance.value != m_traits.id) {
        m_world.Count("order for another instance refused");
        return reply(Outcome::kOtherInstance, "");
    }
    auto const keys = keys_of(order.span);
    auto const fence = order.fence.value;
    m_world.Trace(m_traits.id + (order.kind == control::RangeOrder::Kind::kGrant ? " grant " : " release ")
        + std::to_string(keys.first) + " to " + std::to_string(keys.last) + " fence " + std::to_string(fence)
        + " for " + order.instance.value);
    if (order.kind == control::RangeOrder::Kind::kRelease) {
        see(keys, fence);
        leave(keys);
        if (!works_on(keys))
            return reply(Outcome::kDone, m_traits.id + "-" + std::to_string(fence));
        m_releases.push_back({keys, reply});
        return;
    }
    // A worker of a service without keys has no such path.
    if (!m_traits.keyed)
        return reply(Outcome::kUnknown, "");
    if (refuses(keys, fence))
        return reply(Outcome::kRefused, "");
    take(keys, {fence, end_of_lease(order.hold, m_world.now()), false, false, late});
    tell_holdings();
    reply(Outcome::kDone, "");
}

auto Worker::beat() -> control::ReportInstance
{
    control::ReportInstance heartbeat;
    auto& report = heartbeat.report;
    report.id = {m_traits.id};
    report.service = {m_traits.service};
    report.address = m_traits.address;
    report.zone = {m_traits.zone};
    report.slots = m_traits.slots;
    report.draining = m_draining;
    report.sequence = ++m_sequence;
    if (warms_up())
        report.warmup_left_ms = 1 + (m_warm_at - m_world.now()) / 1'000;
    for (auto const& part : m_holds.all())
        heartbeat.keys.held.push_back({span_of(part.keys), {part.value.fence}});
    heartbeat.keys.released = m_released;
    m_released_told = m_released.size();
    m_awaited = m_sequence;
    m_awaited_since = m_world.now();
    return heartbeat;
}

auto Worker::take_answer(std::int64_t sequence, control::OperatorAnswer const& answer) -> bool
{
    if (sequence != m_awaited || m_world.now() - m_awaited_since > kAnswerTaken)
        return false;
    m_awaited = 0;
    m_released.erase(m_released.begin(), m_released.begin() + static_cast<std::ptrdiff_t>(m_released_told));
    m_released_told = 0;
    auto const* const leases = std::get_if<control::KeyLeases>(&answer);
    if (leases == nullptr)
        return true;
    SpanMap<bool> named;
    for (auto const& row : leases->spans)
        named.assign(keys_of(row.span), true);
    for (auto const& part : m_holds.all()) {
        for (auto const& left_out : named.gaps(part.keys))
            leave(left_out);
    }
    auto const length = std::chrono::milliseconds(leases->length_ms);
    auto const until = end_of_lease(length, m_awaited_since);
    for (auto const& row : leases->spans) {
        if (!refuses(keys_of(row.span), row.fence.value))
            take(keys_of(row.span), {row.fence.value, until, false, true, false});
    }
    tell_holdings();
    return true;
}

auto Worker::lets_go() const -> bool
{
    auto const held = m_holds.all();
    return std::any_of(held.begin(), held.end(),
        [](auto const& part) { return part.value.leaving && part.value.by_heartbeat; });
}

auto Worker::leave(Keys const& keys) -> void
{
    for (auto const& part : m_holds.within(keys)) {
        auto leaving = part.value;
        leaving.leaving = true;
        m_holds.assign(part.keys, leaving);
    }
    let_go_of_idle();
}

auto Worker::let_go_of_idle() -> void
{
    auto changed = false;
    for (auto const& part : m_holds.all()) {
        if (!part.value.leaving || works_on(part.keys))
            continue;
        if (part.value.by_heartbeat)
            m_released.push_back({span_of(part.keys), m_traits.id + "-" + std::to_string(part.value.fence)});
        m_holds.erase(part.keys);
        changed = true;
    }
    if (changed)
        tell_holdings();
    for (std::size_t i = 0; i < m_releases.size();) {
        if (works_on(m_releases[i].keys)) {
            ++i;
            continue;
        }
        auto const release = std::move(m_releases[i]);
        m_releases.erase(m_releases.begin() + static_cast<std::ptrdiff_t>(i));
        release.reply(Outcome::kDone, m_traits.id);
    }
}

auto Worker::works_on(Keys const& keys) const -> bool
{
    return std::any_of(m_running.begin(), m_running.end(), [&](auto const& entry) {
        auto const key = entry.second.request.key;
        return m_traits.keyed && key && keys.overlaps({*key, *key});
    });
}

auto Worker::expire_at(TrueTime until) -> void
{
    m_world.queue.At(until, [self = shared_from_this()] {
        if (self->m_up)
            self->expire();
    });
}

auto Worker::expire() -> void
{
    if (m_traits.lease_never_ends)
        return;
    auto expired = false;
    for (auto const& part : m_holds.all()) {
        if (part.value.until > m_world.now())
            continue;
        m_holds.erase(part.keys);
        expired = true;
        // Work beyond the lease ends with a failure.
        std::vector<std::uint64_t> cut;
        for (auto const& [number, work] : m_running) {
            if (work.request.key && part.keys.overlaps({*work.request.key, *work.request.key}))
                cut.push_back(number);
        }
        for (auto const number : cut)
            finish(number, kFailed);
    }
    if (!expired)
        return;
    m_world.Count("keys ran out");
    tell_holdings();
    let_go_of_idle();
}

auto Worker::tell_holdings() -> void
{
    std::vector<HeldKeysFact> held;
    for (auto const& part : m_holds.all()) {
        auto const until = m_traits.lease_never_ends ? INT64_MAX : part.value.until;
        held.push_back({part.keys, part.value.fence, until, part.value.late});
    }
    m_oracle.on_holdings(m_traits.id, m_traits.service, std::move(held), m_world.now());
}

// --- Requests ---

auto Worker::would_run(WorkerRequest const& request) const -> bool
{
    if (request.instance != m_traits.id)
        return false;
    if (!m_traits.keyed)
        return true;
    auto const* const hold = request.key ? m_holds.find(*request.key) : nullptr;
    return hold != nullptr && !hold->leaving;
}

auto Worker::run(WorkerRequest const& request, Reply const& reply) -> void
{
    Work work {request, reply, m_world.now()};
    if (!would_run(request))
        return answer(work, WorkerAnswer::End::kNotExecuted, kMisdirected);
    if (turns_away() || m_queue.size() >= m_traits.queue)
        return answer(work, WorkerAnswer::End::kNotExecuted, kUnavailable);
    m_queue.push_back(std::move(work));
    start_next();
}

auto Worker::start_next() -> void
{
    while (!m_queue.empty() && m_running.size() < static_cast<std::size_t>(m_traits.slots)) {
        auto const work = std::move(m_queue.front());
        m_queue.pop_front();
        if (!would_run(work.request)) {
            answer(work, WorkerAnswer::End::kNotExecuted, kMisdirected);
            continue;
        }
        if (m_world.now() - work.arrived >= work.request.time_left.count()) {
            answer(work, WorkerAnswer::End::kNotExecuted, kUnavailable);
            continue;
        }
        m_oracle.on_run(work.request.number, m_traits.id, m_world.now());
        m_world.Trace(m_traits.id + " runs " + std::to_string(work.request.number));
        auto const started = ++m_started;
        m_running.emplace(started, work);
        auto const time = m_world.random.Between(m_traits.work / 2, m_traits.work * 3 / 2);
        if (is_crashing(work.request.digest)) {
            m_world.queue.After(time, [self = shared_from_this(), request = work.request] {
                if (self->m_up)
                    self->m_traits.crash(request);
            });
            continue;
        }
        m_world.queue.After(time, [self = shared_from_this(), started] { self->finish(started, kOk); });
    }
}

auto Worker::finish(std::uint64_t started, int status) -> void
{
    auto const found = m_running.find(started);
    if (!m_up || found == m_running.end())
        return;
    auto const work = std::move(found->second);
    m_running.erase(found);
    answer(work, WorkerAnswer::End::kAnswered, status);
    start_next();
    let_go_of_idle();
}

auto Worker::answer(Work const& work, WorkerAnswer::End end, int status) -> void
{
    WorkerAnswer answer;
    answer.end = end;
    answer.status = status;
    answer.number = work.request.number;
    answer.load = load();
    answer.pressure = pressure(status);
    answer.at = m_world.now();
    work.reply(answer);
}

auto Worker::shed(WorkerRequest const& request) const -> WorkerAnswer
{
    WorkerAnswer answer;
    answer.end = WorkerAnswer::End::kNotExecuted;
    answer.status = kUnavailable;
    answer.number = request.number;
    answer.load = load();
    answer.at = m_world.now();
    return answer;
}

auto Worker::load() const -> gateway::ReportedLoad
{
    return {static_cast<double>(m_running.size()), static_cast<double>(m_queue.size()),
        static_cast<double>(m_traits.slots)};
}

auto Worker::health() const -> WorkerHealth
{
    return {m_traits.id, load(), std::max(Duration {0}, Duration {m_warm_at - m_world.now()})};
}

auto Worker::pressure(int status) const -> gateway::BackPressure
{
    gateway::BackPressure stated;
    stated.limit_per_second = m_limit;
    stated.leaving = m_leaving;
    if (status == kUnavailable && turns_away())
        stated.rest = m_rest;
    return stated;
}

auto Worker::name_limit(std::optional<double> limit) -> void
{
    m_limit = limit;
    m_oracle.on_limit(m_traits.id, limit.value_or(0), m_world.now());
}

auto Worker::turn_away(TrueTime until, Duration rest) -> void
{
    m_turns_away_until = until;
    m_rest = rest;
}

auto Worker::warm_up(Duration length) -> void
{
    m_warm_at = m_world.now() + length.count();
    m_world.Trace(m_traits.id + " warms up for " + std::to_string(length.count() / 1'000) + " ms");
    m_oracle.on_warm_up(m_traits.id, m_warm_at, m_world.now());
}

auto Worker::drop(std::uint64_t request) -> void
{
    std::erase_if(m_queue, [&](Work const& work) { return work.request.number == request; });
}

auto Worker::end() -> void
{
    if (!m_up)
        return;
    m_up = false;
    m_world.Trace(m_traits.id + " ends");
    m_oracle.on_worker_over(m_traits.id);
    auto const running = std::exchange(m_running, {});
    auto const queue = std::exchange(m_queue, {});
    for (auto const& [number, work] : running)
        answer(work, WorkerAnswer::End::kBroken, 0);
    for (auto const& work : queue)
        answer(work, WorkerAnswer::End::kBroken, 0);
}

} // namespace graniteseam::simulation
