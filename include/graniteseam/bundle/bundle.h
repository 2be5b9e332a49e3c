/// @file
/// The bundle: the versioned configuration document of services and groups, written by operators.
/// See docs/interface/operators.md for the file format and docs/design/bundles.md for its rules.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"

namespace graniteseam::bundle {

/// How a service's requests are routed: by key to the owning server, or to any server of a pool.
enum class ServiceKind { kKeyed, kPooled };
BOOST_DESCRIBE_ENUM(ServiceKind, kKeyed, kPooled)

/// Relative weights of the costs in shard placement, by their effect on the service's users. Each
/// is at least 0; not all are 0.
struct PlacementWeights {
  double unavailability = 1.0;
  double churn = 1.0;
  double imbalance = 1.0;
  bool operator==(const PlacementWeights&) const = default;
};
BOOST_DESCRIBE_STRUCT(PlacementWeights, (), (unavailability, churn, imbalance))

/// One service of a bundle.
struct Service {
  ServiceName name;
  ServiceKind kind = ServiceKind::kPooled;
  bool repeatable = false;        ///< Whether a request may run more than once.
  std::uint32_t shard_count = 0;  ///< Keyed services only; immutable once the service was rolled.
  std::int64_t deadline_ms = 2'000;           ///< For requests without a deadline header.
  std::int64_t deadline_maximum_ms = 30'000;  ///< Upper limit of a request's deadline.
  std::int64_t lease_ms = 600;                ///< Duration of its servers' leases.
  std::int64_t body_bytes_maximum = 1 << 20;  ///< Largest request body.
  std::uint32_t concurrency_per_server = 64;  ///< Upper limit of the router's concurrency window.
  /// How long the operation journal retains an operation; non-repeatable services only.
  std::int64_t operation_retention_ms = std::int64_t{24} * 3600 * 1000;
  bool hedging = false;  ///< Repeatable services only.
  PlacementWeights weights;
  bool operator==(const Service&) const = default;
};
BOOST_DESCRIBE_STRUCT(Service, (),
                      (name, kind, repeatable, shard_count, deadline_ms, deadline_maximum_ms,
                       lease_ms, body_bytes_maximum, concurrency_per_server, operation_retention_ms,
                       hedging, weights))

/// A group of callers with its permissions and share.
struct Group {
  GroupName name;
  std::vector<ServiceName> services;  ///< Services that the group may call.
  std::string key_prefix;             ///< Keys the group may use; empty means any.
  double share = 1.0;  ///< Weight of its share of each pool's capacity, greater than 0.
  std::uint32_t queue_maximum = 256;  ///< Largest number of its requests queued in one router.
  bool operator==(const Group&) const = default;
};
BOOST_DESCRIBE_STRUCT(Group, (), (name, services, key_prefix, share, queue_maximum))

/// A parsed bundle.
struct Bundle {
  BundleVersion version;
  std::string author;
  std::vector<Service> services;
  std::vector<Group> groups;
  bool operator==(const Bundle&) const = default;

  /// Returns the service or group of this name, or nullptr.
  const Service* FindService(const ServiceName& name) const;
  const Group* FindGroup(const GroupName& name) const;
};
BOOST_DESCRIBE_STRUCT(Bundle, (), (version, author, services, groups))

/// Parses a bundle from TOML text and validates it.
/// @return kInvalidBundle with all faults at once, each with line, key and remedy; kTooLarge.
Result<Bundle> ParseBundle(const std::string& toml_text, const std::string& file_name);

/// Returns the canonical form, which does not depend on the file's order of tables, spacing and
/// comments.
std::string CanonicalText(const Bundle& bundle);

/// Returns the SHA-256 of the canonical form in lower-case hex.
std::string Digest(const Bundle& bundle);

/// A field that differs between two bundles; its value is absent where a bundle lacks the field.
struct FieldChange {
  std::string path;  ///< For example "services.billing.lease_ms".
  std::optional<std::string> before;
  std::optional<std::string> after;
  bool operator==(const FieldChange&) const = default;
};
BOOST_DESCRIBE_STRUCT(FieldChange, (), (path, before, after))

/// Returns the differing fields in the order of paths, with added fields last.
std::vector<FieldChange> Compare(const Bundle& before, const Bundle& after);

}  // namespace graniteseam::bundle
