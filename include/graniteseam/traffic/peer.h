/// @file
/// The list of gateways that coordinate admission and take forwarded requests, as the leader
/// distributes it.
#pragma once

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::traffic {

/// Services are coordinated, and their keys divided by what owners can answer in time, from this
/// target latency on: eight times the 100 ms that an unanswered coordinator costs.
inline constexpr Duration kCoordinatedTargetMinimum{800'000};

/// A gateway that takes part in coordinated admission.
struct GatewayPeer {
  RouterId id;
  std::string address;  ///< "ip:port" at which other gateways ask it for slots.
  ZoneName zone;
  double weight = 1;  ///< Its machine's processor share, relative to the other gateways.
  /// "ip:port" at which it takes requests that other gateways forward; empty when it takes none.
  std::string caller_address{};

  bool operator==(const GatewayPeer&) const = default;
};
BOOST_DESCRIBE_STRUCT(GatewayPeer, (), (id, address, zone, weight, caller_address))

/// A version of the list. Lists of different terms are unrelated.
struct PeerVersion {
  std::uint64_t term = 0;
  std::uint64_t number = 0;  ///< 0 for no list.

  auto operator<=>(const PeerVersion&) const = default;
};
BOOST_DESCRIBE_STRUCT(PeerVersion, (), (term, number))

/// The difference of the list from `base` to `version`. With base number 0 it is the whole list;
/// with version number 0 it contains nothing and changes nothing.
struct PeerUpdate {
  PeerVersion base;
  PeerVersion version;
  std::vector<GatewayPeer> changed;  ///< New or changed.
  std::vector<RouterId> removed;

  bool operator==(const PeerUpdate&) const = default;
};
BOOST_DESCRIBE_STRUCT(PeerUpdate, (), (base, version, changed, removed))

}  // namespace graniteseam::traffic
