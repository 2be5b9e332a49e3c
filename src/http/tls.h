/// @file
/// TLS of HTTP ports and clients: certificates from files that are read again when they change.
/// See docs/operations/tls-and-keys.md.
#pragma once

#include <memory>
#include <string>

#include "graniteseam/common/error.h"
#include "src/runtime/settings.h"
#include "src/runtime/socket_address.h"

struct ssl_st;
struct ssl_ctx_st;

namespace graniteseam::http {

/// Files of one side. All are PEM.
struct TlsFiles {
  std::string certificate;  ///< With its chain; a server must have one, a client may.
  std::string key;
  /// Certificates of those that the other side must be signed by. A client must have one. For a
  /// server it means that callers need a certificate.
  std::string authorities;

  bool Empty() const { return certificate.empty() && key.empty() && authorities.empty(); }
};

struct SslFree {
  void operator()(ssl_st* session) const;
};
/// One connection's TLS state.
using TlsSession = std::unique_ptr<ssl_st, SslFree>;

/// Makes TLS sessions (TLS 1.2 and later) of one side. Changed files are taken for the next
/// session; faulty ones leave the former in use and are logged. Thread safe.
class TlsContext {
 public:
  enum class Side { kServer, kClient };

  /// @return kInvalidSettings when the files do not fit together or can not be read.
  static Result<std::shared_ptr<TlsContext>> Load(Side side, const TlsFiles& files);
  ~TlsContext();
  TlsContext(const TlsContext&) = delete;
  TlsContext& operator=(const TlsContext&) = delete;

  /// A session over a connected socket, which stays the caller's.
  TlsSession NewSession(int descriptor);
  /// As above for a client, which requires that the other side's certificate names `ip`.
  TlsSession NewSession(int descriptor, const std::string& ip);

  /// The native context in force, for libraries that make sessions themselves.
  std::shared_ptr<ssl_ctx_st> Current();

 private:
  class Impl;
  explicit TlsContext(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

/// Declares `http_tls_certificate`, `http_tls_key` and `http_tls_client_ca` of a program's HTTP
/// port, and refuses to serve plain HTTP on another address than loopback. The pointers must stay
/// valid until Read().
void AddServerTlsSettings(runtime::SettingsReader& reader, TlsFiles& files,
                          const runtime::SocketAddress* own);

/// Declares `server_tls_ca`, `server_tls_certificate` and `server_tls_key` of connections to the
/// users' servers.
void AddUpstreamTlsSettings(runtime::SettingsReader& reader, TlsFiles& files);

}  // namespace graniteseam::http
