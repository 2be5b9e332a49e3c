/// @file
/// Authentication and encryption of internal connections. See
/// docs/design/security.md.
#pragma once

#include <string>

namespace graniteseam::protocol {

/// With a secret file, connections are TLS with a pre-shared key (RFC 8446, section 2.2): both
/// sides prove possession of the secret, and the traffic is encrypted. Without one they are
/// plaintext; programs refuse that on addresses other than loopback.
struct InternalSecurity {
  std::string secret_file;  ///< Path; empty means plaintext connections.
  /// The operator guarantees that no other process can reach the internal addresses: plaintext
  /// connections are then accepted on addresses other than loopback too.
  bool trusted_network = false;
};

}  // namespace graniteseam::protocol
