/// @file
/// How the stand-in server behaves: its flags.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "graniteseam/common/time.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::testbed {

struct ServerOptions {
  std::string id;
  std::string service;
  std::string zone;
  runtime::SocketAddress http_address{"127.0.0.1", 0};
  bool keyed = false;
  std::int64_t slots = 2;                  ///< Requests run at once.
  std::int64_t queue = 64;                 ///< Requests that may wait for a slot; more are shed.
  std::int64_t connections = 130;          ///< Live connections served at once.
  Duration work{2'000};                    ///< Mean time of one request.
  Duration cold_start{0};                  ///< How long after its start the server works slowly.
  double cold_factor = 4.0;                ///< How much slower it works then.
  Duration hint_lag{0};                    ///< Age of what the health and load endpoints tell.
  std::int64_t claimed_load_percent = -1;  ///< The load that it claims, whatever is true; -1: none.
  bool always_healthy = false;             ///< Claims to be healthy, whatever is true.
  Duration drain_limit{20'000'000};        ///< Longest wait for its work to go elsewhere at a stop.
  std::string record;                      ///< File of runs and leases; empty: none.
  std::int64_t seed = 1;                   ///< Of the spread of work times.
};

/// Reads flags and settings.
/// @return nullopt when the server shall run, otherwise its exit code.
std::optional<int> ReadServerOptions(int argc, char** argv, ServerOptions& options);

}  // namespace graniteseam::testbed
