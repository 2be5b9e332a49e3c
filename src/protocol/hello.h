/// @file
/// The hello exchange of an internal connection: the sender's identity and its protocol versions.
/// The schemas of Hello and Refusal never change, so that any two versions can decode them.
#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"

namespace graniteseam::protocol {

/// The newest and the oldest version of the internal protocol that this build supports.
inline constexpr std::int32_t kProtocolVersion = 16;
inline constexpr std::int32_t kOldestProtocolVersion = 13;

/// The first version with control::GroupMembers.
inline constexpr std::int32_t kGroupMembersVersion = 16;
/// The first version with consensus::LeavingNotice.
inline constexpr std::int32_t kLeavingNoticeVersion = 16;

enum class ProcessKind { kControl, kRouter };
BOOST_DESCRIBE_ENUM(ProcessKind, kControl, kRouter)

/// The first message of each side.
struct Hello {
  std::int32_t newest_version = kProtocolVersion;
  std::int32_t oldest_version = kOldestProtocolVersion;
  ProcessKind kind = ProcessKind::kControl;
  std::string name;  ///< The process's id, for logs.
  /// InternalSchemaFingerprint() of the newest version.
  std::uint64_t schema_fingerprint = 0;
  std::vector<std::string> features;  ///< Extensions; unknown ones are ignored.

  bool operator==(const Hello&) const = default;
};
BOOST_DESCRIBE_STRUCT(Hello, (),
                      (newest_version, oldest_version, kind, name, schema_fingerprint, features))

/// Sent before a connection is closed because of an error of the receiver.
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

/// Feature with the address of a control process's operator endpoint: prefix, then "ip:port".
inline constexpr char kHttpAddressFeature[] = "http_address=";

/// Feature with the address for instance registration and for operators of the traffic
/// configuration: prefix, then "ip:port".
inline constexpr char kRegistryAddressFeature[] = "registry_address=";

/// External addresses of a control process; each is empty when the hello does not contain it.
struct ServedAddresses {
  std::string http;      ///< By operators.
  std::string registry;  ///< By instances, and by operators of the traffic configuration.
};

/// Returns the addresses in a hello.
ServedAddresses ServedAddressesOf(const Hello& hello);

/// Selects the newest version that both sides support.
/// @return that version; kIncompatibleFormat when there is none, or when both claim the same newest
///     version with different schemas.
Result<std::int32_t> AgreeVersion(const Hello& own, const Hello& peer);

}  // namespace graniteseam::protocol
