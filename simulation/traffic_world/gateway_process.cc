#include "simulation/traffic_world/gateway_process.h"

#include <algorithm>
#include <utility>

namespace graniteseam::simulation {
namespace {

    /// As the daemon's settings have it.
    constexpr Duration kPollInterval {500'000};
    constexpr Duration kUrgentPollInterval {100'000};
    constexpr Duration kTrackerInterval {50'000};
    constexpr int kMisdirected = 421;

    auto name_of(coordination::SlotResult::Kind kind) -> std::string
    {
        using Kind = coordination::SlotResult::Kind;
        switch (kind) {
        case Kind::kGranted:
            return "slot granted";
        case Kind::kQueued:
            return "slot queued";
        case Kind::kRejected:
            return "slot rejected";
        case Kind::kUnanswered:
            break;
        }
        return "slot request unanswered";
    }

} // namespace

GatewayProcess::GatewayProcess(World& world, GatewayPorts& ports, std::uint32_t number, std::uint32_t zone,
    std::vector<std::string> controls)
    : Process(world, {NodeKind::kRouter, number}, zone)
    , m_ports(ports)
    , m_controls(std::move(controls))
{
}

void GatewayProcess::OnStart()
{
    gateway::GatewayOptions options;
    options.id = RouterId {ToString(name())};
    options.backends.zone = ZoneName {"zone-" + std::to_string(world_.ZoneOf(name()))};
    options.backends.warm_up_requests_per_second = warm_up_requests_per_second;
    options.coordination_address = coordination_address;
    options.caller_address = caller_address;
    options.budget = {retry_bound.ratio, retry_bound.extra, Duration {retry_bound.window}};
    options.started_at = Now();
    m_node = std::make_unique<gateway::GatewayNode>(options, world_.random.Next());
    m_tracker = std::make_unique<protocol::LeaderTracker>(m_controls, kPollInterval);
    m_feed.clear();
    m_tracker_due = m_poll_due = Now();
    m_last_poll = {};
    m_stopping = false;
}

void GatewayProcess::OnKill()
{
    m_node.reset();
    m_tracker.reset();
    for (auto& [number, live] : std::exchange(m_live, {})) {
        close(live);
        live.reply({});
    }
}

Instant GatewayProcess::NextTick() const
{
    return std::min({m_node->NextTick(), m_tracker_due, m_poll_due});
}

void GatewayProcess::OnTick()
{
    if (m_tracker_due <= Now()) {
        m_tracker_due = Now() + kTrackerInterval;
        transmit(m_tracker->Tick(Now()));
    }
    if (m_poll_due <= Now())
        poll();
    if (m_node->NextTick() <= Now())
        carry_out(m_node->Tick(Now()));
}

auto GatewayProcess::poll() -> void
{
    m_last_poll = Now();
    m_poll_due = Now() + kPollInterval;
    transmit(m_tracker->OnSend(m_node->TakePoll(Now()), Now()));
}

auto GatewayProcess::transmit(std::vector<protocol::LeaderSend> const& sends) -> void
{
    for (auto const& send : sends)
        m_ports.send_to_control(*this, send.address, send.message);
}

auto GatewayProcess::on_control_connected(std::string const& address) -> void
{
    transmit(m_tracker->OnConnected(address, Now()));
    if (address == m_feed)
        ask_feed();
    poll();
}

auto GatewayProcess::ask_feed() -> void
{
    m_ports.send_to_control(*this, m_feed, control::FeedRequest {{}, 0, m_node->version(), false});
}

auto GatewayProcess::on_control_disconnected(std::string const& address) -> void
{
    transmit(m_tracker->OnDisconnected(address, Now()));
    if (address != m_feed)
        return;
    m_node->OnFeedLost(Now());
    poll();
}

auto GatewayProcess::on_control_message(std::string const& address, control::ControlToRouter const& message)
    -> void
{
    if (auto const* const not_leader = std::get_if<control::NotLeaderAnswer>(&message)) {
        transmit(m_tracker->OnNotLeader(address, *not_leader, Now()));
        if (not_leader->version > 0)
            carry_out(
                m_node->OnFollowerReport({address, not_leader->version, not_leader->configuration}, Now()));
        return follow_feed();
    }
    m_tracker->OnAnswered(address, message, Now());
    if (auto const* const update = std::get_if<control::TrafficUpdate>(&message))
        carry_out(m_node->OnUpdate(*update, Now()));
    follow_feed();
    if (m_node->HasUnreportedConfiguration())
        poll();
    if (auto const* const tokens = std::get_if<control::TokenAnswer>(&message))
        carry_out(m_node->OnTokens(*tokens, Now()));
    if (auto const* const hints = std::get_if<control::TrafficHints>(&message))
        carry_out(m_node->OnHints(*hints, Now()));
}

auto GatewayProcess::follow_feed() -> void
{
    if (m_feed == m_node->feed())
        return;
    if (!m_feed.empty())
        m_ports.send_to_control(*this, m_feed, control::FeedRequest {{}, 0, 0, true});
    m_feed = m_node->feed();
    ask_feed();
}

auto GatewayProcess::on_slot_batch(std::string const& from, coordination::SlotBatch const& batch) -> void
{
    carry_out(m_node->OnSlotBatch(from, batch, Now()));
}

auto GatewayProcess::take(gateway::ArrivedRequest const& request, Reply const& reply) -> void
{
    m_live[request.number] = {request, reply, 0, {}, {}, false, {}};
    carry_out(m_node->OnRequest(request, Now()));
    if (m_node->PollIsUrgent() && Now() - m_last_poll >= kUrgentPollInterval)
        poll();
}

auto GatewayProcess::drop(std::uint64_t request) -> void
{
    gateway::RequestNumber const number {request};
    if (!m_live.contains(number))
        return;
    carry_out(m_node->OnCallerGone(number, Now()));
    m_live.erase(number);
}

auto GatewayProcess::carry_out(gateway::GatewayEffects const& effects) -> void
{
    for (auto const& action : effects.actions)
        std::visit([this](auto const& one) { act(one); }, action);
    for (auto const& result : effects.slot_results)
        world_.Count(name_of(result.kind));
    if (!m_node->EachRequestHasTimer())
        world_.oracle.Violate(world_.now(), ToString(name()) + " holds a request without a timer");
    for (auto const& note : effects.notes) {
        if (note.what == "timer_missing")
            world_.oracle.Violate(world_.now(),
                ToString(name()) + " lost the timer of request " + std::to_string(note.request.value) + ": "
                    + note.inputs);
        world_.Trace(ToString(name()) + " " + std::to_string(note.request.value) + " "
            + std::string(note.what) + " " + note.instance.value + ": " + note.inputs);
    }
}

auto GatewayProcess::act(gateway::SendAttempt const& send) -> void
{
    auto& live = m_live.at(send.request);
    live.attempt = send.attempt;
    live.address = send.address;
    live.at_gateway = false;
    WorkerRequest const request {
        send.request.value, send.instance.value, live.request.key, send.time_left, live.request.digest.value};
    m_ports.send_to_worker(
        *this, send.address, request, [this, send](gateway::AttemptEnd end, WorkerAnswer const& answer) {
            on_attempt_end(send, end, answer);
        });
}

auto GatewayProcess::act(gateway::ProbeInstance const& probe) -> void
{
    m_ports.probe_worker(*this, probe.address, [this, probe, sent = Now()](WorkerHealth const& health) {
        gateway::ProbeReport report;
        report.request = probe.request;
        report.round = probe.round;
        report.instance = probe.instance;
        report.taken = Now() - sent;
        report.other_instance = health.instance != probe.instance.value;
        if (!report.other_instance) {
            report.answered = true;
            report.load = health.load;
            if (health.warm_up_left > Duration {0})
                report.warm_up_left = health.warm_up_left;
        }
        carry_out(m_node->OnProbeEnd(report, Now()));
    });
}

auto GatewayProcess::act(gateway::TryConnection const& trial) -> void
{
    m_ports.try_connection(*this, trial.address, [this, trial](bool reached) {
        carry_out(m_node->OnConnectionTried({trial.round, trial.instance, reached}, Now()));
    });
}

auto GatewayProcess::act(gateway::ForwardRequest const& forward) -> void
{
    world_.Count("request forwarded");
    auto& live = m_live.at(forward.request);
    live.attempt = forward.attempt;
    live.address = forward.address;
    live.at_gateway = true;
    auto request = live.request;
    request.hop = forward.hop;
    request.time_left = forward.time_left;
    m_ports.forward(*this, forward.address, request,
        [this, forward](CallerAnswer const& answer) { on_forward_end(forward, answer); });
}

auto GatewayProcess::on_forward_end(gateway::ForwardRequest const& forward, CallerAnswer const& answer)
    -> void
{
    auto const found = m_live.find(forward.request);
    if (found == m_live.end() || found->second.attempt != forward.attempt)
        return;
    using End = CallerAnswer::End;
    gateway::AttemptReport report;
    report.request = forward.request;
    report.attempt = forward.attempt;
    report.status = answer.status;
    report.hop = answer.hop;
    report.pressure = answer.worker.pressure;
    if (answer.end == End::kBroken || answer.end == End::kNotSent)
        report.end = answer.end == End::kBroken ? gateway::AttemptEnd::kLost : gateway::AttemptEnd::kNotSent;
    else if (answer.end == End::kAnswered && answer.answered != forward.request.value)
        report.end = gateway::AttemptEnd::kUnusable;
    else
        report.end = gateway::AttemptEnd::kAnswered;
    found->second.attempt = 0;
    found->second.forwarded = answer;
    carry_out(m_node->OnAttemptEnd(report, Now()));
}

auto GatewayProcess::on_attempt_end(
    gateway::SendAttempt const& send, gateway::AttemptEnd end, WorkerAnswer const& answer) -> void
{
    auto const found = m_live.find(send.request);
    if (found == m_live.end() || found->second.attempt != send.attempt)
        return;
    gateway::AttemptReport report;
    report.request = send.request;
    report.attempt = send.attempt;
    report.end = end;
    auto const answered = end == gateway::AttemptEnd::kAnswered || end == gateway::AttemptEnd::kNotExecuted;
    if (answered && answer.number != send.request.value && !takes_any_answer) {
        report.end = gateway::AttemptEnd::kUnusable;
    } else if (answered) {
        report.status = answer.status;
        report.load = answer.load;
        report.not_owner = end == gateway::AttemptEnd::kNotExecuted && answer.status == kMisdirected;
        if (!report.not_owner)
            report.pressure = answer.pressure;
        m_ports.on_read(*this, send.address, answer);
    }
    found->second.attempt = 0;
    found->second.answer = answer;
    carry_out(m_node->OnAttemptEnd(report, Now()));
}

auto GatewayProcess::close(Live& live) -> void
{
    if (std::exchange(live.attempt, 0) == 0)
        return;
    if (live.at_gateway)
        m_ports.close_at_gateway(*this, live.address, live.request.number.value);
    else
        m_ports.close_at_worker(*this, live.address, live.request.number.value);
}

auto GatewayProcess::act(gateway::AbandonAttempt const& abandon) -> void
{
    auto const found = m_live.find(abandon.request);
    if (found != m_live.end())
        close(found->second);
}

auto GatewayProcess::act(gateway::RelayAnswer const& relay) -> void
{
    auto const& live = m_live.at(relay.request);
    if (live.at_gateway) {
        if (live.forwarded.end == CallerAnswer::End::kAnswered)
            m_ports.on_relayed(*this, live.forwarded.worker_address, live.forwarded.worker);
        return tell(relay.request, CallerAnswer(live.forwarded));
    }
    m_ports.on_relayed(*this, live.address, live.answer);
    CallerAnswer answer {CallerAnswer::End::kAnswered, live.answer.status, live.answer.number, {}, {}};
    if (relay.hop)
        answer.hop = *relay.hop;
    answer.worker_address = live.address;
    answer.worker = live.answer;
    tell(relay.request, answer);
}

auto GatewayProcess::act(gateway::AskTokens const& ask) -> void
{
    transmit(m_tracker->OnSend(ask.request, Now()));
}

auto GatewayProcess::act(gateway::Refuse const& refusal) -> void
{
    CallerAnswer answer {CallerAnswer::End::kRefused, refusal.status, 0, refusal.retry_after,
        gateway::ReasonName(refusal.reason)};
    answer.hop.declined = refusal.declines_hop;
    tell(refusal.request, answer);
}

auto GatewayProcess::act(gateway::SendSlots const& slots) -> void
{
    m_ports.send_slots(*this, slots.send);
}

auto GatewayProcess::act(gateway::ResetPeer const& peer) -> void
{
    m_ports.reset_peer(*this, peer.address);
}

auto GatewayProcess::tell(gateway::RequestNumber number, CallerAnswer const& answer) -> void
{
    auto const found = m_live.find(number);
    if (found == m_live.end())
        return;
    auto live = std::move(found->second);
    m_live.erase(found);
    close(live);
    live.reply(answer);
}

} // namespace graniteseam::simulation
