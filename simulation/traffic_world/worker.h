/// @file
/// One life of a worker as the users' pages describe it: slots and a queue, keys by orders and by the
/// answers to its heartbeats, a clock that runs slow, fences that it has seen.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/control/operator_messages.h"
#include "graniteseam/control/range_orders.h"
#include "simulation/simulator/world.h"
#include "simulation/traffic_world/span_map.h"
#include "simulation/traffic_world/traffic_oracle.h"
#include "src/gateway/gateway_events.h"

namespace graniteseam::simulation {

/// A request as it reaches a worker.
struct WorkerRequest {
    std::uint64_t number = 0;
    std::string instance; ///< That is meant.
    std::optional<std::uint32_t> key;
    Duration time_left {};
    std::uint64_t digest = 0; ///< Of what it asks for.
};

/// For which a worker warms up.
inline constexpr Duration kWarmUp {3'000'000};

/// What a worker is from its start to its end.
struct WorkerTraits {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::int64_t slots = 3;
    std::size_t queue = 4;
    double clock_rate = 1.0; ///< At which its clock runs: 0.98 to 1.
    Duration work {60'000}; ///< Mean time of one request.
    bool keyed = false;
    Duration warm_up {0}; ///< For which it warms up after its start.
    /// Refuses an order that names another instance. Only with a transport that carries the name.
    bool checks_instance = false;
    bool lease_never_ends = false; ///< A seeded defect.
    /// Ends the worker's process under the request that it runs.
    std::function<void(WorkerRequest const&)> crash;
};

/// What a worker says when it is asked for its health.
struct WorkerHealth {
    std::string instance;
    gateway::ReportedLoad load;
    Duration warm_up_left {};
};

struct WorkerAnswer {
    enum class End {
        kAnswered,
        kNotExecuted, ///< Says that the request did not and will not run.
        kBroken, ///< The connection ends without an answer.
    };
    End end = End::kAnswered;
    int status = 200;
    std::uint64_t number = 0; ///< Of the request that it belongs to.
    gateway::ReportedLoad load;
    gateway::BackPressure pressure;
    TrueTime at = 0;
};

/// Not thread safe: one run, one thread.
class Worker : public std::enable_shared_from_this<Worker> {
public:
    using Reply = std::function<void(WorkerAnswer const&)>;
    using OrderReply = std::function<void(control::RangeOrderResult::Outcome, std::string const& handover)>;

    Worker(World&, TrafficOracle&, WorkerTraits);

    auto traits() const -> WorkerTraits const& { return m_traits; }
    auto up() const -> bool { return m_up; }
    auto draining() const -> bool { return m_draining; }
    auto holds_keys() const -> bool { return !m_holds.empty(); }

    /// Takes an order as it is carried out. @param late its sender has stopped waiting for it.
    auto take_order(control::RangeOrder const&, bool late, OrderReply const&) -> void;
    /// Its next heartbeat, as it is sent now.
    auto beat() -> control::ReportInstance;
    /// Takes the answer to the heartbeat of this sequence. @return whether it came in time.
    auto take_answer(std::int64_t sequence, control::OperatorAnswer const&) -> bool;
    /// Whether it must beat again soon, since it works on keys that it was told to let go of.
    auto lets_go() const -> bool;
    auto awaits_answer() const -> bool { return m_awaited != 0; }

    /// Whether a request is for this instance, and for a key that it holds.
    auto would_run(WorkerRequest const&) const -> bool;
    auto run(WorkerRequest const&, Reply const&) -> void;
    /// Does not run the request, and says so.
    auto shed(WorkerRequest const&) const -> WorkerAnswer;
    auto health() const -> WorkerHealth;
    /// The connection of a request closed: it is dropped unless it runs.
    auto drop(std::uint64_t request) -> void;

    auto say_draining() -> void { m_draining = true; }
    /// Says in each answer that it leaves.
    auto say_leaving() -> void { m_leaving = true; }
    /// Names a limit in each answer, in requests a second; nullopt ends it.
    auto name_limit(std::optional<double> limit) -> void;
    auto limit() const -> std::optional<double> { return m_limit; }
    /// Turns all requests away until then, and asks for a rest each time.
    auto turn_away(TrueTime until, Duration rest) -> void;
    auto turns_away() const -> bool { return m_world.now() < m_turns_away_until; }
    /// Warms up from now on, for so long.
    auto warm_up(Duration) -> void;
    auto warms_up() const -> bool { return m_world.now() < m_warm_at; }
    auto is_warm() const -> bool { return m_up && !warms_up(); }
    /// Ends at once; what it had open breaks.
    auto end() -> void;

private:
    struct Hold {
        std::uint64_t fence = 0;
        TrueTime until = 0;
        bool leaving = false; ///< No new work; held until the work on it has ended.
        bool by_heartbeat = false;
        bool late = false;
    };
    struct Work {
        WorkerRequest request;
        Reply reply;
        TrueTime arrived = 0;
    };
    struct OpenRelease {
        Keys keys;
        OrderReply reply;
    };

    auto refuses(Keys const&, std::uint64_t fence) const -> bool;
    auto see(Keys const&, std::uint64_t fence) -> void;
    auto take(Keys const&, Hold const&) -> void;
    /// Stops new work on keys, and lets go of those without work.
    auto leave(Keys const&) -> void;
    auto let_go_of_idle() -> void;
    auto expire() -> void;
    auto expire_at(TrueTime) -> void;
    auto works_on(Keys const&) const -> bool;
    auto end_of_lease(Duration length, TrueTime from) const -> TrueTime;
    auto start_next() -> void;
    auto finish(std::uint64_t started, int status) -> void;
    auto answer(Work const&, WorkerAnswer::End, int status) -> void;
    auto load() const -> gateway::ReportedLoad;
    auto pressure(int status) const -> gateway::BackPressure;
    auto tell_holdings() -> void;

    World& m_world;
    TrafficOracle& m_oracle;
    WorkerTraits m_traits;
    bool m_up = true;
    bool m_draining = false;
    bool m_leaving = false;
    std::optional<double> m_limit;
    TrueTime m_turns_away_until = 0;
    Duration m_rest {};
    TrueTime m_warm_at = 0;
    SpanMap<Hold> m_holds;
    SpanMap<std::uint64_t> m_seen; ///< The highest fence by key.
    std::vector<OpenRelease> m_releases;
    std::vector<traffic::ReleasedSpan> m_released; ///< To be told in heartbeats.
    std::size_t m_released_told = 0; ///< Of those, in the heartbeat that is under way.
    std::int64_t m_sequence = 0;
    std::int64_t m_awaited = 0; ///< The heartbeat that is under way.
    TrueTime m_awaited_since = 0;
    std::map<std::uint64_t, Work> m_running; ///< In the order of their starts.
    std::uint64_t m_started = 0;
    std::deque<Work> m_queue;
};

} // namespace graniteseam::simulation
