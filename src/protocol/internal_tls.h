/// @file
/// TLS with a pre-shared key for internal connections; see docs/design/security.md.
#pragma once

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "src/protocol/internal_security.h"

namespace graniteseam::protocol {

/// Minimum length of a secret, in characters.
inline constexpr std::size_t kSecretCharactersMinimum = 32;

/// A TLS pre-shared key derived from a secret.
struct InternalKey {
  std::string identity;  ///< Identifies the key without revealing it.
  std::string key;       ///< 32 bytes derived from the secret's text.
};

/// Reads a secret file: one secret per line, "#" starts a comment. The first is used to dial; all
/// are accepted, so that a secret can be replaced without an interruption.
/// @return kInvalidSettings when the file cannot be read, contains no secret, or a secret is too
///     short.
Result<std::vector<InternalKey>> ReadSecretFile(const std::string& path);

/// TLS contexts of one process, or none when no secret is set. The secret file is read again when
/// it changed, at the next handshake; if the new file is invalid, the old secrets stay in use. All
/// calls run on the event loop's thread.
class InternalTls {
 public:
  /// Without a secret file, or before Load(), connections are plaintext.
  explicit InternalTls(InternalSecurity security);
  ~InternalTls();
  InternalTls(const InternalTls&) = delete;
  InternalTls& operator=(const InternalTls&) = delete;

  /// Reads the secrets. Must be called once before the first connection.
  Result<void> Load();

  bool enabled() const { return !security_.secret_file.empty(); }
  /// The context for a new handshake, with the current secrets.
  boost::asio::ssl::context& ContextForHandshake();

 private:
  struct Keys;
  void ReloadIfChanged();

  InternalSecurity security_;
  std::unique_ptr<Keys> keys_;
  boost::asio::ssl::context context_;
};

}  // namespace graniteseam::protocol
