/// @file
/// The stand-in's ownership: FencedOwner behind a lock, and the record of what it held when.
#pragma once

#include <mutex>
#include <optional>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/lease/fenced_owner.h"
#include "testbed/support/record_file.h"

namespace graniteseam::testbed {

/// Thread safe.
class Ownership {
 public:
  Ownership(ServerId server, Incarnation incarnation, RecordFile& records);

  /// Takes a lease message and records what is held from now on.
  lease::LeaseAnswer Take(const lease::LeaseRequest& request);

  /// @param grant the shard and epoch that the router believes; null for a pooled service.
  Result<void> Begin(const lease::ShardGrant* grant, Instant now);
  /// Checks ownership and writes the run down under one lock, so that the record's line is the
  /// effect and no lease message comes between the check and the line.
  Result<void> Commit(const lease::ShardGrant* grant, RunRecord run);
  void End(const lease::ShardGrant* grant);

  void SetLeaving();
  bool HoldsShards() const;
  bool LeaseValid(Instant now) const;
  Incarnation incarnation() const { return owner_.incarnation(); }

 private:
  void RecordLease(Instant now);

  ServerId server_;
  RecordFile& records_;
  mutable std::mutex mutex_;  ///< Guards owner_ and recorded_.
  lease::FencedOwner owner_;
  std::optional<std::vector<lease::ShardGrant>> recorded_;  ///< Held at the last record.
};

}  // namespace graniteseam::testbed
