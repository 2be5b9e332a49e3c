#include "graniteseam/bundle/bundle_store.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "graniteseam/bundle/signature.h"

namespace graniteseam::bundle {
namespace {

std::string Name(BundleVersion version) { return "Version " + std::to_string(version.value); }

/// Compares names without regard to case, so that an author cannot review under another spelling.
bool SamePerson(const std::string& left, const std::string& right) {
  const auto lower = [](char c) { return std::tolower(static_cast<unsigned char>(c)); };
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [&](char a, char b) { return lower(a) == lower(b); });
}

std::string KindName(ServiceKind kind) { return kind == ServiceKind::kKeyed ? "keyed" : "pooled"; }

}  // namespace

Result<std::string> TrustedKey(const std::map<std::string, std::string>& reviewer_keys,
                               const std::string& reviewer) {
  const auto found = reviewer_keys.find(reviewer);
  if (found != reviewer_keys.end()) return found->second;
  return Fail(ErrorKind::kPermissionDenied, "Reviewer \"" + reviewer + "\" is not trusted here.",
              "Add the reviewer's public key to `reviewers` in the control settings, or let a "
              "trusted reviewer sign.");
}

BundleStore::BundleStore(BundleStoreLimits limits) : limits_(limits) {}

Result<void> BundleStore::Submit(const Bundle& bundle, const std::string& digest,
                                 const std::string& source_text) {
  if (const auto known = bundles_.find(bundle.version); known != bundles_.end()) {
    // A resend succeeds as the first submission did, whatever the bundle's state is now.
    if (known->second.record.digest == digest) return {};
    return Fail(ErrorKind::kVersionConflict,
                Name(bundle.version) + " was submitted before with digest " +
                    known->second.record.digest + ", not " + digest + ".",
                "Give your bundle the next free version; see `graniteseamctl bundle status`.");
  }
  BOOST_LEAF_CHECK(CheckNotBelowInForce(bundle.version));
  if (source_text.size() > limits_.source_bytes_maximum) {
    return Fail(ErrorKind::kTooLarge, "The bundle's text is too large.",
                "Shorten it to " + std::to_string(limits_.source_bytes_maximum) + " bytes.");
  }
  BOOST_LEAF_CHECK(CheckImmutableFields(bundle));
  BOOST_LEAF_CHECK(EvictOldBundles(source_text.size()));
  BundleRecord record{bundle.version,          digest,     bundle.author, "",
                      BundleState::kSubmitted, source_text};
  bundles_.emplace(bundle.version, StoredBundle{bundle, std::move(record)});
  return {};
}

Result<void> BundleStore::Sign(const SignatureCommand& command) {
  BOOST_LEAF_AUTO(stored, Find(command.version, command.digest));
  BundleRecord& record = stored->record;
  if (SamePerson(record.author, command.reviewer)) {
    return Fail(ErrorKind::kPermissionDenied,
                "\"" + command.reviewer + "\" is the bundle's author and may not review it.",
                "Let another trusted reviewer sign.");
  }
  BOOST_LEAF_CHECK(VerifySignature(command.reviewer_key_base64, command.version, command.digest,
                                   command.signature_base64));
  if (!record.reviewer.empty()) return {};
  if (record.state != BundleState::kSubmitted) return CheckNotBelowInForce(command.version);
  record.reviewer = command.reviewer;
  record.state = BundleState::kSigned;
  return {};
}

Result<void> BundleStore::Roll(BundleVersion version, const std::string& digest) {
  BOOST_LEAF_AUTO(stored, Find(version, digest));
  if (stored->record.state == BundleState::kRolled) return {};
  BOOST_LEAF_CHECK(CheckNotBelowInForce(version));
  if (stored->record.state != BundleState::kSigned) {
    return Fail(ErrorKind::kFailedPrecondition, Name(version) + " is not signed.",
                "Let a reviewer run `graniteseamctl bundle sign`, then roll again.");
  }
  BOOST_LEAF_CHECK(CheckImmutableFields(stored->bundle));
  stored->record.state = BundleState::kRolled;
  in_force_ = version;
  for (auto& [lower, other] : bundles_) {
    if (lower < version && other.record.state != BundleState::kRolled) {
      other.record.state = BundleState::kSuperseded;
    }
  }
  for (const Service& service : stored->bundle.services) {
    services_ever_rolled_.insert({service.name, {service.name, service.kind, service.shard_count}});
  }
  return {};
}

