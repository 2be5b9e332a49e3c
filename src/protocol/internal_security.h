/// @file
/// How the system's own processes know each other on their internal connections. See
/// docs/design/security.md.
#pragma once

#include <string>

namespace graniteseam::protocol {

/// With a secret file, connections are TLS with a pre-shared key (RFC 8446, section 2.2): both
/// sides prove that they know the secret, and what they say is encrypted. Without one they are
/// plain; programs refuse that on addresses other than loopback.
struct InternalSecurity {
  std::string secret_file;  ///< Path; empty means plain connections.
  /// The operator vouches that nobody else reaches the internal addresses: plain connections are
  /// then taken beyond loopback too.
  bool trusted_network = false;
};

}  // namespace graniteseam::protocol
