/// @file
/// A user's traffic: its streams of requests, read from TOML, and the draws from them.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"

namespace graniteseam::testbed {

/// Requests of one group to one service.
struct Stream {
  std::string group;
  std::string service;
  bool keyed = false;
  std::string key_prefix;
  std::int64_t keys = 1;       ///< Keys are key_prefix followed by 0 ... keys - 1.
  double zipf_exponent = 1.0;  ///< 0: all keys alike; 1: the hottest key gets about 1 / ln(keys).
  bool repeatable = true;      ///< Otherwise each request carries an operation id.
  std::string rest = "";       ///< The path after the service or key.
  double share = 1.0;          ///< Of all requests, relative to the other streams.
  std::int64_t deadline_ms = 2'000;
  std::int64_t padding = 200;    ///< Bytes of filling wanted in the answer.
  double resend_fraction = 0.0;  ///< Of answered requests, sent once more through another router.
};

/// Reads the `[[stream]]` tables of a TOML file.
/// @return kInvalidSettings with the file's name and line.
Result<std::vector<Stream>> ReadTraffic(const std::string& path);

/// One request to be sent.
struct PlannedRequest {
  std::size_t stream = 0;
  std::string key;        ///< Empty for a pooled service.
  std::string nonce;      ///< Its mark; equals `operation` where there is one.
  std::string operation;  ///< Empty for a repeatable request.
  Instant due;
  bool resend_when_answered = false;
};

/// Draws requests at random times whose rate does not depend on answers (open loop). The same seed
/// gives the same requests; operation ids also hold the wall time. Not thread safe.
class TrafficSource {
 public:
  TrafficSource(std::vector<Stream> streams, double requests_per_second, std::uint64_t seed,
                Instant start);

  /// @param wall_ms milliseconds since 1970, for operation ids.
  PlannedRequest Next(std::int64_t wall_ms);

  const std::vector<Stream>& streams() const { return streams_; }

 private:
  std::string DrawKey(std::size_t stream);
  std::string DrawUuid(std::int64_t wall_ms);

  std::vector<Stream> streams_;
  std::vector<std::vector<double>> key_weights_;  ///< For each stream, summed up over its keys.
  std::mt19937_64 random_;
  std::exponential_distribution<double> gap_s_;
  std::discrete_distribution<std::size_t> stream_choice_;
  Instant next_;
};

}  // namespace graniteseam::testbed
