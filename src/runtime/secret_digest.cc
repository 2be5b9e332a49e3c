#include "src/runtime/secret_digest.h"

#include <openssl/sha.h>

#include "graniteseam/common/hex.h"

namespace graniteseam::runtime {

std::string SecretDigest(std::string_view secret) {
  unsigned char digest[SHA256_DIGEST_LENGTH] = {};
  ::SHA256(reinterpret_cast<const unsigned char*>(secret.data()), secret.size(), digest);
  return ToHex(digest, sizeof(digest));
}

}  // namespace graniteseam::runtime
