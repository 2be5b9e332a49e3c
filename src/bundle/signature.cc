#include "graniteseam/bundle/signature.h"

#include <openssl/evp.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace graniteseam::bundle {
namespace {

constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kSignatureBytes = 64;

using Bytes = std::vector<unsigned char>;

struct KeyDeleter {
  void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
};
struct ContextDeleter {
  void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};
using Key = std::unique_ptr<EVP_PKEY, KeyDeleter>;
using Context = std::unique_ptr<EVP_MD_CTX, ContextDeleter>;

std::string EncodeBase64(const Bytes& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');  // OpenSSL adds a terminating zero.
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), bytes.data(),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

Result<Bytes> DecodeBase64(const std::string& text, std::size_t size, const std::string& what) {
  const std::size_t text_size = 4 * ((size + 2) / 3);
  if (text.size() == text_size) {
    Bytes bytes(text_size / 4 * 3);
    const int decoded =
        EVP_DecodeBlock(bytes.data(), reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    bytes.resize(size);
    // Comparing with the re-encoded bytes rejects non-canonical base64.
    if (decoded >= 0 && EncodeBase64(bytes) == text) return bytes;
  }
  return Fail(ErrorKind::kInvalidArgument,
              "The " + what + " is not base64 of " + std::to_string(size) + " bytes.",
              "Give the " + what + " as graniteseamctl printed it, without spaces or line ends.");
}

boost::leaf::error_id FailOpenSsl(const std::string& step) {
  return Fail(ErrorKind::kInternal, "OpenSSL could not " + step + ".",
              "Check that the installed OpenSSL offers Ed25519.");
}

Result<Key> PrivateKey(const std::string& base64) {
  BOOST_LEAF_AUTO(bytes, DecodeBase64(base64, kKeyBytes, "private key"));
  Key key(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, bytes.data(), bytes.size()));
  if (!key) return FailOpenSsl("read an Ed25519 private key");
  return key;
}

Result<std::string> PublicBase64(const EVP_PKEY* key) {
  Bytes bytes(kKeyBytes);
  std::size_t size = bytes.size();
  if (EVP_PKEY_get_raw_public_key(key, bytes.data(), &size) != 1) {
    return FailOpenSsl("derive an Ed25519 public key");
  }
  return EncodeBase64(bytes);
}

const unsigned char* Data(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

Result<KeyPair> GenerateKeyPair() {
  const Key key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
  Bytes bytes(kKeyBytes);
  std::size_t size = bytes.size();
  if (!key || EVP_PKEY_get_raw_private_key(key.get(), bytes.data(), &size) != 1) {
    return FailOpenSsl("generate an Ed25519 key");
  }
  BOOST_LEAF_AUTO(public_base64, PublicBase64(key.get()));
  return KeyPair{EncodeBase64(bytes), public_base64};
}

Result<std::string> PublicKeyOf(const std::string& private_key_base64) {
  BOOST_LEAF_AUTO(key, PrivateKey(private_key_base64));
  return PublicBase64(key.get());
}

std::string SignedText(BundleVersion version, const std::string& digest) {
  return "graniteseam-bundle:" + std::to_string(version.value) + ":" + digest;
}

Result<std::string> SignDigest(const std::string& private_key_base64, BundleVersion version,
                               const std::string& digest) {
  BOOST_LEAF_AUTO(key, PrivateKey(private_key_base64));
  const std::string text = SignedText(version, digest);
  const Context context(EVP_MD_CTX_new());
  Bytes signature(kSignatureBytes);
  std::size_t size = signature.size();
  if (EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) != 1 ||
      EVP_DigestSign(context.get(), signature.data(), &size, Data(text), text.size()) != 1) {
    return FailOpenSsl("sign with Ed25519");
  }
  return EncodeBase64(signature);
}

Result<void> VerifySignature(const std::string& public_key_base64, BundleVersion version,
                             const std::string& digest, const std::string& signature_base64) {
  BOOST_LEAF_AUTO(key_bytes, DecodeBase64(public_key_base64, kKeyBytes, "public key"));
  BOOST_LEAF_AUTO(signature, DecodeBase64(signature_base64, kSignatureBytes, "signature"));
  const Key key(
      EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, key_bytes.data(), key_bytes.size()));
  const Context context(EVP_MD_CTX_new());
  const std::string text = SignedText(version, digest);
  if (!key || EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) != 1) {
    return FailOpenSsl("prepare an Ed25519 check");
  }
  if (EVP_DigestVerify(context.get(), signature.data(), signature.size(), Data(text),
                       text.size()) != 1) {
    return Fail(ErrorKind::kPermissionDenied,
                "The signature does not belong to this reviewer's key and version " +
                    std::to_string(version.value) + " with digest " + digest + ".",
                "Sign this version and digest with the private key whose public key the control "
                "settings trust for the reviewer.");
  }
  return {};
}

}  // namespace graniteseam::bundle
