#include "src/protocol/hello.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "graniteseam/codec/schema.h"
#include "graniteseam/consensus/types.h"
#include "graniteseam/control/router_messages.h"

namespace graniteseam::protocol {

std::uint64_t InternalSchemaFingerprint() {
  static const std::uint64_t fingerprint = codec::Fingerprint(
      codec::SchemaText<consensus::PeerMessage>() + codec::SchemaText<control::RouterToControl>() +
      codec::SchemaText<control::ControlToRouter>());
  return fingerprint;
}

Hello MakeHello(ProcessKind kind, std::string name) {
  Hello hello;
  hello.kind = kind;
  hello.name = std::move(name);
  hello.schema_fingerprint = InternalSchemaFingerprint();
  return hello;
}

namespace {

/// The text after a feature's prefix; empty when the hello does not contain the feature.
std::string FeatureOf(const Hello& hello, std::string_view prefix) {
  for (const std::string& feature : hello.features) {
    if (feature.starts_with(prefix)) return feature.substr(prefix.size());
  }
  return "";
}

}  // namespace

ServedAddresses ServedAddressesOf(const Hello& hello) {
  return {FeatureOf(hello, kHttpAddressFeature), FeatureOf(hello, kRegistryAddressFeature)};
}

Result<std::int32_t> AgreeVersion(const Hello& own, const Hello& peer) {
  const std::int32_t agreed = std::min(own.newest_version, peer.newest_version);
  if (agreed < std::max(own.oldest_version, peer.oldest_version)) {
    return Fail(ErrorKind::kIncompatibleFormat,
                "Process \"" + peer.name + "\" speaks protocol versions " +
                    std::to_string(peer.oldest_version) + " to " +
                    std::to_string(peer.newest_version) + ", this one " +
                    std::to_string(own.oldest_version) + " to " +
                    std::to_string(own.newest_version) + ".",
                "Upgrade one release at a time, so that only adjacent releases are connected.");
  }
  if (own.newest_version == peer.newest_version &&
      own.schema_fingerprint != peer.schema_fingerprint) {
    return Fail(ErrorKind::kIncompatibleFormat,
                "Process \"" + peer.name + "\" has other message schemas under protocol version " +
                    std::to_string(agreed) + ".",
                "Run the same release everywhere; different development builds are incompatible.");
  }
  return agreed;
}

}  // namespace graniteseam::protocol
