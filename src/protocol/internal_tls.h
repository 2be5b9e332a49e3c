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

/// Shortest secret taken, in characters.
inline constexpr std::size_t kSecretCharactersMinimum = 32;

/// One shared secret as TLS uses it.
struct InternalKey {
  std::string identity;  ///< Names the key without giving it away.
  std::string key;       ///< 32 bytes derived from the secret's text.
};

/// Reads a secret file: one secret a line, "#" begins a comment. The first dials; all are accepted,
/// so that a secret is replaced without a gap.
/// @return kInvalidSettings when the file can not be read, holds no secret, or a secret is too
///     short.
Result<std::vector<InternalKey>> ReadSecretFile(const std::string& path);

/// TLS contexts of one process, or none when no secret is set. The secret file is read again when
/// it changed, at the next handshake; a faulty new file leaves the old secrets in use. Used on the
/// event loop's thread.
class InternalTls {
 public:
  /// Without a secret file, or before Load(), connections are plain.
  explicit InternalTls(InternalSecurity security);
  ~InternalTls();
  InternalTls(const InternalTls&) = delete;
  InternalTls& operator=(const InternalTls&) = delete;

  /// Reads the secrets. Call it once before the first connection.
  Result<void> Load();

  bool enabled() const { return !security_.secret_file.empty(); }
  /// The context for a handshake that begins now.
  boost::asio::ssl::context& ContextForHandshake();

 private:
  struct Keys;
  void ReloadIfChanged();

  InternalSecurity security_;
  std::unique_ptr<Keys> keys_;
  boost::asio::ssl::context context_;
};

}  // namespace graniteseam::protocol
