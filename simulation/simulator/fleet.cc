#include "simulation/simulator/fleet.h"

#include <algorithm>
#include <utility>

namespace graniteseam::simulation {

namespace {

constexpr Duration kMaintenanceInterval{50'000};
constexpr Duration kPlatformInterval{400'000};
constexpr Duration kPlatformLag{2'000'000};
constexpr double kBreaksWhileCut = 0.05;
constexpr double kFreshConnection = 0.3;
constexpr double kResets = 0.5;
constexpr std::uint32_t kServersOfService = 3;
constexpr std::size_t kLeaseHistory = 400;
constexpr NodeName kOperator{NodeKind::kOperator, 1};
constexpr NodeName kPlatform{NodeKind::kPlatform, 1};

}  // namespace

bundle::Bundle MakeBundle(std::uint64_t version, std::uint32_t variant) {
  bundle::Bundle bundle;
  bundle.version = BundleVersion{version};
  bundle.author = "author";
  for (const char* name : {kTranscripts, kShutOffs, kBilling}) {
    bundle::Service& service = bundle.services.emplace_back();
    service.name = ServiceName{name};
    const bool keyed = name != kBilling;
    service.kind = keyed ? bundle::ServiceKind::kKeyed : bundle::ServiceKind::kPooled;
    service.repeatable = name == kTranscripts;
    if (keyed) service.shard_count = kShards;
    service.deadline_ms = 1'000 + static_cast<std::int64_t>(variant);
  }
  bundle::Group group;
  group.name = GroupName{"group-a"};
  for (const auto& service : bundle.services) group.services.push_back(service.name);
  bundle.groups.push_back(group);
  return bundle;
}

Fleet::Fleet(World& world, CoreOptions const& core) : world_(world) {
  std::vector<std::string> addresses;
  std::vector<consensus::Member> voters;
  for (std::uint32_t number = 1; number <= core.controls + core.spares; ++number) {
    const std::uint32_t zone = (number - 1) % kZones;
    controls.push_back(std::make_unique<ControlProcess>(world, *this, number, zone));
    addresses.push_back(controls.back()->address());
    control_of_address_[addresses.back()] = number;
    if (number <= core.controls) standing.push_back(number);
    if (number <= core.first_voters) {
      voters.push_back(controls.back()->FirstSelf());
    } else {
      controls.back()->JoinOnly();
    }
  }
  for (auto& control : controls) {
    control->SetFirstVoters(voters);
    control->SetRepairOptions(core.repair);
  }
  for (std::uint32_t number = 1; number <= kRouters; ++number) {
    routers.push_back(std::make_unique<RouterProcess>(world, *this, number, number - 1, addresses));
  }
  std::uint32_t number = 0;
  for (const char* service : {kTranscripts, kShutOffs, kBilling}) {
    for (std::uint32_t zone = 0; zone < kServersOfService; ++zone) {
      servers.push_back(std::make_unique<ServerProcess>(world, ++number, zone, service));
      server_of_address_[servers.back()->address()] = servers.back().get();
    }
  }
  for (auto& router : routers) {
    for (auto& control : controls) {
      lines_.push_back(std::make_unique<RouterLine>(world, *router, *control));
    }
  }
}

void Fleet::Start() {
  for (auto const number : standing) Control(number).Start();
  for (auto& server : servers) server->Start();
  for (auto& router : routers) router->Start();
  MaintainLines();
  TellPlatformList();
}

ControlProcess* Fleet::Leader() {
  const auto leader = std::find_if(controls.begin(), controls.end(),
                                   [](const auto& control) { return control->Leads(); });
  return leader == controls.end() ? nullptr : leader->get();
}

ServerProcess* Fleet::ServerById(const std::string& id) {
  const auto found = std::find_if(servers.begin(), servers.end(),
                                  [&](const auto& server) { return server->id() == id; });
  return found == servers.end() ? nullptr : found->get();
}

void Fleet::MaintainLines() {
  for (std::uint32_t router = 1; router <= kRouters; ++router) {
    for (std::uint32_t control = 1; control <= controls.size(); ++control) {
      MaintainLine(LineBetween(router, control), *routers[router - 1], *controls[control - 1]);
    }
  }
  CheckLeaders();
  world_.queue.After(kMaintenanceInterval, [this] { MaintainLines(); });
}

void Fleet::MaintainLine(RouterLine& line, RouterProcess& router, ControlProcess& control) {
  const std::string address = control.address();
  if (line.up()) {
    const bool breaks =
        !line.EndsAlive() || (!line.NetworkWhole() && world_.random.Chance(kBreaksWhileCut));
    if (!breaks) return;
    const std::uint64_t connection = line.connection();
    line.Close();
    world_.Count("router connection broken");
    router.Deliver([&router, address] { router.OnControlDisconnected(address); });
    control.Deliver([&control, connection] {
      control.Run([connection](control::ControlNode& node, Instant now) {
        return node.OnRouterDisconnected(connection, now);
      });
    });
    return;
  }
  if (!router.alive() || !control.alive() || !line.NetworkWhole()) return;
  line.Open(++last_connection_);
  router.Deliver([&router, address] { router.OnControlConnected(address); });
}

void Fleet::CheckLeaders() {
  std::size_t leaders = 0;
  for (auto& control : controls) {
    if (!control->works()) continue;
    // One that is paused counts too: nothing but its lease keeps it from acting as it wakes.
    if (control->node().Leading(control->Now())) ++leaders;
    if (!control->Leads()) continue;
    world_.oracle.OnLeaderView(control->node().Fleet(control->Now()).bundle_version.value,
                               world_.now());
  }
  if (leaders > 1) world_.oracle.Violate(world_.now(), "two leaders with a valid leader lease");
}

void Fleet::TellPlatformList() {
  control::PlatformList list;
  for (const auto& server : servers) {
    if (unlisted.contains(server->id())) continue;
    control::PlatformMachine& machine = list.machines.emplace_back();
    machine.server = ServerId{server->id()};
    machine.service = ServiceName{server->service()};
    machine.address = server->address();
    machine.zone = ZoneName{"zone-" + std::to_string(world_.ZoneOf(server->name()))};
    machine.leaving = listed_as_leaving.contains(server->id());
  }
  for (auto& control : controls) {
    const Duration lag = world_.random.Between(Duration(1'000), kPlatformLag);
    world_.queue.After(lag, [this, &control, list] {
      if (!world_.Connected(kPlatform, control->name())) return;
      control->Deliver([&control, list] {
        control->Run([list](control::ControlNode& node, Instant now) {
          return node.OnPlatformList(list, now);
        });
      });
    });
  }
  world_.queue.After(kPlatformInterval, [this] { TellPlatformList(); });
}

void Fleet::Ask(std::uint32_t control, const control::OperatorRequest& request,
                const std::function<void(const control::OperatorAnswer&)>& reply) {
  const std::uint64_t id = ++last_request_;
  asked_[id] = reply;
  ControlProcess& to = *controls[control - 1];
  world_.Send(kOperator, to.name(), [&to, id, request] {
    to.Deliver([&to, id, request] {
      to.Run([&](control::ControlNode& node, Instant now) {
        return node.OnOperatorRequest(id, request, now, to.WallMs());
      });
    });
  });
}

void Fleet::SendToOperator(const NodeName& from, const control::OperatorReply& reply) {
  const auto asked = asked_.find(reply.request);
  if (asked == asked_.end()) return;
  world_.Send(from, kOperator, [this, reply] {
    const auto found = asked_.find(reply.request);
    if (found == asked_.end()) return;
    const auto handler = std::move(found->second);
    asked_.erase(found);
    handler(reply.answer);
  });
}

void Fleet::SendToPeer(const NodeName& from, const consensus::PeerMessage& message) {
  const auto to = static_cast<std::uint32_t>(message.to.id.value);
  if (to == 0 || to > controls.size()) return;
  ControlProcess& peer = *controls[to - 1];
  world_.Send(from, peer.name(), [&peer, message] {
    peer.Deliver([&peer, message] {
      peer.Run([&message](control::ControlNode& node, Instant now) {
        return node.OnPeerMessage(message, now);
      });
    });
  });
}

void Fleet::SendToServer(ControlProcess& from, const control::LeaseSend& send) {
  lease_history_.emplace_back(from.name().number, send);
  if (lease_history_.size() > kLeaseHistory) lease_history_.pop_front();
  const auto found = server_of_address_.find(send.address);
  if (found == server_of_address_.end()) return;
  ServerProcess& server = *found->second;
  world_.Trace(ToString(from.name()) + " lease " + server.id() + " " +
               std::to_string(send.request.order.term.value) + "." +
               std::to_string(send.request.order.sequence));
  world_.Send(from.name(), server.name(),
              [this, &from, &server, request = send.request, start = from.starts()] {
                server.Deliver([this, &from, &server, request, start] {
                  server.Take(request,
                              [this, &from, &server, start](const lease::LeaseAnswer& answer) {
                                world_.Send(server.name(), from.name(), [&from, answer, start] {
                                  if (from.starts() != start) return;
                                  from.Deliver([&from, answer] {
                                    from.Run([&answer](control::ControlNode& node, Instant now) {
                                      return node.OnServerAnswer(answer, now);
                                    });
                                  });
                                });
                              });
                });
              });
}

void Fleet::ReplayLeaseMessages(std::size_t count) {
  for (std::size_t replayed = 0; replayed < count && !lease_history_.empty(); ++replayed) {
    const auto& [control, send] = lease_history_[world_.random.Below(lease_history_.size())];
    const auto found = server_of_address_.find(send.address);
    if (found == server_of_address_.end()) continue;
    ServerProcess& server = *found->second;
    world_.Count("lease message replayed");
    server.Deliver([&server, request = send.request] {
      server.Take(request, [](const lease::LeaseAnswer&) {});
    });
  }
}

void Fleet::SendToRouter(ControlProcess& from, const control::RouterSend& send) {
  for (std::uint32_t number = 1; number <= kRouters; ++number) {
    RouterLine& line = LineBetween(number, from.name().number);
    if (!line.up() || line.connection() != send.connection) continue;
    RouterProcess& router = *routers[number - 1];
    line.ToRouter([&router, address = from.address(), message = send.message] {
      router.OnControlMessage(address, *message);
    });
  }
}

void Fleet::SendToControl(RouterProcess& from, const std::string& address,
                          const control::RouterToControl& message) {
  const std::uint32_t number = control_of_address_.at(address);
  RouterLine& line = LineBetween(from.name().number, number);
  ControlProcess& control = *controls[number - 1];
  line.ToControl([&control, connection = line.connection(), message] {
    control.Run([&](control::ControlNode& node, Instant now) {
      return node.OnRouterMessage(connection, message, now, control.WallMs());
    });
  });
}

void Fleet::SendToServer(RouterProcess& from, const std::string& address,
                         const ServerRequest& request,
                         const std::function<void(const ServerAnswer&)>& reply) {
  ServerProcess& server = *server_of_address_.at(address);
  const auto back = [this, &from, &server, reply,
                     start = from.starts()](const ServerAnswer& given) {
    world_.SendOnce(server.name(), from.name(), [&from, reply, given, start] {
      if (from.starts() != start) return;
      from.Deliver([reply, given] { reply(given); });
    });
  };
  const bool fresh = world_.random.Chance(kFreshConnection);
  const bool refused = !server.alive() || !world_.Connected(from.name(), server.name());
  if (refused) {
    // On a new connection nothing was sent; on a pooled one the bytes are gone with the kernel.
    if (!fresh && !world_.random.Chance(kResets)) return;
    const auto end = fresh ? routing::AttemptEnd::kNotSent : routing::AttemptEnd::kBroken;
    world_.queue.After(world_.Delay(), [&from, reply, end, start = from.starts()] {
      if (from.starts() != start) return;
      from.Deliver([reply, end] { reply({end, {}}); });
    });
    return;
  }
  world_.SendOnce(from.name(), server.name(), [&server, request, back] {
    server.Deliver([&server, request, back] { server.Run(request, back); });
  });
}

}  // namespace graniteseam::simulation
