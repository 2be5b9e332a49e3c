/// @file
/// What instances state of the requests that they take: limits for all routers together, the tokens
/// by which routers share them, and rests.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>

#include "graniteseam/traffic/instance.h"

namespace graniteseam::traffic {

/// What an instance stated of its limit in an answer. Of two words the one that was heard later
/// counts, whoever heard it.
struct InstanceLimit {
  InstanceId instance;
  double requests_per_second = 0;  ///< 0: it names none any more.
  std::int64_t heard_ms_ago = 0;

  bool operator==(const InstanceLimit&) const = default;
};
BOOST_DESCRIBE_STRUCT(InstanceLimit, (), (instance, requests_per_second, heard_ms_ago))

/// An instance turned a router's request away and wants none from that router for a time.
struct InstanceRest {
  InstanceId instance;
  std::int64_t left_ms = 0;  ///< Of the time that it asked for.

  bool operator==(const InstanceRest&) const = default;
};
BOOST_DESCRIBE_STRUCT(InstanceRest, (), (instance, left_ms))

/// Asks for tokens, for requests that wait to be sent to an instance now.
struct LimitTokenRequest {
  InstanceLimit limit;  ///< As the router knows it.
  std::uint32_t requests = 0;

  bool operator==(const LimitTokenRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(LimitTokenRequest, (), (limit, requests))

/// Tokens for requests to one instance: for those that were asked for, and at once.
struct LimitTokenGrant {
  InstanceId instance;
  std::uint32_t requests = 0;
  std::int64_t retry_after_ms = 0;  ///< Until the next token, when it gave fewer than were wanted.

  bool operator==(const LimitTokenGrant&) const = default;
};
BOOST_DESCRIBE_STRUCT(LimitTokenGrant, (), (instance, requests, retry_after_ms))

}  // namespace graniteseam::traffic
