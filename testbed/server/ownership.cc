#include "testbed/server/ownership.h"

#include "src/runtime/clock.h"

namespace graniteseam::testbed {

Ownership::Ownership(ServerId server, Incarnation incarnation, RecordFile& records)
    : server_(server), records_(records), owner_(std::move(server), incarnation) {
  RecordLease(runtime::BootTimeNow());
}

lease::LeaseAnswer Ownership::Take(const lease::LeaseRequest& request) {
  const std::lock_guard lock(mutex_);
  const Instant now = runtime::BootTimeNow();
  auto answer = owner_.Take(request, now);
  // A renewal that gives no lease and one that was refused change nothing that could be owned.
  if (answer.accepted && request.valid_until) RecordLease(now);
  return answer;
}

void Ownership::RecordLease(Instant now) {
  LeaseRecord record{.server = server_.value,
                     .incarnation = owner_.incarnation().value,
                     .taken_us = ToMicros(now),
                     .valid_until_us = ToMicros(owner_.lease_end()),
                     .held = std::nullopt};
  auto held = owner_.Held();
  if (held != recorded_) {
    record.held = held;
    recorded_ = std::move(held);
  }
  records_.Append(record);
}

Result<void> Ownership::Begin(const lease::ShardGrant* grant, Instant now) {
  const std::lock_guard lock(mutex_);
  return grant == nullptr ? owner_.BeginPooled(now) : owner_.Begin(*grant, now);
}

Result<void> Ownership::Commit(const lease::ShardGrant* grant, RunRecord run) {
  const std::lock_guard lock(mutex_);
  const Instant now = runtime::BootTimeNow();
  BOOST_LEAF_CHECK(grant == nullptr ? owner_.BeginPooled(now) : owner_.Commit(*grant, now));
  run.incarnation = owner_.incarnation().value;
  run.ended_us = ToMicros(now);
  records_.Append(run);
  return {};
}

void Ownership::End(const lease::ShardGrant* grant) {
  const std::lock_guard lock(mutex_);
  if (grant != nullptr) owner_.End(*grant);
}

void Ownership::SetLeaving() {
  const std::lock_guard lock(mutex_);
  owner_.SetLeaving(true);
}

bool Ownership::HoldsShards() const {
  const std::lock_guard lock(mutex_);
  return !owner_.Held().empty();
}

bool Ownership::LeaseValid(Instant now) const {
  const std::lock_guard lock(mutex_);
  return owner_.LeaseValid(now);
}

}  // namespace graniteseam::testbed
