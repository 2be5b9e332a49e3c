#include "src/http/operator_credentials.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <string_view>

#include "src/runtime/secret_digest.h"

namespace graniteseam::http {
namespace {

constexpr std::string_view kScheme = "Bearer ";
constexpr std::size_t kDigestCharacters = std::size_t{2} * SHA256_DIGEST_LENGTH;

}  // namespace

std::optional<std::string> OperatorCredentials::Identify(const std::string& authorization) const {
  if (!authorization.starts_with(kScheme)) return std::nullopt;
  const std::string shown =
      runtime::SecretDigest(std::string_view(authorization).substr(kScheme.size()));
  std::optional<std::string> identified;
  for (const auto& [name, digest] : digests_) {
    const bool same = digest.size() == shown.size() &&
                      CRYPTO_memcmp(digest.data(), shown.data(), shown.size()) == 0;
    if (same) identified = name;
  }
  return identified;
}

bool IsCredentialDigest(const std::string& text) {
  return text.size() == kDigestCharacters && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

}  // namespace graniteseam::http
