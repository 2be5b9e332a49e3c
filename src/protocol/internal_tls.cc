#include "src/protocol/internal_tls.h"

#include <openssl/sha.h>
#include <openssl/ssl.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <utility>

#include "graniteseam/common/hex.h"
#include "src/runtime/log.h"

namespace graniteseam::protocol {
namespace {

// A pre-shared key is bound to one hash (RFC 8446, section 4.2.11); OpenSSL's callbacks take
// SHA-256.
constexpr char kCipherSuite[] = "TLS_AES_128_GCM_SHA256";
constexpr std::size_t kIdentityBytes = 8;

using Hash = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Hash Sha256(std::string_view text) {
  Hash hash{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), hash.data());
  return hash;
}

InternalKey DeriveKey(const std::string& secret) {
  const Hash key = Sha256("graniteseam-internal-key:" + secret);
  const Hash name = Sha256("graniteseam-internal-identity:" + secret);
  return {"graniteseam-" + ToHex(name.data(), kIdentityBytes),
          std::string(reinterpret_cast<const char*>(key.data()), key.size())};
}

int KeysIndex() {
  static const int index = SSL_CTX_get_ex_new_index(0, nullptr, nullptr, nullptr, nullptr);
  return index;
}

const std::vector<InternalKey>& KeysOf(SSL* connection) {
  return *static_cast<const std::vector<InternalKey>*>(
      SSL_CTX_get_ex_data(SSL_get_SSL_CTX(connection), KeysIndex()));
}

unsigned CopyKey(const InternalKey& key, unsigned char* out, unsigned capacity) {
  if (key.key.size() > capacity) return 0;
  std::copy(key.key.begin(), key.key.end(), out);
  return static_cast<unsigned>(key.key.size());
}

unsigned OfferKey(SSL* connection, const char* /*hint*/, char* identity, unsigned identity_capacity,
                  unsigned char* out, unsigned capacity) {
  if (KeysOf(connection).empty()) return 0;  // Loading failed: no handshake succeeds.
  const InternalKey& key = KeysOf(connection).front();
  if (key.identity.size() + 1 > identity_capacity) return 0;
  key.identity.copy(identity, key.identity.size());
  identity[key.identity.size()] = '\0';
  return CopyKey(key, out, capacity);
}

unsigned FindKey(SSL* connection, const char* identity, unsigned char* out, unsigned capacity) {
  for (const InternalKey& key : KeysOf(connection)) {
    if (key.identity == identity) return CopyKey(key, out, capacity);
  }
  return 0;  // Unknown identity: the handshake fails.
}

Result<std::vector<InternalKey>> FailSecret(const std::string& path, const std::string& fault) {
  return Fail(ErrorKind::kInvalidSettings, path + ": " + fault,
              "Put one secret of at least " + std::to_string(kSecretCharactersMinimum) +
                  " characters a line, for example from: openssl rand -hex 32.");
}

std::filesystem::file_time_type ChangeTime(const std::string& path) {
  std::error_code error;
  return std::filesystem::last_write_time(path, error);
}

}  // namespace

Result<std::vector<InternalKey>> ReadSecretFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return FailSecret(path, "The file cannot be read.");
  std::vector<InternalKey> keys;
  std::string line;
  while (std::getline(file, line)) {
    if (line.empty() || line.front() == '#') continue;
    if (line.size() < kSecretCharactersMinimum) return FailSecret(path, "A secret is too short.");
    keys.push_back(DeriveKey(line));
  }
  if (keys.empty()) return FailSecret(path, "The file contains no secret.");
  return keys;
}

struct InternalTls::Keys {
  std::vector<InternalKey> keys;
  std::filesystem::file_time_type change_time;
};

InternalTls::InternalTls(InternalSecurity security)
    : security_(std::move(security)),
      keys_(std::make_unique<Keys>()),
      context_(boost::asio::ssl::context::tls) {
  SSL_CTX* const context = context_.native_handle();
  SSL_CTX_set_min_proto_version(context, TLS1_3_VERSION);
  SSL_CTX_set_ciphersuites(context, kCipherSuite);
  // Session resumption is off: each connection must prove a secret that is currently in use.
  SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
  SSL_CTX_set_num_tickets(context, 0);
  SSL_CTX_set_ex_data(context, KeysIndex(), &keys_->keys);
  SSL_CTX_set_psk_client_callback(context, OfferKey);
  SSL_CTX_set_psk_server_callback(context, FindKey);
}

InternalTls::~InternalTls() = default;

Result<void> InternalTls::Load() {
  if (!enabled()) return {};
  keys_->change_time = ChangeTime(security_.secret_file);
  BOOST_LEAF_ASSIGN(keys_->keys, ReadSecretFile(security_.secret_file));
  return {};
}

boost::asio::ssl::context& InternalTls::ContextForHandshake() {
  ReloadIfChanged();
  return context_;
}

void InternalTls::ReloadIfChanged() {
  const auto change_time = ChangeTime(security_.secret_file);
  if (change_time == keys_->change_time) return;
  keys_->change_time = change_time;
  const auto outcome = Attempt([&] { return ReadSecretFile(security_.secret_file); });
  if (const Error* error = ErrorOf(outcome)) {
    runtime::Logger("internal").Error(*error);
    return;
  }
  keys_->keys = std::get<std::vector<InternalKey>>(outcome);
  runtime::Logger("internal").Info("Read the shared secrets again.");
}

}  // namespace graniteseam::protocol
