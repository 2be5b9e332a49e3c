/// @file
/// Back pressure from instances: request rate limits that apply to all routers together, the tokens
/// by which routers share a limit, and back-off periods.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>

#include "graniteseam/traffic/instance.h"

namespace graniteseam::traffic {

/// The rate limit that an instance returned in a response. Of two observations the later one
/// applies, whichever router made it.
struct InstanceLimit {
  InstanceId instance;
  double requests_per_second = 0;  ///< 0: the instance has withdrawn its limit.
  std::int64_t heard_ms_ago = 0;   ///< Age of the observation.

  bool operator==(const InstanceLimit&) const = default;
};
BOOST_DESCRIBE_STRUCT(InstanceLimit, (), (instance, requests_per_second, heard_ms_ago))

/// A back-off period: an instance rejected a router's request and asked that router to send none
/// for a while.
struct InstanceRest {
  InstanceId instance;
  std::int64_t left_ms = 0;  ///< Remaining back-off time.

  bool operator==(const InstanceRest&) const = default;
};
BOOST_DESCRIBE_STRUCT(InstanceRest, (), (instance, left_ms))

/// Requests tokens for requests that are queued for an instance.
struct LimitTokenRequest {
  InstanceLimit limit;         ///< The latest limit that the router has seen.
  std::uint32_t requests = 0;  ///< Queued requests that need a token.

  bool operator==(const LimitTokenRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(LimitTokenRequest, (), (limit, requests))

/// Tokens for requests to one instance. They are valid only for the requests named in the token
/// request, and only immediately.
struct LimitTokenGrant {
  InstanceId instance;
  std::uint32_t requests = 0;
  /// Time until the next token, when fewer than requested were granted.
  std::int64_t retry_after_ms = 0;

  bool operator==(const LimitTokenGrant&) const = default;
};
BOOST_DESCRIBE_STRUCT(LimitTokenGrant, (), (instance, requests, retry_after_ms))

}  // namespace graniteseam::traffic
