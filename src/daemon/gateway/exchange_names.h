/// @file
/// The names by which callers, servers and a gateway speak of a request: a dialect of HTTP headers.
#pragma once

#include <string>

namespace graniteseam::daemon {

/// Header names. A composition gives them all; the gateway knows what they mean.
struct ExchangeNames {
  std::string attempt_id;       ///< The caller's id of the request; servers echo it.
  std::string time_left_ms;     ///< How long the caller still waits, in milliseconds.
  std::string key;              ///< The key of a keyed service's request.
  std::string target_instance;  ///< To servers: which instance is meant.
  std::string seal;             ///< From servers: marks an answer as theirs.
  std::string load;             ///< From servers: running, waiting, slots; joined by commas.
  std::string not_executed;     ///< From servers: the request did not run and will not.
  std::string answerer{};       ///< From servers, to probes: which instance answers.
  std::string warm_up_ms{};     ///< From servers, to probes: how much longer it warms up.
  std::string tenant{};         ///< To servers: whose key the caller showed.
  std::string limit{};          ///< From servers: requests a second, from all gateways together.
  std::string leaving{};        ///< From servers: "1" when they will end as planned.
};

}  // namespace graniteseam::daemon
