/// @file
/// Callers and an operator of a soaked fleet, each on a thread of its own, and what they saw.
#pragma once

#include <cstdint>
#include <memory>
#include <stop_token>
#include <string>
#include <vector>

#include "src/daemon/gateway/exchange_names.h"
#include "testbed/registered/lagging_list.h"
#include "testbed/soak/promises.h"

namespace graniteseam::testbed::soak {

struct Endpoints {
    std::vector<std::string> routers; ///< Callers' addresses.
    std::shared_ptr<LaggingList const> registries;
    daemon::ExchangeNames names;
    bool coordinated = false; ///< Whether routers coordinate admission to the leased service.
};

enum class CallerStyle {
    Pooled, ///< Some connections to each router, used again where one rests.
    Kept, ///< One connection, used until it is closed; then one to the same router, while that answers.
    Fresh, ///< A connection for each request.
    Ahead, ///< As Kept, with further requests sent before the first is answered; of all kinds.
    SafeAhead, ///< The same, with only reads that may be repeated: routers run these in parallel.
    Unsafe, ///< As Ahead, with only requests that may run once; large bodies and short deadlines too.
    Hesitant, ///< As Fresh, and sends some 100 ms after the connection was opened.
};

struct CallerOptions {
    std::uint64_t seed = 0;
    std::string name; ///< Its attempts begin with it.
    CallerStyle style = CallerStyle::Pooled;
    bool limited = false; ///< Sends as the tenant whose quota is far below that.
    std::size_t ahead_longest = 8; ///< Requests that it sends in one piece, at most.
};

/// Sends attempts until it is told to stop: keyed ones of both forms, ones that may be repeated, ones that
/// may not. No attempt is sent twice. @return every one, in order.
auto run_caller(Endpoints const&, CallerOptions const&, std::stop_token const&) -> std::vector<SeenAnswer>;

/// When a router is told to stop.
struct PlannedStop {
    std::uint32_t router = 0;
    Instant at {};
    std::uint64_t seed = 0; ///< Of what all callers of this stop do together.
};

/// Sends to a router that was told to stop around the time when that closes the connections that rest; half
/// of all callers of a stop do so at nearly the same moment. Mostly over a connection that was opened before
/// the stop and rested since, at times after an answer came on it; at times over one that it opens some 100
/// ms before. One stop after the other, none of which overlap, until it is told to stop.
/// @return every attempt, in order.
auto run_resting_caller(Endpoints const&, CallerOptions const&, std::vector<PlannedStop> const&,
    std::stop_token const&) -> std::vector<SeenAnswer>;

/// Asks again and again for what ends each worker that runs it, now one thing and now another, until it is
/// told to stop. @return every attempt, in order.
auto run_crasher(Endpoints const&, std::uint64_t seed, std::stop_token const&) -> std::vector<SeenAnswer>;

struct SeenByOperator {
    std::vector<SeenChange> changes;
    std::vector<SeenRead> reads;
    std::vector<SeenReadTry> read_tries;
};

class AcceptedVersions;

/// Changes and reads the configuration until it is told to stop: as a whole or by patches, at times several
/// changes without a pause, at times none for seconds. Resends what got no clear answer, and at times sends
/// a rival on a version that was built on already. The last thing it does is a read.
/// @param pause between two changes that are no series.
/// @param accepted is told of each change that was acknowledged.
auto run_operator(Endpoints const&, std::uint64_t seed, Duration pause, AcceptedVersions& accepted,
    std::stop_token const&) -> SeenByOperator;

} // namespace graniteseam::testbed::soak
