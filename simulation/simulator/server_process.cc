#include "simulation/simulator/server_process.h"

#include <utility>
#include <vector>

namespace graniteseam::simulation {

namespace {

constexpr Duration kRunMinimum{500};
constexpr Duration kRunUsual{6'000};
constexpr Duration kRunLongest{900'000};
constexpr double kLongRuns = 0.01;
constexpr double kSheds = 0.01;

}  // namespace

ServerProcess::ServerProcess(World& world, std::uint32_t number, std::uint32_t zone,
                             std::string service)
    : Process(world, {NodeKind::kServer, number}, zone),
      service_(std::move(service)),
      id_("server-" + std::to_string(number)),
      address_("10.0.2." + std::to_string(number) + ":80") {}

void ServerProcess::OnStart() {
  owner_ = std::make_unique<lease::FencedOwner>(ServerId{id_},
                                                Incarnation{(world_.random.Next() >> 1U) + 1});
  TellOwnership();
}

void ServerProcess::OnKill() {
  owner_.reset();
  world_.oracle.OnOwnership(id_, {}, 0, world_.now());
}

void ServerProcess::TellOwnership() {
  std::vector<HeldShard> held;
  for (const auto& grant : owner_->Held()) {
    held.push_back({grant.shard.service.value, grant.shard.index, grant.epoch.value});
  }
  world_.oracle.OnOwnership(id_, held, clock().When(owner_->lease_end()), world_.now());
}

void ServerProcess::Take(const lease::LeaseRequest& request,
                         const std::function<void(const lease::LeaseAnswer&)>& reply) {
  const lease::LeaseAnswer answer = owner_->Take(request, Now());
  TellOwnership();
  reply(answer);
}

bool ServerProcess::Refuses(const ServerRequest& request,
                            const std::optional<lease::ShardGrant>& grant,
                            const std::function<void(const ServerAnswer&)>& reply) {
  using routing::AttemptEnd;
  if (request.time_left <= Duration::zero()) {
    reply({AttemptEnd::kDeadlinePassed, {}});
    return true;
  }
  if (world_.random.Chance(kSheds)) {
    reply({AttemptEnd::kShed, {}});
    return true;
  }
  const auto begun = Attempt([&]() -> Result<void> {
    return grant ? owner_->Begin(*grant, Now()) : owner_->BeginPooled(Now());
  });
  if (ErrorOf(begun) == nullptr) return false;
  reply({grant ? AttemptEnd::kNotOwner : AttemptEnd::kNotReady, {}});
  return true;
}

void ServerProcess::Run(const ServerRequest& request,
                        const std::function<void(const ServerAnswer&)>& reply) {
  std::optional<lease::ShardGrant> grant;
  if (request.shard) {
    grant = lease::ShardGrant{{ServiceName{request.service}, *request.shard}, Epoch{request.epoch}};
  }
  if (Refuses(request, grant, reply)) return;
  const bool is_long = world_.random.Chance(kLongRuns);
  const Duration length = world_.random.Between(kRunMinimum, is_long ? kRunLongest : kRunUsual);
  world_.queue.After(length, [this, request, grant, reply, start = starts()] {
    if (starts() != start) return;
    Deliver([this, request, grant, reply] { Finish(request, grant, reply); });
  });
}

void ServerProcess::Finish(const ServerRequest& request,
                           const std::optional<lease::ShardGrant>& grant,
                           const std::function<void(const ServerAnswer&)>& reply) {
  if (grant) {
    const auto committed = Attempt([&] { return owner_->Commit(*grant, Now()); });
    if (ErrorOf(committed) != nullptr) {
      owner_->End(*grant);
      TellOwnership();
      world_.Count("effect refused by fence");
      reply({routing::AttemptEnd::kServerUnknown, {}});
      return;
    }
    world_.oracle.OnEffect(id_, {request.service, *request.shard, request.epoch}, world_.now());
    owner_->End(*grant);
    TellOwnership();
  }
  ++effects_;
  if (!request.operation.empty()) {
    world_.oracle.OnOperationRun(request.operation, request.submission, world_.now());
  }
  reply({routing::AttemptEnd::kAnswered,
         request.operation.empty() ? std::to_string(request.submission) : request.operation});
}

}  // namespace graniteseam::simulation
