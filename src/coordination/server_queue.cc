#include "src/coordination/server_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace graniteseam::coordination {
namespace {

    /// With fewer, a slot would be idle between two requests; with more than the slots, the server would
    /// decide the order.
    constexpr std::uint32_t extra_grants_minimum = 1;
    /// Bound of a single sample of the exchange: a gateway that stood still says nothing of the network.
    constexpr double exchange_us_maximum = 500'000;
    /// Assumed before the first answer.
    constexpr double first_service_us = 250'000;
    constexpr double newest_sample_weight = 0.1;
    /// A single answer that took very long must not close the server for others.
    constexpr double service_us_maximum = 10'000'000;
    constexpr double service_us_minimum = 1'000;
    /// After a request's end, its release may still be on its way.
    constexpr Duration release_slack {500'000};
    /// A younger grant may not have reached the server when it reported its load.
    constexpr Duration grant_transit {100'000};
    /// Period over which the rate of grants to late requests is measured.
    constexpr Duration late_rate_window {2'000'000};
    constexpr Duration retry_after_minimum {50'000};
    /// Callers honour no longer return time than this part of the time that they have left.
    constexpr int retry_after_part_of_time_left = 3;
    /// Bounds what a faulty gateway can make a coordinator store for one server.
    constexpr std::size_t waiting_maximum = 512;
    constexpr std::uint32_t slots_maximum = 1'024;

    auto micros(Duration duration) -> double
    {
        return static_cast<double>(duration.count());
    }

} // namespace

ServerQueue::ServerQueue(std::uint32_t slots)
    : m_slots(std::clamp(slots, 1U, slots_maximum))
    , m_service_us(first_service_us)
{
}

auto ServerQueue::service_time() const -> Duration
{
    return Duration {std::llround(m_service_us)};
}

auto ServerQueue::extra_grants() const -> std::uint32_t
{
    auto const covering = std::ceil(m_slots * m_exchange_us / m_service_us);
    return static_cast<std::uint32_t>(
        std::clamp(covering, static_cast<double>(extra_grants_minimum), static_cast<double>(m_slots)));
}

auto ServerQueue::place_of(SlotKey const& key, Waiting const& waiting) const -> Place
{
    return {waiting.priority, waiting.late ? waiting.give_up : waiting.deadline, key};
}

auto ServerQueue::latest_start(Waiting const& waiting) const -> Instant
{
    return waiting.deadline - service_time();
}

auto ServerQueue::foreign(Instant now) const -> double
{
    if (m_foreign == 0)
        return 0;
    return m_foreign * std::exp(-micros(now - m_foreign_at) / m_service_us);
}

auto ServerQueue::outstanding(Instant now) const -> double
{
    return static_cast<double>(m_grants.size()) + std::round(foreign(now));
}

auto ServerQueue::wait_behind(double before) const -> Duration
{
    auto const turns = std::max(0.0, before - m_slots + 1);
    return Duration {std::llround(turns * m_service_us / m_slots)};
}

auto ServerQueue::late_before(Place const& place) const -> std::size_t
{
    return static_cast<std::size_t>(std::distance(m_late.begin(), m_late.lower_bound(place)));
}

auto ServerQueue::late_wait(std::size_t before, Instant now) const -> std::optional<Duration>
{
    auto const ahead = static_cast<double>(before + m_in_time.size());
    auto const drained = wait_behind(outstanding(now) + ahead);
    if (m_in_time.empty())
        return drained;
    auto const recent = std::count_if(
        m_late_grants.begin(), m_late_grants.end(), [&](Instant at) { return now - at <= late_rate_window; });
    if (recent == 0)
        return std::nullopt;
    auto const interval = late_rate_window / recent;
    return std::max(drained, interval * static_cast<std::int64_t>(before + 1));
}

auto ServerQueue::ask(SlotKey const& key, SlotRequest const& request, Instant now) -> SlotDecision
{
    m_slots = std::clamp(request.slots, 1U, slots_maximum);
    Waiting waiting;
    waiting.priority = request.priority;
    waiting.give_up = now + bounded(request.time_left_us);
    waiting.deadline = std::min(now + bounded(request.target_left_us), waiting.give_up);
    waiting.hold_end = std::min(now + std::max(Duration {}, bounded(request.hold_us)), waiting.give_up);
    if (waiting.give_up <= now || m_waiting.size() >= waiting_maximum)
        return reject(key, waiting.give_up, now);

    auto const busy = outstanding(now);
    auto const place = place_of(key, waiting);
    auto const ahead = static_cast<double>(std::distance(m_in_time.begin(), m_in_time.lower_bound(place)));
    waiting.late = now + wait_behind(busy + ahead) > latest_start(waiting);
    auto const has_slot = busy < m_slots + extra_grants();
    auto const passed = waiting.late ? !m_waiting.empty() : ahead > 0;
    if (has_slot && !passed)
        return grant(key, waiting.give_up, waiting.late, now);

    if (!waiting.late)
        return queue(key, waiting, wait_behind(busy - extra_grants() + ahead));
    auto const wait = late_wait(late_before(place_of(key, waiting)), now);
    if (!wait || now + *wait > waiting.hold_end)
        return reject(key, waiting.give_up, now);
    return queue(key, waiting, *wait);
}

auto ServerQueue::state_of(SlotKey const& key, Instant now) const -> std::optional<SlotDecision>
{
    if (m_grants.contains(key))
        return decision(key, SlotVerdict::kGranted);
    auto const found = m_waiting.find(key);
    if (found == m_waiting.end())
        return std::nullopt;
    auto const place = place_of(key, found->second);
    auto const in_time = static_cast<double>(std::distance(m_in_time.begin(), m_in_time.lower_bound(place)));
    auto const wait = found->second.late
        ? late_wait(late_before(place), now).value_or(found->second.hold_end - now)
        : wait_behind(outstanding(now) - extra_grants() + in_time);
    auto queued = decision(key, SlotVerdict::kQueued);
    queued.answer.start_in_us = wait.count();
    return queued;
}

auto ServerQueue::decision(SlotKey const& key, SlotVerdict verdict) const -> SlotDecision
{
    SlotAnswer answer;
    answer.number = key.number;
    answer.verdict = verdict;
    answer.queued = static_cast<std::uint32_t>(m_waiting.size());
    return {key, answer};
}

auto ServerQueue::grant(SlotKey const& key, Instant give_up, bool late, Instant now) -> SlotDecision
{
    m_grants[key] = {now, give_up + release_slack};
    if (late)
        note_late_grant(now);
    return decision(key, SlotVerdict::kGranted);
}

auto ServerQueue::note_late_grant(Instant now) -> void
{
    m_late_grants.push_back(now);
    while (now - m_late_grants.front() > late_rate_window)
        m_late_grants.pop_front();
}

auto ServerQueue::queue(SlotKey const& key, Waiting const& waiting, Duration start_in) -> SlotDecision
{
    m_waiting[key] = waiting;
    (waiting.late ? m_late : m_in_time).insert(place_of(key, waiting));
    auto queued = decision(key, SlotVerdict::kQueued);
    queued.answer.start_in_us = start_in.count();
    return queued;
}

auto ServerQueue::reject(SlotKey const& key, Instant give_up, Instant now) -> SlotDecision
{
    auto const left = std::max(Duration {}, give_up - now);
    auto const latest = now + std::max(retry_after_minimum, left / retry_after_part_of_time_left);
    auto const room = now + wait_behind(outstanding(now) + static_cast<double>(m_waiting.size()));
    auto const per_step = m_slots * micros(ReturnSchedule::step) / m_service_us;
    auto const at = m_returns.book(std::max(room, now + retry_after_minimum), latest, per_step, now);
    auto rejected = decision(key, SlotVerdict::kRejected);
    rejected.answer.retry_after_us = std::min(at - now, latest - now).count();
    return rejected;
}

auto ServerQueue::remove_waiting(SlotKey const& key) -> void
{
    auto const found = m_waiting.find(key);
    if (found == m_waiting.end())
        return;
    (found->second.late ? m_late : m_in_time).erase(place_of(key, found->second));
    m_waiting.erase(found);
}

auto ServerQueue::release(SlotKey const& key, SlotRelease const& released, Instant now)
    -> std::vector<SlotDecision>
{
    auto const grant = m_grants.find(key);
    auto const was_granted = grant != m_grants.end();
    if (was_granted && released.outcome == SlotOutcome::kServed && released.served_us > 0)
        note_served(released, grant->second.granted_at, now);
    m_grants.erase(key);
    remove_waiting(key);
    if (was_granted && released.has_load)
        note_load(released, now);
    return serve(now);
}

auto ServerQueue::note_served(SlotRelease const& released, Instant granted_at, Instant now) -> void
{
    auto const served = static_cast<double>(released.served_us);
    auto const sample = std::clamp(served, service_us_minimum, service_us_maximum);
    m_service_us = m_measured ? m_service_us + newest_sample_weight * (sample - m_service_us) : sample;
    m_measured = true;
    auto const exchange = std::clamp(micros(now - granted_at) - served, 0.0, exchange_us_maximum);
    m_exchange_us += newest_sample_weight * (exchange - m_exchange_us);
}

auto ServerQueue::note_load(SlotRelease const& released, Instant now) -> void
{
    if (!(released.running >= 0 && released.waiting >= 0))
        return;
    auto const reported = std::min(released.running + released.waiting, 1e6);
    // Servers count the request that they just answered as running.
    auto const others = std::max(0.0, reported - 1);
    m_foreign = std::max(0.0, others - static_cast<double>(m_grants.size()));
    m_foreign_at = now;
    std::vector<std::pair<Instant, SlotKey>> arrived;
    for (auto const& [key, grant] : m_grants) {
        if (now - grant.granted_at > grant_transit)
            arrived.emplace_back(grant.granted_at, key);
    }
    if (static_cast<double>(arrived.size()) <= reported)
        return;
    // The releases of the oldest grants were lost.
    std::sort(arrived.begin(), arrived.end());
    arrived.resize(arrived.size() - static_cast<std::size_t>(reported));
    for (auto const& [at, key] : arrived)
        m_grants.erase(key);
}

auto ServerQueue::forget(RouterId const& gateway, Instant now) -> std::vector<SlotDecision>
{
    std::erase_if(m_grants, [&](auto const& entry) { return entry.first.gateway == gateway; });
    std::vector<SlotKey> keys;
    for (auto const& [key, waiting] : m_waiting) {
        if (key.gateway == gateway)
            keys.push_back(key);
    }
    for (auto const& key : keys)
        remove_waiting(key);
    return serve(now);
}

auto ServerQueue::expire(Instant now, std::vector<SlotDecision>& decisions) -> void
{
    std::erase_if(m_grants, [&](auto const& entry) { return entry.second.expires_at <= now; });
    std::vector<SlotKey> turned_late;
    std::vector<SlotKey> over;
    for (auto const& [key, waiting] : m_waiting) {
        if (waiting.hold_end <= now)
            over.push_back(key);
        else if (!waiting.late && latest_start(waiting) < now)
            turned_late.push_back(key);
    }
    for (auto const& key : turned_late) {
        auto waiting = m_waiting.at(key);
        remove_waiting(key);
        waiting.late = true;
        auto const wait = late_wait(late_before(place_of(key, waiting)), now);
        if (wait && now + *wait <= waiting.hold_end) {
            queue(key, waiting, *wait);
            continue;
        }
        decisions.push_back(reject(key, waiting.give_up, now));
    }
    for (auto const& key : over) {
        auto const give_up = m_waiting.at(key).give_up;
        remove_waiting(key);
        decisions.push_back(reject(key, give_up, now));
    }
}

auto ServerQueue::serve(Instant now) -> std::vector<SlotDecision>
{
    std::vector<SlotDecision> decisions;
    m_foreign = foreign(now);
    m_foreign_at = now;
    expire(now, decisions);
    while (!m_waiting.empty() && outstanding(now) < m_slots + extra_grants()) {
        auto const& first = m_in_time.empty() ? *m_late.begin() : *m_in_time.begin();
        auto const key = std::get<SlotKey>(first);
        auto const waiting = m_waiting.at(key);
        remove_waiting(key);
        decisions.push_back(grant(key, waiting.give_up, waiting.late, now));
    }
    return decisions;
}

auto ServerQueue::tick(Instant now) -> std::vector<SlotDecision>
{
    return serve(now);
}

auto ServerQueue::next_tick() const -> Instant
{
    auto next = Instant::max();
    for (auto const& [key, grant] : m_grants)
        next = std::min(next, grant.expires_at);
    for (auto const& [key, waiting] : m_waiting) {
        next = std::min(next, waiting.hold_end);
        // The moment after the latest start.
        if (!waiting.late)
            next = std::min(next, latest_start(waiting) + Duration {1});
    }
    return std::min(next, room_at());
}

auto ServerQueue::room_at() const -> Instant
{
    auto const room = static_cast<double>(m_slots + extra_grants()) - static_cast<double>(m_grants.size());
    if (m_waiting.empty() || room <= 0)
        return Instant::max();
    auto const most = room - 0.5; // Rounded, it leaves one of the places.
    if (m_foreign < most)
        return m_foreign_at;
    auto const until_less = m_service_us * std::log(m_foreign / most);
    return m_foreign_at + Duration {std::llround(until_less) + 1};
}

} // namespace graniteseam::coordination
