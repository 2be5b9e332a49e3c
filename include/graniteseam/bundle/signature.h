/// @file
/// Ed25519 keys and signatures of reviewers (RFC 8032), in base64 of the raw bytes (RFC 4648,
/// section 4): 32 bytes for either key, 64 for a signature.
#pragma once

#include <string>

#include "graniteseam/common/error.h"
#include "graniteseam/common/ids.h"

namespace graniteseam::bundle {

/// A reviewer's key pair. The private part never leaves the reviewer's machine.
struct KeyPair {
  std::string private_key_base64;
  std::string public_key_base64;
};

/// Generates a key pair from the operating system's random source.
Result<KeyPair> GenerateKeyPair();

/// Returns the public key that belongs to a private key.
/// @return kInvalidArgument when the text is not base64 of 32 bytes.
Result<std::string> PublicKeyOf(const std::string& private_key_base64);

/// Returns the text that a reviewer signs: "graniteseam-bundle:<version>:<digest>".
std::string SignedText(BundleVersion version, const std::string& digest);

/// Signs a bundle's version and digest.
/// @return the signature in base64; kInvalidArgument for a malformed private key.
Result<std::string> SignDigest(const std::string& private_key_base64, BundleVersion version,
                               const std::string& digest);

/// Verifies a signature over a bundle's version and digest.
/// @return kInvalidArgument for a malformed key or signature, kPermissionDenied when the signature
///     does not match this key, version and digest.
Result<void> VerifySignature(const std::string& public_key_base64, BundleVersion version,
                             const std::string& digest, const std::string& signature_base64);

}  // namespace graniteseam::bundle
