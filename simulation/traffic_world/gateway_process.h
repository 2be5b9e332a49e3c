/// @file
/// A gateway: the shipped GatewayNode and LeaderTracker, driven as the daemon drives them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/control/router_messages.h"
#include "simulation/simulator/process.h"
#include "simulation/traffic_world/retry_account.h"
#include "simulation/traffic_world/worker.h"
#include "src/gateway/gateway_node.h"
#include "src/protocol/leader_tracker.h"

namespace graniteseam::simulation {

class GatewayProcess;

/// What a caller is told.
struct CallerAnswer {
    enum class End {
        kAnswered, ///< By a worker.
        kRefused, ///< By the gateway, in its own name.
        kBroken, ///< The connection ended.
        kNotSent, ///< There was none: the gateway was not reached.
    };
    End end = End::kBroken;
    int status = 0;
    std::uint64_t answered = 0; ///< The request that a worker's answer says it belongs to.
    std::optional<Duration> retry_after;
    std::string_view reason; ///< Of a refusal.
    // For a gateway that forwarded the request.
    gateway::HopReport hop {};
    std::string worker_address {};
    WorkerAnswer worker {};
};

/// Where a gateway's messages go; the fleet implements it.
class GatewayPorts {
public:
    virtual ~GatewayPorts() = default;
    virtual auto send_to_control(
        GatewayProcess& from, std::string const& address, control::RouterToControl const&) -> void
        = 0;
    /// The reply comes once at most, not after the gateway has ended.
    virtual auto send_to_worker(GatewayProcess& from, std::string const& address, WorkerRequest const&,
        std::function<void(gateway::AttemptEnd, WorkerAnswer const&)> const& reply) -> void
        = 0;
    /// Asks whoever lives at an address for its health. The reply comes once at most, not after the
    /// gateway has ended.
    virtual auto probe_worker(GatewayProcess& from, std::string const& address,
        std::function<void(WorkerHealth const&)> const& reply) -> void
        = 0;
    /// Opens a connection to an address and closes it. The reply says whether it was accepted; it comes
    /// once at most, not after the gateway has ended.
    virtual auto try_connection(GatewayProcess& from, std::string const& address,
        std::function<void(bool reached)> const& reply) -> void
        = 0;
    /// A worker's answer was read, as that to the attempt that is under way.
    virtual auto on_read(GatewayProcess& from, std::string const& address, WorkerAnswer const&) -> void = 0;
    /// A worker's answer goes to its caller.
    virtual auto on_relayed(GatewayProcess& from, std::string const& address, WorkerAnswer const&) -> void
        = 0;
    virtual auto close_at_worker(GatewayProcess& from, std::string const& address, std::uint64_t request)
        -> void
        = 0;
    /// Carries messages of coordinated admission to a gateway's address, or over an accepted connection.
    /// Hands a request to the gateway that takes forwarded ones at an address. The reply comes once at
    /// most, not after the sender has ended.
    virtual auto forward(GatewayProcess& from, std::string const& address, gateway::ArrivedRequest const&,
        std::function<void(CallerAnswer const&)> const& reply) -> void
        = 0;
    virtual auto close_at_gateway(GatewayProcess& from, std::string const& address, std::uint64_t request)
        -> void
        = 0;
    virtual auto send_slots(GatewayProcess& from, coordination::SlotSend const&) -> void = 0;
    virtual auto reset_peer(GatewayProcess& from, std::string const& address) -> void = 0;
};

/// Not thread safe.
class GatewayProcess : public Process {
public:
    using Reply = std::function<void(CallerAnswer const&)>;

    GatewayProcess(
        World&, GatewayPorts&, std::uint32_t number, std::uint32_t zone, std::vector<std::string> controls);

    /// What one instance that warms up may get from all gateways, a second; 0 for no bound.
    double warm_up_requests_per_second = 0;
    RetryBound retry_bound;
    /// Takes the answers of any request for its own; a seeded defect.
    bool takes_any_answer = false;
    /// Where other gateways ask it for slots; empty when it takes no part in coordinated admission.
    std::string coordination_address;
    /// Where it takes requests that other gateways forward; empty when it takes none.
    std::string caller_address;

    auto on_control_connected(std::string const& address) -> void;
    auto on_control_disconnected(std::string const& address) -> void;
    auto on_control_message(std::string const& address, control::ControlToRouter const&) -> void;
    /// @param from where answers are to be sent.
    auto on_slot_batch(std::string const& from, coordination::SlotBatch const&) -> void;
    auto take(gateway::ArrivedRequest const&, Reply const&) -> void;
    /// The caller of a request has closed its connection.
    auto drop(std::uint64_t request) -> void;

    /// A stop is announced: callers go elsewhere, and what it has goes on until it is killed.
    auto begin_stop() -> void { m_stopping = alive(); }
    auto stopping() const -> bool { return m_stopping; }

    auto ready() const -> bool { return alive() && m_node->Ready(); }
    auto configuration() const -> std::uint64_t { return m_node->configuration().value; }

protected:
    void OnStart() override;
    void OnKill() override;
    void OnTick() override;
    Instant NextTick() const override;

private:
    struct Live {
        gateway::ArrivedRequest request;
        Reply reply;
        std::uint32_t attempt = 0; ///< Under way; 0 for none.
        std::string address;
        WorkerAnswer answer;
        bool at_gateway = false; ///< The address is another gateway's.
        CallerAnswer forwarded; ///< What that gateway answered.
    };

    auto poll() -> void;
    auto ask_feed() -> void;
    auto follow_feed() -> void;
    auto transmit(std::vector<protocol::LeaderSend> const&) -> void;
    auto carry_out(gateway::GatewayEffects const&) -> void;
    auto act(gateway::SendAttempt const&) -> void;
    auto act(gateway::ProbeInstance const&) -> void;
    auto act(gateway::TryConnection const&) -> void;
    auto act(gateway::ForwardRequest const&) -> void;
    auto act(gateway::AbandonAttempt const&) -> void;
    auto act(gateway::RelayAnswer const&) -> void;
    auto act(gateway::AskTokens const&) -> void;
    auto act(gateway::Refuse const&) -> void;
    auto act(gateway::SendSlots const&) -> void;
    auto act(gateway::ResetPeer const&) -> void;
    auto on_forward_end(gateway::ForwardRequest const&, CallerAnswer const&) -> void;
    auto on_attempt_end(gateway::SendAttempt const&, gateway::AttemptEnd, WorkerAnswer const&) -> void;
    auto close(Live&) -> void;
    auto tell(gateway::RequestNumber, CallerAnswer const&) -> void;

    GatewayPorts& m_ports;
    std::vector<std::string> m_controls;
    std::unique_ptr<gateway::GatewayNode> m_node;
    std::string m_feed; ///< The control process that brings the state.
    std::unique_ptr<protocol::LeaderTracker> m_tracker;
    Instant m_tracker_due {};
    Instant m_poll_due {};
    Instant m_last_poll {};
    bool m_stopping = false;
    std::map<gateway::RequestNumber, Live> m_live;
};

} // namespace graniteseam::simulation
