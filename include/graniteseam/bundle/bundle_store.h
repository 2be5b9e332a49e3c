/// @file
/// The replicated store of bundles: submitted, signed and rolled bundles, and the one in force.
/// See docs/design/bundles.md.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "graniteseam/bundle/bundle.h"
#include "graniteseam/common/error.h"
#include "graniteseam/common/ids.h"

namespace graniteseam::bundle {

/// State of a bundle between submission and rollout.
enum class BundleState {
  kSubmitted,
  kSigned,
  kRolled,      ///< In force, or was in force until a higher version was rolled.
  kSuperseded,  ///< Never rolled and no longer rollable, because a higher version was.
};
BOOST_DESCRIBE_ENUM(BundleState, kSubmitted, kSigned, kRolled, kSuperseded)

/// Metadata of one submitted bundle, as shown to operators.
struct BundleRecord {
  BundleVersion version;
  std::string digest;
  std::string author;
  std::string reviewer;  ///< Empty until signed.
  BundleState state = BundleState::kSubmitted;
  std::string source_text;  ///< The TOML as submitted.

  bool operator==(const BundleRecord&) const = default;
};
BOOST_DESCRIBE_STRUCT(BundleRecord, (), (version, digest, author, reviewer, state, source_text))

/// A bundle with its record.
struct StoredBundle {
  Bundle bundle;
  BundleRecord record;

  bool operator==(const StoredBundle&) const = default;
};
BOOST_DESCRIBE_STRUCT(StoredBundle, (), (bundle, record))

/// The fields of a service that are immutable from its first roll on, also while no bundle contains
/// the service: its shards keep their epochs permanently.
struct FixedService {
  ServiceName name;
  ServiceKind kind = ServiceKind::kPooled;
  std::uint32_t shard_count = 0;

  bool operator==(const FixedService&) const = default;
};
BOOST_DESCRIBE_STRUCT(FixedService, (), (name, kind, shard_count))

/// The whole store as a value, for snapshots.
struct BundleStoreState {
  BundleVersion in_force;                          ///< 0 when no bundle was ever rolled.
  std::vector<StoredBundle> bundles;               ///< In ascending order of version.
  std::vector<FixedService> services_ever_rolled;  ///< In ascending order of name.

  bool operator==(const BundleStoreState&) const = default;
};
BOOST_DESCRIBE_STRUCT(BundleStoreState, (), (in_force, bundles, services_ever_rolled))

/// A reviewer's signature, with the public key that the proposing leader trusts for that reviewer.
/// The key is part of the log command, so that replicas with different settings decide equally.
struct SignatureCommand {
  BundleVersion version;
  std::string digest;
  std::string reviewer;
  std::string reviewer_key_base64;
  std::string signature_base64;

  bool operator==(const SignatureCommand&) const = default;
};
BOOST_DESCRIBE_STRUCT(SignatureCommand, (),
                      (version, digest, reviewer, reviewer_key_base64, signature_base64))

/// Limits of the store. Part of the replicated behaviour, so they are not configurable.
struct BundleStoreLimits {
  std::size_t source_bytes_maximum = std::size_t{1} << 20;   ///< Source text of one bundle.
  std::size_t bundles_maximum = 128;                         ///< Bundles retained.
  std::size_t history_bytes_maximum = std::size_t{8} << 20;  ///< Source text of all retained.
};

/// Returns a reviewer's public key from a control process's settings (reviewer -> public key).
/// @return kPermissionDenied when the reviewer is not trusted.
Result<std::string> TrustedKey(const std::map<std::string, std::string>& reviewer_keys,
                               const std::string& reviewer);

/// Store of submitted bundles and their rollout state.
///
/// Invariants: the version in force never decreases; a version has one digest for as long as the
/// store retains it or the version in force is not below it; only a bundle signed by someone other
/// than its author is rolled.
///
/// A deterministic state machine, applied from the log. Each command is idempotent: repeated with
/// the same arguments it returns the same result and has no effect. Not thread safe.
class BundleStore {
 public:
  explicit BundleStore(BundleStoreLimits limits = {});

  /// Stores a validated bundle.
  /// @param digest Digest(bundle), computed by the proposer.
  /// @return kVersionConflict when the version exists with another digest or is not above the
  ///     one in force; kFailedPrecondition when it changes an immutable field of a service;
  ///     kTooLarge; kOverloaded when too many bundles wait to be rolled.
  Result<void> Submit(const Bundle& bundle, const std::string& digest,
                      const std::string& source_text);

  /// Records a review. The first valid signature is stored; later ones are accepted and ignored.
  /// @return kNotFound, kVersionConflict, kPermissionDenied (own bundle, or wrong signature),
  ///     kInvalidArgument (malformed signature).
  Result<void> Sign(const SignatureCommand& command);

  /// Puts a signed bundle in force. Rolling a bundle that was rolled before is accepted and has no
  /// effect: an older bundle does not come into force again.
  /// @return kNotFound, kVersionConflict (other digest, or a higher version is in force),
  ///     kFailedPrecondition (unsigned, or it changes an immutable field of a service).
  Result<void> Roll(BundleVersion version, const std::string& digest);

  /// The bundle in force, or nullptr. Valid until the next change of the store.
  const Bundle* InForce() const;
  /// 0 when no bundle was ever rolled.
  BundleVersion in_force_version() const { return in_force_; }
  /// The digest of the bundle in force; empty when there is none.
  std::string InForceDigest() const;

  /// Records of all retained bundles in ascending order of version.
  std::vector<BundleRecord> Records() const;

  BundleStoreState Snapshot() const;
  void Restore(const BundleStoreState& state);

 private:
  Result<StoredBundle*> Find(BundleVersion version, const std::string& digest);
  Result<void> CheckNotBelowInForce(BundleVersion version) const;
  Result<void> CheckImmutableFields(const Bundle& bundle) const;
  Result<void> EvictOldBundles(std::size_t source_bytes);
  std::size_t SourceBytes() const;

  BundleStoreLimits limits_;
  std::map<BundleVersion, StoredBundle> bundles_;
  std::map<ServiceName, FixedService> services_ever_rolled_;
  BundleVersion in_force_;
};

}  // namespace graniteseam::bundle
