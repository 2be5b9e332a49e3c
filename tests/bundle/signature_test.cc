#include "graniteseam/bundle/signature.h"

#include <criterion/criterion.h>

using graniteseam::Attempt;
using graniteseam::BundleVersion;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using namespace graniteseam::bundle;  // NOLINT(google-build-using-namespace)

namespace {

const std::string kDigest(64, 'd');

KeyPair NewKeys() {
  return std::get<KeyPair>(Attempt([] { return GenerateKeyPair(); }));
}

std::string Signed(const KeyPair& keys, std::uint64_t version, const std::string& digest) {
  return std::get<std::string>(
      Attempt([&] { return SignDigest(keys.private_key_base64, {version}, digest); }));
}

/// Returns the kind of error, or nothing when the signature was taken.
std::optional<ErrorKind> Check(const std::string& key, std::uint64_t version,
                               const std::string& digest, const std::string& signature) {
  const auto outcome = Attempt([&] { return VerifySignature(key, {version}, digest, signature); });
  const auto* error = ErrorOf(outcome);
  return error == nullptr ? std::nullopt : std::optional(error->kind);
}

}  // namespace

Test(signature, derives_the_public_key_of_the_first_test_in_rfc_8032) {
  const auto key =
      Attempt([] { return PublicKeyOf("nWGxne/9WmC6hEr0kuwsxERJxWl7MmkZcDusAxyuf2A="); });
  cr_assert(std::get<std::string>(key) == "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=");
}

Test(signature, belongs_to_one_key_version_and_digest) {
  const KeyPair keys = NewKeys();
  const std::string signature = Signed(keys, 7, kDigest);
  const std::string& key = keys.public_key_base64;
  cr_assert(!Check(key, 7, kDigest, signature).has_value());
  cr_assert(Check(key, 8, kDigest, signature) == ErrorKind::kPermissionDenied);
  cr_assert(Check(key, 7, std::string(64, 'e'), signature) == ErrorKind::kPermissionDenied);
  cr_assert(Check(NewKeys().public_key_base64, 7, kDigest, signature) ==
            ErrorKind::kPermissionDenied);
}

Test(signature, refuses_malformed_keys_and_signatures) {
  const KeyPair keys = NewKeys();
  const std::string signature = Signed(keys, 7, kDigest);
  const std::string& key = keys.public_key_base64;
  cr_assert(Check(key, 7, kDigest, "") == ErrorKind::kInvalidArgument);
  cr_assert(Check(key, 7, kDigest, signature.substr(1)) == ErrorKind::kInvalidArgument);
  cr_assert(Check(key, 7, kDigest, signature + "\n") == ErrorKind::kInvalidArgument);
  cr_assert(Check(key, 7, kDigest, std::string(88, '*')) == ErrorKind::kInvalidArgument);
  cr_assert(Check("short", 7, kDigest, signature) == ErrorKind::kInvalidArgument);
  cr_assert(ErrorOf(Attempt([] { return PublicKeyOf("x"); }))->kind == ErrorKind::kInvalidArgument);
}
