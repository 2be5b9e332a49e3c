#include "testbed/fleet/readiness.h"

#include <httplib.h>

#include <algorithm>
#include <set>

#include "src/runtime/clock.h"
#include "testbed/caller/sender.h"
#include "testbed/caller/traffic.h"
#include "testbed/fleet/await.h"

namespace graniteseam::testbed {

namespace {

/// Generous: a machine that is busy with other builds is slow, not broken.
constexpr Duration kLimit{90'000'000};
constexpr int kOk = 200;

Missing RoutersNotReady(Fleet& fleet) {
  for (const auto& name : fleet.Names(Role::kRouter, true)) {
    const auto& address = fleet.member(name).http_address();
    httplib::Client client(address.ip, address.port);
    client.set_connection_timeout(1);
    client.set_read_timeout(1);
    const auto response = client.Get("/readyz");
    if (!response || response->status != kOk) return name + " is not ready";
  }
  return "";
}

Missing ServersNotLeased(Fleet& fleet, const OperatorConsole& console) {
  const auto outcome = Attempt([&] { return console.Fleet(); });
  if (const auto* error = ErrorOf(outcome)) return error->message;
  const auto& view = std::get<control::FleetView>(outcome);
  std::set<std::string> leased;
  for (const auto& server : view.servers) {
    if (server.leased) leased.insert(server.entry.id.value);
  }
  for (const auto& name : fleet.Names(Role::kServer, true)) {
    if (!fleet.member(name).leaving && !leased.contains(name)) return name + " holds no lease";
  }
  return "";
}

Missing ShardsWithoutOwner(const Scenario& scenario, const OperatorConsole& console) {
  const auto outcome = Attempt([&] { return console.Shards(); });
  if (const auto* error = ErrorOf(outcome)) return error->message;
  const auto& view = std::get<control::ShardsView>(outcome);
  std::set<std::string> services;
  for (const auto& entry : view.shards) {
    services.insert(entry.shard.service.value);
    if (entry.state == control::ShardState::kAssigned) continue;
    return "shard " + std::to_string(entry.shard.index) + " of " + entry.shard.service.value +
           " has no owner";
  }
  for (const auto& deployment : scenario.deployments) {
    for (const auto& group : deployment.servers) {
      if (group.keyed && !services.contains(group.service)) {
        return group.service + " has no shards";
      }
    }
  }
  return "";
}

/// Sends one request of a stream through one router until it is answered.
Result<void> AwaitAnswer(const std::string& router, const runtime::SocketAddress& address,
                         const Stream& stream, RecordFile& records) {
  TrafficSource source({stream}, 1.0, runtime::RandomBits(), runtime::BootTimeNow());
  Sender sender({address}, ResendPolicy{.sendings_maximum = 1, .pause = Duration(0)}, records);
  return Await("an answer from " + stream.service, kLimit, [&]() -> Missing {
    auto request = source.Next(runtime::WallMillis());
    request.due = runtime::BootTimeNow();
    const auto answer = sender.Send(request, stream, 0);
    if (answer.outcome == "answered") return "";
    return router + " says " + answer.outcome + " " + answer.kind;
  });
}

}  // namespace

Result<void> AwaitLeader(const OperatorConsole& console) {
  return Await("a control leader", kLimit, [&]() -> Missing {
    const auto view = Attempt([&] { return console.Fleet(); });
    const auto* error = ErrorOf(view);
    return error == nullptr ? "" : error->message;
  });
}

Result<void> AwaitServing(Fleet& fleet, const OperatorConsole& console) {
  BOOST_LEAF_CHECK(Await("leases", kLimit, [&] { return ServersNotLeased(fleet, console); }));
  BOOST_LEAF_CHECK(
      Await("shards", kLimit, [&] { return ShardsWithoutOwner(fleet.scenario(), console); }));
  return Await("routers", kLimit, [&] { return RoutersNotReady(fleet); });
}

Result<void> AwaitRecovery(Fleet& fleet, RecordFile& records) {
  for (const auto& deployment : fleet.scenario().deployments) {
    BOOST_LEAF_AUTO(streams, ReadTraffic(deployment.traffic));
    for (const auto& router : fleet.Names(Role::kRouter, true)) {
      for (const auto& stream : streams) {
        BOOST_LEAF_CHECK(AwaitAnswer(router, fleet.member(router).http_address(), stream, records));
      }
    }
  }
  return {};
}

}  // namespace graniteseam::testbed
