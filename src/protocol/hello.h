/// @file
/// The first words of an internal connection: who speaks, and which versions of the protocol it
/// knows. The form of Hello and Refusal never changes, so that any two versions understand them.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"

namespace graniteseam::protocol {

/// The newest version of the internal protocol that this build speaks, and the oldest.
inline constexpr std::int32_t kProtocolVersion = 11;
inline constexpr std::int32_t kOldestProtocolVersion = 11;

enum class ProcessKind { kControl, kRouter };
BOOST_DESCRIBE_ENUM(ProcessKind, kControl, kRouter)

struct Hello {
  std::int32_t newest_version = kProtocolVersion;
  std::int32_t oldest_version = kOldestProtocolVersion;
  ProcessKind kind = ProcessKind::kControl;
  std::string name;  ///< The process's id, for logs.
  /// InternalSchemaFingerprint() of the newest version.
  std::uint64_t schema_fingerprint = 0;
  std::vector<std::string> features;  ///< Room for additions; unknown ones are ignored.

  bool operator==(const Hello&) const = default;
};
BOOST_DESCRIBE_STRUCT(Hello, (),
                      (newest_version, oldest_version, kind, name, schema_fingerprint, features))

/// Sent before a connection is closed for a fault of the receiver.
struct Refusal {
  std::string kind;  ///< ErrorKindName().
  std::string message;
  std::string remedy;

  bool operator==(const Refusal&) const = default;
};
BOOST_DESCRIBE_STRUCT(Refusal, (), (kind, message, remedy))

/// The fingerprint of the Avro schemas of all internal messages.
std::uint64_t InternalSchemaFingerprint();

/// The hello of this build.
Hello MakeHello(ProcessKind kind, std::string name);

/// The feature by which a control process says where operators reach it: prefix, then "ip:port".
inline constexpr char kHttpAddressFeature[] = "http_address=";

/// The same for instances that register themselves and for traffic's operators.
inline constexpr char kRegistryAddressFeature[] = "registry_address=";

/// Where a control process is reached from outside; each empty when it did not say.
struct ServedAddresses {
  std::string http;      ///< By operators.
  std::string registry;  ///< By instances, and by operators of the traffic configuration.
};

/// The addresses that a hello names.
ServedAddresses ServedAddressesOf(const Hello& hello);

/// Agrees on the newest version that both sides speak.
/// @return that version; kIncompatibleFormat when there is none, or when both claim the same newest
///     version with different schemas.
Result<std::int32_t> AgreeVersion(const Hello& own, const Hello& peer);

}  // namespace graniteseam::protocol
