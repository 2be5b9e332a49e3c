#include "src/coordination/slot_client.h"

#include <algorithm>
#include <set>
#include <utility>

namespace graniteseam::coordination {
namespace {

    constexpr int unanswered_to_suspend = 2;
    /// Until a suspended coordinator is tried again.
    constexpr Duration suspension {1'000'000};
    /// A timer that is handled later than this shows that this process stood still.
    constexpr Duration own_stall {20'000};
    /// Within it, a process that runs again has read what its peers sent.
    constexpr Duration read_time {20'000};
    /// Gateways are replaced under new names. At most 32 gateways in each of nine zones coordinate servers.
    constexpr std::size_t coordinators_maximum = 1'024;

} // namespace

SlotClient::SlotClient(RouterId self, std::uint64_t incarnation)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
{
}

auto SlotClient::may_ask(RouterId const& coordinator, Instant now) const -> bool
{
    auto const found = m_coordinators.find(coordinator);
    if (found == m_coordinators.end() || found->second.unanswered < unanswered_to_suspend)
        return true;
    if (now < found->second.suspended_until)
        return false;
    // One request at a time tries a coordinator that was silent.
    return std::none_of(m_asks.begin(), m_asks.end(),
        [&](auto const& entry) { return entry.second.coordinator == coordinator && !entry.second.granted; });
}

auto SlotClient::outgoing(std::string const& address) -> SlotBatch&
{
    auto& batch = m_outgoing[address];
    batch.sender = m_self;
    batch.incarnation = m_incarnation;
    return batch;
}

auto SlotClient::ask(traffic::GatewayPeer const& coordinator, SlotRequest request, Instant now)
    -> std::uint64_t
{
    if (m_coordinators.size() >= coordinators_maximum)
        forget_idle_coordinators(now);
    m_coordinators.try_emplace(coordinator.id);
    request.number = ++m_last_number;
    outgoing(coordinator.address).requests.push_back(request);
    Ask ask;
    ask.coordinator = coordinator.id;
    ask.address = coordinator.address;
    ask.asked_at = now;
    ask.answer_due = now + answer_limit;
    ask.wait_end = now + std::max(Duration {}, bounded(request.hold_us)) + answer_limit;
    ask.request = std::move(request);
    m_asks.emplace(m_last_number, std::move(ask));
    return m_last_number;
}

auto SlotClient::end(SlotRelease const& release) -> void
{
    auto const found = m_asks.find(release.number);
    if (found == m_asks.end())
        return;
    auto const ask = std::move(found->second);
    m_asks.erase(found);
    auto& batch = outgoing(ask.address);
    // Coordinators handle the releases of a batch before its requests: a request that is still to be sent
    // would take a slot that nobody returns.
    auto const unsent = std::erase_if(batch.requests, [&](auto const& other) {
        return other.number == release.number;
    }) > 0;
    auto const unknown_to_coordinator = unsent && ask.expected_grant == Instant {};
    if (!unknown_to_coordinator)
        batch.releases.push_back(release);
    else if (batch.requests.empty() && batch.releases.empty())
        m_outgoing.erase(ask.address);
}

auto SlotClient::take_answer(Ask& ask, SlotAnswer const& answer, Instant now) -> SlotResult
{
    SlotResult result;
    result.number = answer.number;
    result.queued = answer.queued;
    result.waited = now - ask.asked_at;
    ask.repeated = false;
    switch (answer.verdict) {
    case SlotVerdict::kGranted:
        result.kind = SlotResult::Kind::kGranted;
        if (ask.expected_grant != Instant {})
            result.start_error = now - ask.expected_grant;
        ask.granted = true;
        ask.answer_due = Instant::max();
        break;
    case SlotVerdict::kQueued:
        result.kind = SlotResult::Kind::kQueued;
        result.start_in = std::max(Duration {}, bounded(answer.start_in_us));
        ask.expected_grant = now + result.start_in;
        ask.answer_due = std::min(ask.expected_grant + answer_limit, ask.wait_end);
        break;
    case SlotVerdict::kRejected:
        result.kind = SlotResult::Kind::kRejected;
        result.retry_after = std::max(Duration {}, bounded(answer.retry_after_us));
        break;
    }
    return result;
}

auto SlotClient::on_batch(SlotBatch const& batch, Instant now) -> std::vector<SlotResult>
{
    std::vector<SlotResult> results;
    if (batch.answers.empty())
        return results;
    auto const known = m_coordinators.find(batch.sender);
    if (known == m_coordinators.end())
        return results;
    auto& coordinator = known->second;
    coordinator.unanswered = 0;
    auto const restarted = std::exchange(coordinator.incarnation, batch.incarnation) != batch.incarnation;
    for (auto const& answer : batch.answers) {
        auto const found = m_asks.find(answer.number);
        // The request ended meanwhile, or another coordinator was asked. A slot that this answer grants is
        // freed by the withdrawal, or when its time ends.
        if (found == m_asks.end() || found->second.coordinator != batch.sender)
            continue;
        if (found->second.granted)
            continue;
        found->second.answered_by = batch.incarnation;
        results.push_back(take_answer(found->second, answer, now));
        if (answer.verdict == SlotVerdict::kRejected)
            m_asks.erase(found);
    }
    if (restarted)
        ask_again(batch.sender, batch.incarnation, now);
    return results;
}

auto SlotClient::ask_again(RouterId const& coordinator, std::uint64_t incarnation, Instant now) -> void
{
    for (auto& [number, ask] : m_asks) {
        if (ask.coordinator != coordinator || ask.granted || ask.expected_grant == Instant {})
            continue;
        if (ask.answered_by == incarnation)
            continue;
        repeat(ask, now);
    }
}

auto SlotClient::repeat(Ask& ask, Instant now) -> void
{
    auto request = ask.request;
    auto const passed = (now - ask.asked_at).count();
    request.target_left_us -= passed;
    request.time_left_us -= passed;
    request.hold_us -= passed;
    outgoing(ask.address).requests.push_back(std::move(request));
    ask.answer_due = now + answer_limit;
    ask.repeated = true;
}

auto SlotClient::tick(Instant now) -> std::vector<SlotResult>
{
    std::vector<SlotResult> results;
    for (auto entry = m_asks.begin(); entry != m_asks.end();) {
        auto& [number, ask] = *entry;
        if (now < ask.answer_due) {
            ++entry;
            continue;
        }
        // A gateway that stood still must first read what has arrived meanwhile.
        auto const stood_still = now - ask.answer_due > own_stall && !std::exchange(ask.excused, true);
        if (stood_still && now + read_time < ask.wait_end) {
            ask.answer_due = now + read_time;
            ++entry;
            continue;
        }
        auto const was_answered = ask.expected_grant != Instant {};
        if (was_answered && !ask.repeated && now < ask.wait_end) {
            // The grant may have been lost.
            repeat(ask, now);
            ++entry;
            continue;
        }
        if (!stood_still)
            note_unanswered(ask, now);
        SlotRelease withdrawal;
        withdrawal.number = number;
        outgoing(ask.address).releases.push_back(withdrawal);
        SlotResult result;
        result.number = number;
        result.kind = SlotResult::Kind::kUnanswered;
        result.waited = now - ask.asked_at;
        results.push_back(result);
        entry = m_asks.erase(entry);
    }
    return results;
}

auto SlotClient::note_unanswered(Ask const& ask, Instant now) -> void
{
    auto& coordinator = m_coordinators[ask.coordinator];
    if (++coordinator.unanswered < unanswered_to_suspend)
        return;
    coordinator.suspended_until = now + suspension;
    m_silent.push_back(ask.address);
}

auto SlotClient::forget_idle_coordinators(Instant now) -> void
{
    std::set<RouterId> asked;
    for (auto const& [number, ask] : m_asks)
        asked.insert(ask.coordinator);
    std::erase_if(m_coordinators, [&](auto const& entry) {
        return now >= entry.second.suspended_until && !asked.contains(entry.first);
    });
}

auto SlotClient::next_tick() const -> Instant
{
    auto next = Instant::max();
    for (auto const& [number, ask] : m_asks)
        next = std::min(next, ask.answer_due);
    return next;
}

auto SlotClient::take_sends() -> std::vector<SlotSend>
{
    std::vector<SlotSend> sends;
    for (auto& [address, batch] : std::exchange(m_outgoing, {}))
        sends.push_back({address, std::move(batch)});
    return sends;
}

auto SlotClient::take_silent() -> std::vector<std::string>
{
    return std::exchange(m_silent, {});
}

} // namespace graniteseam::coordination