const Bundle* BundleStore::InForce() const {
  const auto found = bundles_.find(in_force_);
  return found == bundles_.end() ? nullptr : &found->second.bundle;
}

std::string BundleStore::InForceDigest() const {
  const auto found = bundles_.find(in_force_);
  return found == bundles_.end() ? "" : found->second.record.digest;
}

std::vector<BundleRecord> BundleStore::Records() const {
  std::vector<BundleRecord> records;
  records.reserve(bundles_.size());
  for (const auto& [version, stored] : bundles_) records.push_back(stored.record);
  return records;
}

BundleStoreState BundleStore::Snapshot() const {
  BundleStoreState state;
  state.in_force = in_force_;
  for (const auto& [version, stored] : bundles_) state.bundles.push_back(stored);
  for (const auto& [name, service] : services_ever_rolled_) {
    state.services_ever_rolled.push_back(service);
  }
  return state;
}

void BundleStore::Restore(const BundleStoreState& state) {
  in_force_ = state.in_force;
  bundles_.clear();
  for (const StoredBundle& stored : state.bundles) bundles_.emplace(stored.record.version, stored);
  services_ever_rolled_.clear();
  for (const FixedService& service : state.services_ever_rolled) {
    services_ever_rolled_.emplace(service.name, service);
  }
}

Result<StoredBundle*> BundleStore::Find(BundleVersion version, const std::string& digest) {
  const auto found = bundles_.find(version);
  if (found == bundles_.end()) {
    return Fail(ErrorKind::kNotFound, Name(version) + " is not known.",
                "Submit it first; see `graniteseamctl bundle status` for the known versions.");
  }
  if (found->second.record.digest != digest) {
    return Fail(
        ErrorKind::kVersionConflict,
        Name(version) + " has digest " + found->second.record.digest + ", not " + digest + ".",
        "Someone else's bundle took this version: look at it with `graniteseamctl bundle "
        "history`, and give yours the next free one.");
  }
  return &found->second;
}

Result<void> BundleStore::CheckNotBelowInForce(BundleVersion version) const {
  if (version > in_force_) return {};
  return Fail(
      ErrorKind::kVersionConflict,
      Name(version) + " is not above " + std::to_string(in_force_.value) + ", which is in force.",
      "Give the bundle a version above " + std::to_string(in_force_.value) + ".");
}

Result<void> BundleStore::CheckImmutableFields(const Bundle& bundle) const {
  for (const Service& service : bundle.services) {
    const auto found = services_ever_rolled_.find(service.name);
    if (found == services_ever_rolled_.end()) continue;
    const FixedService& fixed = found->second;
    if (fixed.kind == service.kind && fixed.shard_count == service.shard_count) continue;
    return Fail(ErrorKind::kFailedPrecondition,
                "Service \"" + service.name.value + "\" is " + KindName(fixed.kind) + " with " +
                    std::to_string(fixed.shard_count) + " shards, which cannot change.",
                "Keep its kind and shard_count, or give the service another name.");
  }
  return {};
}

/// Evicts the oldest bundles below the one in force until `source_bytes` more fit. Bundles above it
/// may still be rolled and are retained. This preserves the invariant on digests, since a version
/// below the one in force cannot be submitted again.
Result<void> BundleStore::EvictOldBundles(std::size_t source_bytes) {
  std::size_t bytes = SourceBytes() + source_bytes;
  const auto full = [&] {
    return bundles_.size() + 1 > limits_.bundles_maximum || bytes > limits_.history_bytes_maximum;
  };
  while (full() && !bundles_.empty() && bundles_.begin()->first < in_force_) {
    bytes -= bundles_.begin()->second.record.source_text.size();
    bundles_.erase(bundles_.begin());
  }
  if (!full()) return {};
  return Fail(ErrorKind::kOverloaded, "Too many submitted bundles wait to be rolled.",
              "Roll the newest one; those below it then make room.");
}

std::size_t BundleStore::SourceBytes() const {
  std::size_t bytes = 0;
  for (const auto& [version, stored] : bundles_) bytes += stored.record.source_text.size();
  return bytes;
}

}  // namespace graniteseam::bundle
