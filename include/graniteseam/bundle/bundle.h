/// @file
/// The bundle: the versioned document by which operators steer. See docs/interface/operators.md
/// for the file format and docs/design/bundles.md for its rules.
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

/// How a service spreads its requests: by key to the owning server, or to any of a pool.
enum class ServiceKind { kKeyed, kPooled };
BOOST_DESCRIBE_ENUM(ServiceKind, kKeyed, kPooled)

/// What a service's users mind most; relative weights, each at least 0, not all 0.
struct PlacementWeights {
  double unavailability = 1.0;
  double churn = 1.0;
  double imbalance = 1.0;
  bool operator==(const PlacementWeights&) const = default;
};
BOOST_DESCRIBE_STRUCT(PlacementWeights, (), (unavailability, churn, imbalance))

struct Service {
  ServiceName name;
  ServiceKind kind = ServiceKind::kPooled;
  bool repeatable = false;           ///< Whether a request may run more than once.
  std::uint32_t shard_count = 0;     ///< Keyed services only; fixed for the service's life.
  std::int64_t deadline_ms = 2'000;  ///< For requests without a deadline header.
  std::int64_t deadline_maximum_ms = 30'000;
  std::int64_t lease_ms = 600;  ///< Length of its servers' leases.
  std::int64_t body_bytes_maximum = 1 << 20;
  std::uint32_t concurrency_per_server = 64;  ///< Upper limit of the router's window.
  std::int64_t operation_retention_ms =
      std::int64_t{24} * 3600 * 1000;  ///< Not repeatable services only.
  bool hedging = false;                ///< Repeatable services only.
  PlacementWeights weights;
  bool operator==(const Service&) const = default;
};
BOOST_DESCRIBE_STRUCT(Service, (),
                      (name, kind, repeatable, shard_count, deadline_ms, deadline_maximum_ms,
                       lease_ms, body_bytes_maximum, concurrency_per_server, operation_retention_ms,
                       hedging, weights))

struct Group {
  GroupName name;
  std::vector<ServiceName> services;  ///< What the group may call.
  std::string key_prefix;             ///< Keys the group may use; empty means any.
  double share = 1.0;                 ///< Weight of its claim on each pool, greater than 0.
  std::uint32_t queue_maximum = 256;  ///< Requests it may have waiting in one router.
  bool operator==(const Group&) const = default;
};
BOOST_DESCRIBE_STRUCT(Group, (), (name, services, key_prefix, share, queue_maximum))

struct Bundle {
  BundleVersion version;
  std::string author;
  std::vector<Service> services;
  std::vector<Group> groups;
  bool operator==(const Bundle&) const = default;

  const Service* FindService(const ServiceName& name) const;
  const Group* FindGroup(const GroupName& name) const;
};
BOOST_DESCRIBE_STRUCT(Bundle, (), (version, author, services, groups))

/// Reads a bundle from TOML text and checks every rule.
/// @return kInvalidBundle with all faults at once, each with line, key and remedy.
Result<Bundle> ParseBundle(const std::string& toml_text, const std::string& file_name);

/// The canonical form: independent of the file's order of tables, spacing and comments.
std::string CanonicalText(const Bundle& bundle);

/// SHA-256 of the canonical form in lower-case hex.
std::string Digest(const Bundle& bundle);

/// A field that differs between two bundles; absent where its bundle does not have it.
struct FieldChange {
  std::string path;  ///< For example "services.billing.lease_ms".
  std::optional<std::string> before;
  std::optional<std::string> after;
  bool operator==(const FieldChange&) const = default;
};
BOOST_DESCRIBE_STRUCT(FieldChange, (), (path, before, after))

/// Returns what differs, in the order of paths; what was added comes last.
std::vector<FieldChange> Compare(const Bundle& before, const Bundle& after);

}  // namespace graniteseam::bundle
