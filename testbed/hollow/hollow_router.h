/// @file
/// A router without callers' port: the shipped RouterNode and control client, with requests that
/// are answered in place.
#pragma once

#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "graniteseam/routing/router_node.h"
#include "src/protocol/router_control_client.h"
#include "src/runtime/metrics.h"
#include "testbed/hollow/event_log.h"

namespace graniteseam::testbed {

struct HollowRouterOptions {
  RouterId id;
  ZoneName zone;
  std::vector<runtime::SocketAddress> control;
  ServiceName service;  ///< Keyed; its keys are used by Zipf's law.
  GroupName group;
  double requests_per_second = 20.0;
};

/// Thread safe. Drive() must be called some ten times a second.
class HollowRouter {
 public:
  HollowRouter(HollowRouterOptions options, runtime::MetricsRegistry& metrics, EventLog& events);

  /// Lets time pass: ends requests, begins new ones, renews.
  void Drive();
  /// Makes other keys the hot ones.
  void ShiftKeys(std::uint64_t seed);
  bool Ready();

 private:
  void Carry(routing::RouterEffects effects);
  void SendRequests(Instant now);
  std::string DrawKey();
  void NoteVersion(Instant now);

  const HollowRouterOptions options_;
  EventLog& events_;
  std::mutex mutex_;  ///< Guards what follows, except the client.
  std::mt19937_64 random_;
  std::uint64_t key_offset_ = 0;
  routing::RouterNode node_;
  std::vector<routing::AttemptSend> in_flight_;
  routing::RequestNumber last_request_ = 0;
  Instant requests_until_;
  BundleVersion noted_version_;
  /// Last: its threads call back.
  std::unique_ptr<protocol::RouterControlClient> client_;
};

}  // namespace graniteseam::testbed
