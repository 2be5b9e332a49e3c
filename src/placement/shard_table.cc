#include "src/placement/shard_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace graniteseam::placement {

ShardTable::ShardTable() { Clear(); }

void ShardTable::Clear() {
  services_.clear();
  shards_.clear();
  servers_.assign(1, Server{});
  server_numbers_ = {{ServerId{}, kNoServer}};
  moving_.clear();
  newest_ = kNoShard;
  version_ = 0;
  moves_ = 0;
}

Result<void> ShardTable::AddService(const ServiceName& service, std::uint32_t shard_count,
                                    std::uint64_t version) {
  if (const auto found = services_.find(service); found != services_.end()) {
    if (found->second.count == shard_count) return {};
    return Fail(ErrorKind::kFailedPrecondition,
                "Service " + service.value + " has " + std::to_string(found->second.count) +
                    " shards; the count can't be changed to " + std::to_string(shard_count) + ".",
                "Keep the shard count, or give the service another name.");
  }
  const ServiceRange range{static_cast<ShardNumber>(shards_.size()), shard_count};
  const auto entry = services_.emplace(service, range).first;
  shards_.reserve(shards_.size() + shard_count);
  for (std::uint32_t index = 0; index < shard_count; ++index) {
    AppendShard(&entry->first, index);
    MarkChanged(range.first + index, version);
  }
  return {};
}

void ShardTable::AppendShard(const ServiceName* service, std::uint32_t index) {
  const auto number = static_cast<ShardNumber>(shards_.size());
  Shard shard;
  shard.service = service;
  shard.index = index;
  auto& unassigned = servers_[kNoServer].owned;
  shard.position = static_cast<std::uint32_t>(unassigned.size());
  unassigned.push_back(number);
  shards_.push_back(shard);
  LinkNewest(number);
}

bool ShardTable::Assign(const Assignment& assignment, std::uint64_t version) {
  const ShardNumber number = NumberOf(assignment.shard);
  if (number == kNoShard || assignment.server.Empty()) return false;
  if (shards_[number].epoch != assignment.from_epoch) return false;
  const ServerNumber server = Intern(assignment.server);
  StopMoving(number);
  SetOwner(number, server);
  auto& shard = shards_[number];
  shard.epoch = shard.epoch.Next();
  shard.state = OwnershipState::kAssigned;
  if (shard.last_owner != kNoServer && shard.last_owner != server) ++moves_;
  shard.last_owner = server;
  MarkChanged(number, version);
  return true;
}

bool ShardTable::BeginMove(const PlannedMove& move, std::uint64_t version) {
  const ShardNumber number = NumberOf(move.shard);
  if (number == kNoShard || move.target.Empty()) return false;
  const auto& shard = shards_[number];
  if (shard.epoch != move.epoch || shard.state == OwnershipState::kUnassigned) return false;
  const ServerNumber target = Intern(move.target);
  if (target == shards_[number].owner) return false;
  StopMoving(number);
  StartMoving(number, target);
  MarkChanged(number, version);
  return true;
}

bool ShardTable::Unassign(const ShardId& shard, Epoch epoch, std::uint64_t version) {
  const ShardNumber number = NumberOf(shard);
  if (number == kNoShard || shards_[number].epoch != epoch) return false;
  if (shards_[number].owner == kNoServer) return false;
  StopMoving(number);
  SetOwner(number, kNoServer);
  shards_[number].state = OwnershipState::kUnassigned;
  MarkChanged(number, version);
  return true;
}

void ShardTable::UnassignAll(const ServerId& server, std::uint64_t version) {
  const Server* found = FindServer(server);
  if (found == nullptr || server.Empty()) return;
  const std::vector<ShardNumber> owned = found->owned;
  for (const ShardNumber number : owned) {
    StopMoving(number);
    SetOwner(number, kNoServer);
    shards_[number].state = OwnershipState::kUnassigned;
    MarkChanged(number, version);
  }
}

std::optional<ShardOwnership> ShardTable::Find(const ShardId& shard) const {
  const ShardNumber number = NumberOf(shard);
  if (number == kNoShard) return std::nullopt;
  return View(number);
}

std::uint32_t ShardTable::ShardCount(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.count;
}

std::vector<ShardOwnership> ShardTable::OwnedBy(const ServerId& server) const {
  const Server* found = FindServer(server);
  if (found == nullptr) return {};
  return Views(found->owned);
}

std::vector<ShardOwnership> ShardTable::Moving() const {
  return Views({moving_.begin(), moving_.end()});
}

std::vector<ShardOwnership> ShardTable::All() const {
  std::vector<ShardNumber> numbers(shards_.size());
  std::iota(numbers.begin(), numbers.end(), ShardNumber{0});
  return Views(numbers);
}

std::vector<ShardOwnership> ShardTable::OfService(const ServiceName& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return {};
  std::vector<ShardNumber> numbers(found->second.count);
  std::iota(numbers.begin(), numbers.end(), found->second.first);
  return Views(numbers);
}

std::size_t ShardTable::OwnedCount(const ServerId& server) const {
  const Server* found = FindServer(server);
  return found == nullptr ? 0 : found->owned.size();
}

std::size_t ShardTable::PlannedCount(const ServerId& server) const {
  const Server* found = FindServer(server);
  if (found == nullptr) return 0;
  return found->owned.size() - found->outgoing + found->incoming;
}

std::vector<ShardOwnership> ShardTable::ChangesSince(std::uint64_t version) const {
  std::vector<ShardOwnership> changes;
  for (ShardNumber number = newest_; number != kNoShard; number = shards_[number].older) {
    if (shards_[number].changed_at <= version) break;
    changes.push_back(View(number));
  }
  return changes;
}

