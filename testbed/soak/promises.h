/// @file
/// What must always hold, checked from what callers, workers and operators saw on their own sockets.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/common/time.h"
#include "testbed/registered/worker.h"

namespace graniteseam::testbed::soak {

/// One attempt as its caller saw it.
struct SeenAnswer {
    std::string attempt;
    bool may_repeat = true;
    int status = 0; ///< 0: no answer.
    bool own = true; ///< A success carried this attempt's id, a seal and the worker's body.
    Instant sent {};
    Instant ended {};
    std::uint32_t router = 0; ///< Which one it was sent to, from 0.
    bool kept = false; ///< Sent on a connection that had brought an answer before.
    bool closed = false; ///< Sent whole, then the connection ended without a whole answer.
    bool reset = false; ///< It ended so by a reset.
    /// For how long after its last byte was sent the connection is known not to have ended.
    Duration known_open {};
    bool unconfirmed = false; ///< Refused since the router was not sure of its configuration.
    bool crashes = false; ///< Asks for what ends each worker that runs it.
    bool quarantined = false; ///< Refused since servers ended under what it asks for.
    std::string tenant {}; ///< Whose key it showed; empty when it showed none, or an unknown one.
    bool unknown_key = false; ///< It showed a key that nobody has.
    bool out_of_order = false; ///< Sent ahead; the answer in its place names another attempt.
    bool sealed = false; ///< Carried a worker's seal, whatever its status.
    /// That its route leads to in all versions; empty where versions differ.
    std::string service {};
};

/// A request that reached a worker, whether or not that took it.
struct SeenArrival {
    std::string service;
    std::string attempt;
    Instant at {};
};

/// One change of the configuration, or one resend of it, as the operator saw it.
struct SeenChange {
    std::uint64_t base = 0;
    std::uint64_t version = 0;
    std::string body;
    bool accepted = false;
    Instant sent {};
    Instant ended {};
    bool refused = false; ///< For what it says, not for who was asked.
};

/// One read of the configuration that was answered.
struct SeenRead {
    std::uint64_t version = 0;
    std::string body;
    Instant sent {};
};

/// One question for the configuration, answered or not.
struct SeenReadTry {
    Instant sent {};
    Instant ended {};
    bool answered = false;
};

/// A request for a route that changes add, move or drop.
struct SeenProbe {
    SeenAnswer answer;
    std::uint64_t version = 0; ///< The newest that is to be in force: its change, or newer ones, decide.
    Instant acknowledged {}; ///< When the operator was told that it is accepted.
    std::string path; ///< That it asks for, without what stands behind the route's prefix.
    std::optional<std::uint64_t> round {}; ///< Sent to all routers at one moment, in this round.
};

/// A worker's word that it leaves.
struct SeenDrain {
    std::string worker;
    /// Attempts that came later than the allowance after the acknowledgement.
    std::vector<std::string> late_arrivals;
};

/// A span in which a router was killed, stood still, started or was cut off.
struct SeenDisturbance {
    std::uint32_t router = 0;
    Instant begun {};
    Instant ended {};
    /// Its process lived and ran all the while; only its links or its connections were hit.
    bool only_links = false;
};

/// A span in which something was done to a control process.
struct SeenCoreDisturbance {
    Instant begun {};
    Instant ended {};
};

/// A signal of planned work, sent to a router.
struct SeenSignal {
    std::uint32_t router = 0;
    Instant at {};
};

/// The most memory that one process was resident in.
struct SeenMemory {
    std::string program; ///< "router" or "control".
    std::uint32_t machine = 0;
    std::uint64_t peak_bytes = 0;
};

inline constexpr std::uint64_t bytes_per_megabyte = 1'000'000;
/// Memory of the users' machines for each program.
inline constexpr std::uint64_t router_memory_bytes = 160 * bytes_per_megabyte;
inline constexpr std::uint64_t control_memory_bytes = 256 * bytes_per_megabyte;

struct Observed {
    std::vector<SeenAnswer> answers;
    std::vector<WorkerRun> runs;
    std::vector<SeenChange> changes;
    std::vector<SeenRead> reads;
    std::vector<WorkerCrash> crashes;
    std::vector<SeenReadTry> read_tries;
    std::vector<SeenProbe> probes; ///< In the order of their sending.
    std::uint64_t probe_rounds = 0; ///< Rounds of probes to all routers.
    std::vector<SeenDrain> drains;
    std::vector<WorkerHold> holds;
    std::vector<WorkerStated> stated;
    std::vector<SeenArrival> arrivals;
    std::map<std::string, Instant> worker_ends; ///< Of those that ended, by id.
    std::vector<SeenDisturbance> disturbances;
    std::vector<SeenMemory> memory; ///< Of each process that was looked at.
    std::vector<SeenSignal> stops; ///< SIGTERM.
    std::vector<SeenSignal> reloads; ///< SIGHUP.
    std::vector<SeenCoreDisturbance> core_disturbances;
    /// Spans in which a control process was short of processor time. The group may be slow then; what it
    /// acknowledges holds all the same.
    std::vector<SeenCoreDisturbance> core_strains;
    Instant ended {}; ///< When the callers and the operator were told to stop.
    Instant settled {}; ///< When all processes had started and found each other.
    std::vector<Instant> thaws; ///< When a control process that had stood still went on.
    std::uint64_t served_at_the_end = 0; ///< Successes after all faults were undone.
    std::uint64_t asked_at_the_end = 0;
};

/// The users' bounds: for a change to be in force at every router in touch, counted from its
/// acknowledgement, and for a change or a read in calm time to be answered.
inline constexpr Duration in_force_within {2'000'000};
inline constexpr Duration answered_within {4'000'000};

/// The callers wait for so long; a close after it says nothing.
inline constexpr Duration callers_deadline {2'000'000};

/// A promise that was not kept.
struct Breach {
    std::string promise; ///< For example "at_most_once".
    std::string detail;
};

/// @return all that was not kept; empty when everything held.
auto check_promises(Observed const&) -> std::vector<Breach>;

/// Requests on kept connections that ran at a worker which lived on, and whose connection was then closed
/// without an answer by a router that nothing had disturbed. The users allow three.
auto lost_on_kept_connections(Observed const&) -> std::vector<SeenAnswer>;

} // namespace graniteseam::testbed::soak
