#include "src/http/tls.h"

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <array>
#include <filesystem>
#include <mutex>
#include <utility>

#include "src/runtime/clock.h"
#include "src/runtime/log.h"

namespace graniteseam::http {
namespace {

/// Files are looked at no more often than this.
constexpr Duration kLookInterval{1'000'000};

using ChangeTimes = std::array<std::filesystem::file_time_type, 3>;

ChangeTimes TimesOf(const TlsFiles& files) {
  ChangeTimes times;
  std::error_code ignored;
  times[0] = std::filesystem::last_write_time(files.certificate, ignored);
  times[1] = std::filesystem::last_write_time(files.key, ignored);
  times[2] = std::filesystem::last_write_time(files.authorities, ignored);
  return times;
}

boost::leaf::error_id FailFile(const std::string& what, const std::string& file) {
  const char* const reason = ERR_reason_error_string(ERR_get_error());
  ERR_clear_error();
  return Fail(ErrorKind::kInvalidSettings,
              file + ": The " + what +
                  " can not be used: " + (reason == nullptr ? "unknown reason" : reason) + ".",
              "Name a readable PEM file; certificate and key must belong together.");
}

Result<void> UseFiles(SSL_CTX* context, TlsContext::Side side, const TlsFiles& files) {
  const bool server = side == TlsContext::Side::kServer;
  if (server || !files.certificate.empty()) {
    if (SSL_CTX_use_certificate_chain_file(context, files.certificate.c_str()) != 1) {
      return FailFile("certificate", files.certificate);
    }
    if (SSL_CTX_use_PrivateKey_file(context, files.key.c_str(), SSL_FILETYPE_PEM) != 1) {
      return FailFile("key", files.key);
    }
  }
  if (!server || !files.authorities.empty()) {
    if (SSL_CTX_load_verify_locations(context, files.authorities.c_str(), nullptr) != 1) {
      return FailFile("list of authorities", files.authorities);
    }
    SSL_CTX_set_verify(context, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
  }
  return {};
}

Result<std::shared_ptr<SSL_CTX>> LoadContext(TlsContext::Side side, const TlsFiles& files) {
  const SSL_METHOD* const method =
      side == TlsContext::Side::kServer ? TLS_server_method() : TLS_client_method();
  std::shared_ptr<SSL_CTX> context(SSL_CTX_new(method), SSL_CTX_free);
  SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
  SSL_CTX_set_mode(context.get(),
                   SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
  // No session is resumed: a certificate that was replaced is checked at the next connection.
  SSL_CTX_set_session_cache_mode(context.get(), SSL_SESS_CACHE_OFF);
  SSL_CTX_set_num_tickets(context.get(), 0);
  BOOST_LEAF_CHECK(UseFiles(context.get(), side, files));
  return context;
}

}  // namespace

void SslFree::operator()(ssl_st* session) const { SSL_free(session); }

class TlsContext::Impl {
 public:
  Impl(Side side_of, TlsFiles files_of, std::shared_ptr<SSL_CTX> loaded)
      : side(side_of),
        files(std::move(files_of)),
        current(std::move(loaded)),
        times(TimesOf(files)),
        next_look(runtime::BootTimeNow() + kLookInterval) {}

  void ReloadIfChanged();

  const Side side;
  const TlsFiles files;
  std::mutex mutex;
  // Guarded by mutex:
  std::shared_ptr<SSL_CTX> current;
  ChangeTimes times;
  Instant next_look;
};

void TlsContext::Impl::ReloadIfChanged() {
  const Instant now = runtime::BootTimeNow();
  if (now < next_look) return;
  next_look = now + kLookInterval;
  const ChangeTimes found = TimesOf(files);
  if (found == times) return;
  times = found;
  const runtime::Logger log("tls");
  const auto loaded = Attempt([&] { return LoadContext(side, files); });
  if (const Error* error = ErrorOf(loaded)) return log.Error(*error);
  current = std::get<std::shared_ptr<SSL_CTX>>(loaded);
  log.Info("Read the certificates again.");
}

TlsContext::TlsContext(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

TlsContext::~TlsContext() = default;

Result<std::shared_ptr<TlsContext>> TlsContext::Load(Side side, const TlsFiles& files) {
  BOOST_LEAF_AUTO(context, LoadContext(side, files));
  return std::shared_ptr<TlsContext>(
      new TlsContext(std::make_unique<Impl>(side, files, std::move(context))));
}

std::shared_ptr<ssl_ctx_st> TlsContext::Current() {
  const std::lock_guard lock(impl_->mutex);
  impl_->ReloadIfChanged();
  return impl_->current;
}

TlsSession TlsContext::NewSession(int descriptor) {
  TlsSession session(SSL_new(Current().get()));
  SSL_set_fd(session.get(), descriptor);
  if (impl_->side == Side::kServer) {
    SSL_set_accept_state(session.get());
  } else {
    SSL_set_connect_state(session.get());
  }
  return session;
}

TlsSession TlsContext::NewSession(int descriptor, const std::string& ip) {
  TlsSession session = NewSession(descriptor);
  X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(session.get()), ip.c_str());
  return session;
}

}  // namespace graniteseam::http