ShardTableState ShardTable::State() const {
  ShardTableState state;
  state.version = version_;
  state.moves = moves_;
  for (const auto& server : servers_) state.servers.push_back(server.id);
  for (const auto& [service, range] : services_) {
    ServiceShards& entry = state.services.emplace_back();
    entry.service = service;
    entry.shards.reserve(range.count);
    for (ShardNumber number = range.first; number < range.first + range.count; ++number) {
      const auto& shard = shards_[number];
      entry.shards.push_back({shard.state, shard.owner, shard.target, shard.last_owner, shard.epoch,
                              shard.changed_at});
    }
  }
  return state;
}

Result<void> ShardTable::Restore(const ShardTableState& state) {
  Clear();
  for (const auto& server : state.servers) Intern(server);
  if (servers_.size() != std::max<std::size_t>(state.servers.size(), 1)) {
    return Fail(ErrorKind::kMalformedMessage, "The shard table snapshot lists a server twice.",
                "Restore the control process from another member.");
  }
  std::vector<std::pair<std::uint64_t, ShardNumber>> by_change;
  for (const auto& entry : state.services) {
    const auto first = static_cast<ShardNumber>(shards_.size());
    const auto count = static_cast<std::uint32_t>(entry.shards.size());
    const auto service = services_.emplace(entry.service, ServiceRange{first, count}).first;
    for (const auto& record : entry.shards) {
      if (std::max({record.owner, record.target, record.last_owner}) >= servers_.size()) {
        return Fail(ErrorKind::kMalformedMessage,
                    "The shard table snapshot has a shard whose server is not listed.",
                    "Restore the control process from another member.");
      }
      const auto number = static_cast<ShardNumber>(shards_.size());
      AppendShard(&service->first, number - first);
      SetOwner(number, record.owner);
      auto& shard = shards_[number];
      shard.state = record.state;
      shard.epoch = record.epoch;
      shard.last_owner = record.last_owner;
      if (record.state == OwnershipState::kMoving) StartMoving(number, record.target);
      by_change.emplace_back(record.changed_at, number);
    }
  }
  std::sort(by_change.begin(), by_change.end());
  for (const auto& [changed_at, number] : by_change) MarkChanged(number, changed_at);
  version_ = state.version;
  moves_ = state.moves;
  return {};
}

ShardTable::ServerNumber ShardTable::Intern(const ServerId& server) {
  const auto next = static_cast<ServerNumber>(servers_.size());
  const auto [entry, inserted] = server_numbers_.emplace(server, next);
  if (inserted) {
    servers_.emplace_back();
    servers_.back().id = server;
  }
  return entry->second;
}

const ShardTable::Server* ShardTable::FindServer(const ServerId& server) const {
  const auto found = server_numbers_.find(server);
  return found == server_numbers_.end() ? nullptr : &servers_[found->second];
}

ShardTable::ShardNumber ShardTable::NumberOf(const ShardId& shard) const {
  const auto found = services_.find(shard.service);
  if (found == services_.end() || shard.index >= found->second.count) return kNoShard;
  return found->second.first + shard.index;
}

ShardOwnership ShardTable::View(ShardNumber number) const {
  const auto& shard = shards_[number];
  return {{*shard.service, shard.index},
          shard.state,
          servers_[shard.owner].id,
          servers_[shard.target].id,
          shard.epoch};
}

std::vector<ShardOwnership> ShardTable::Views(const std::vector<ShardNumber>& numbers) const {
  std::vector<ShardOwnership> views;
  views.reserve(numbers.size());
  for (const ShardNumber number : numbers) views.push_back(View(number));
  return views;
}

void ShardTable::SetOwner(ShardNumber number, ServerNumber owner) {
  auto& shard = shards_[number];
  auto& from = servers_[shard.owner].owned;
  from[shard.position] = from.back();
  shards_[from.back()].position = shard.position;
  from.pop_back();
  auto& to = servers_[owner].owned;
  shard.owner = owner;
  shard.position = static_cast<std::uint32_t>(to.size());
  to.push_back(number);
}

void ShardTable::StartMoving(ShardNumber number, ServerNumber target) {
  auto& shard = shards_[number];
  shard.state = OwnershipState::kMoving;
  shard.target = target;
  ++servers_[shard.owner].outgoing;
  ++servers_[target].incoming;
  moving_.insert(number);
}

void ShardTable::StopMoving(ShardNumber number) {
  auto& shard = shards_[number];
  if (shard.state != OwnershipState::kMoving) return;
  --servers_[shard.owner].outgoing;
  --servers_[shard.target].incoming;
  shard.target = kNoServer;
  shard.state = OwnershipState::kAssigned;
  moving_.erase(number);
}

void ShardTable::MarkChanged(ShardNumber number, std::uint64_t version) {
  Unlink(number);
  LinkNewest(number);
  shards_[number].changed_at = version;
  version_ = std::max(version_, version);
}

void ShardTable::LinkNewest(ShardNumber number) {
  shards_[number].older = newest_;
  shards_[number].newer = kNoShard;
  if (newest_ != kNoShard) shards_[newest_].newer = number;
  newest_ = number;
}

void ShardTable::Unlink(ShardNumber number) {
  const auto& shard = shards_[number];
  if (shard.newer != kNoShard) shards_[shard.newer].older = shard.older;
  if (shard.older != kNoShard) shards_[shard.older].newer = shard.newer;
  if (newest_ == number) newest_ = shard.older;
}

}  // namespace graniteseam::placement
