/// @file
/// The canonical form of a bundle, its digest, and the comparison of two bundles.

#include <openssl/evp.h>

#include <array>
#include <stdexcept>
#include <string_view>

#include "graniteseam/bundle/bundle.h"
#include "graniteseam/common/hex.h"
#include "src/bundle/bundle_fields.h"

namespace graniteseam::bundle {
namespace {

/// Part of the digest, so that texts of a later format never have the same digest.
constexpr std::string_view kFormatLine = "graniteseam-bundle-text 1\n";

}  // namespace

std::string CanonicalText(const Bundle& bundle) {
  std::string text(kFormatLine);
  for (const auto& [path, value] : FieldsOf(bundle)) {
    text += path;
    text += '=';
    text += value;
    text += '\n';
  }
  return text;
}

std::string Digest(const Bundle& bundle) {
  const std::string text = CanonicalText(bundle);
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int count = 0;
  if (EVP_Digest(text.data(), text.size(), bytes.data(), &count, EVP_sha256(), nullptr) != 1) {
    throw std::runtime_error("OpenSSL has no SHA-256.");
  }
  return ToHex(bytes.data(), count);
}

std::vector<FieldChange> Compare(const Bundle& before, const Bundle& after) {
  const auto old_fields = FieldsOf(before);
  const auto new_fields = FieldsOf(after);
  std::vector<FieldChange> changes;
  for (const auto& [path, value] : old_fields) {
    const auto found = new_fields.find(path);
    if (found == new_fields.end()) {
      changes.push_back({path, value, std::nullopt});
    } else if (found->second != value) {
      changes.push_back({path, value, found->second});
    }
  }
  for (const auto& [path, value] : new_fields) {
    if (!old_fields.contains(path)) changes.push_back({path, std::nullopt, value});
  }
  return changes;
}

}  // namespace graniteseam::bundle
