/// @file
/// Who may operate: names with the SHA-256 of their credential, from the settings.
#pragma once

#include <map>
#include <optional>
#include <string>

namespace graniteseam::http {

/// Knows operators by the bearer token (RFC 6750) of their requests. Immutable, thread safe.
class OperatorCredentials {
 public:
  /// @param digests name -> SHA-256 of the credential in lower-case hex.
  explicit OperatorCredentials(std::map<std::string, std::string> digests)
      : digests_(std::move(digests)) {}

  /// @param authorization the value of the Authorization header.
  /// @return the operator's name; nullopt when the credential is nobody's. Compares all digests in
  ///     constant time each, so that timing tells nothing about a stored digest.
  std::optional<std::string> Identify(const std::string& authorization) const;

  bool empty() const { return digests_.empty(); }

 private:
  std::map<std::string, std::string> digests_;
};

/// Whether the text has the form of a digest: 64 lower-case hex digits.
bool IsCredentialDigest(const std::string& text);

}  // namespace graniteseam::http
