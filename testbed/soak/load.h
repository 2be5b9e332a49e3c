/// @file
/// Callers and an operator of a soaked fleet, each on a thread of its own, and what they saw.
#pragma once

#include <cstdint>
#include <stop_token>
#include <string>
#include <vector>

#include "src/daemon/gateway/exchange_names.h"
#include "testbed/soak/promises.h"

namespace graniteseam::testbed::soak {

struct Endpoints {
    std::vector<std::string> routers; ///< Callers' addresses.
    std::vector<std::string> registries;
    daemon::ExchangeNames names;
};

/// Sends attempts until it is told to stop: keyed ones, ones that may be repeated, ones that may not.
/// No attempt is sent twice. @return every one, in order.
auto run_caller(Endpoints const&, std::uint64_t seed, std::string const& name, std::stop_token const&)
    -> std::vector<SeenAnswer>;

struct SeenByOperator {
    std::vector<SeenChange> changes;
    std::vector<SeenRead> reads;
};

/// Changes and reads the configuration until it is told to stop; resends what got no clear answer, and
/// at times sends a rival on a version that was built on already. The last thing it does is a read.
auto run_operator(Endpoints const&, std::uint64_t seed, std::stop_token const&) -> SeenByOperator;

} // namespace graniteseam::testbed::soak
