#include "graniteseam/lease/fenced_owner.h"

#include <algorithm>

#include "graniteseam/common/seeded_defects.h"

namespace graniteseam::lease {

namespace {

boost::leaf::error_id NotOwner(const ShardGrant& grant, const char* why) {
  return Fail(ErrorKind::kNotOwner,
              "Shard " + std::to_string(grant.shard.index) + " of " + grant.shard.service.value +
                  " at epoch " + std::to_string(grant.epoch.value) + " " + why + ".",
              "Send the request to the shard's current owner.");
}

/// Whether the request changes the shard set, rather than only renewing the lease.
bool IsChange(const LeaseRequest& request) {
  return request.base_version == 0 || request.base_version != request.target_version;
}

}  // namespace

FencedOwner::FencedOwner(ServerId server, Incarnation incarnation)
    : server_(std::move(server)), incarnation_(incarnation) {}

LeaseAnswer FencedOwner::Take(const LeaseRequest& request, Instant now) {
  const bool accepted = Accept(request);
  if (DefectOn(Defect::kGrantNotBoundToReading) && accepted && request.valid_until) {
    constexpr Duration kUsualLease{600'000};
    valid_until_ = now + kUsualLease;
  }
  return Describe(request, accepted, now);
}

bool FencedOwner::Accept(const LeaseRequest& request) {
  if (request.server != server_ || request.order <= last_order_) return false;
  if (!request.incarnation) {
    // A hello only requests the incarnation and a clock reading. It cannot grant anything, since a
    // grant is bound to a reading of the incarnation that it is meant for.
    if (request.valid_until || !request.grants.empty()) return false;
    last_order_ = request.order;
    return true;
  }
  if (*request.incarnation != incarnation_) return false;
  last_order_ = request.order;
  // The lease is extended only for the shard set that the leader names: a renewal with another base
  // version would otherwise extend the lease of a shard that the leader has already assigned to
  // another server.
  const bool set_fits = request.base_version == 0 || request.base_version == shard_set_version_;
  if (!set_fits && !DefectOn(Defect::kRenewalOfWrongSet)) return false;
  if (IsChange(request)) ApplyChange(request);
  if (request.valid_until) valid_until_ = *request.valid_until;
  return true;
}

void FencedOwner::ApplyChange(const LeaseRequest& request) {
  std::erase_if(released_, [&](const ShardGrant& grant) {
    return std::find(request.revocations.begin(), request.revocations.end(), grant) ==
           request.revocations.end();
  });
  if (request.base_version == 0) ReplaceSet(request);
  for (const auto& grant : request.grants) Grant(grant);
  for (const auto& grant : request.revocations) Revoke(grant);
  shard_set_version_ = request.target_version;
}

void FencedOwner::ReplaceSet(const LeaseRequest& request) {
  const std::set<ShardGrant> granted(request.grants.begin(), request.grants.end());
  const std::set<ShardGrant> revoked(request.revocations.begin(), request.revocations.end());
  // Shards that the leader does not name may belong to another server by now. They are dropped
  // along with their requests in flight, whose Commit() fails although the lease is valid again.
  std::erase_if(shards_, [&](const auto& entry) {
    const ShardGrant held{entry.first, entry.second.epoch};
    return !granted.contains(held) && !revoked.contains(held);
  });
}

void FencedOwner::Grant(const ShardGrant& grant) {
  if (released_.contains(grant)) return;
  auto& held = shards_[grant.shard];
  if (held.epoch < grant.epoch) {
    held = HeldShard{grant.epoch, false, 0};
  }
}

void FencedOwner::Revoke(const ShardGrant& grant) {
  const auto held = shards_.find(grant.shard);
  if (held == shards_.end() || held->second.epoch != grant.epoch) {
    released_.insert(grant);
    return;
  }
  held->second.revoked = true;
  if (held->second.in_flight > 0) return;
  shards_.erase(held);
  released_.insert(grant);
}

const FencedOwner::HeldShard* FencedOwner::Find(const ShardGrant& grant) const {
  const auto held = shards_.find(grant.shard);
  if (held == shards_.end() || held->second.epoch != grant.epoch) return nullptr;
  return &held->second;
}

LeaseAnswer FencedOwner::Describe(const LeaseRequest& request, bool accepted, Instant now) const {
  LeaseAnswer answer;
  answer.server = server_;
  answer.order = request.order;
  answer.incarnation = incarnation_;
  answer.reading = now;
  answer.accepted = accepted;
  answer.shard_set_version = shard_set_version_;
  answer.released.assign(released_.begin(), released_.end());
  answer.leaving = leaving_;
  return answer;
}

Result<void> FencedOwner::Begin(const ShardGrant& grant, Instant now) {
  if (!LeaseValid(now))
    return NotOwner(grant, "can't start a request, since this server's lease has expired");
  const auto* held = Find(grant);
  if (held == nullptr) return NotOwner(grant, "is not held by this server");
  if (held->revoked) return NotOwner(grant, "is moving to another server");
  ++shards_[grant.shard].in_flight;
  return {};
}

Result<void> FencedOwner::Commit(const ShardGrant& grant, Instant now) const {
  if (DefectOn(Defect::kCommitWithoutCheck)) return {};
  if (!LeaseValid(now))
    return NotOwner(grant, "can't commit, since this server's lease has expired");
  if (Find(grant) == nullptr) return NotOwner(grant, "is no longer held by this server");
  return {};
}

void FencedOwner::End(const ShardGrant& grant) {
  const auto held = shards_.find(grant.shard);
  if (held == shards_.end() || held->second.epoch != grant.epoch) return;
  if (held->second.in_flight > 0) --held->second.in_flight;
  if (!held->second.revoked || held->second.in_flight > 0) return;
  shards_.erase(held);
  released_.insert(grant);
}

Result<void> FencedOwner::BeginPooled(Instant now) const {
  if (LeaseValid(now)) return {};
  return Fail(ErrorKind::kNotOwner, "The lease of server " + server_.value + " has expired.",
              "Send the request to another server of the pool.");
}

bool FencedOwner::LeaseValid(Instant now) const { return now < valid_until_; }

std::vector<ShardGrant> FencedOwner::Held() const {
  std::vector<ShardGrant> grants;
  for (const auto& [shard, held] : shards_) {
    if (!held.revoked) grants.push_back({shard, held.epoch});
  }
  return grants;
}

}  // namespace graniteseam::lease
