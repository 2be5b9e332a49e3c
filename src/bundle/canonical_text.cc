/// @file
/// The canonical form of a bundle and its digest. The writer follows the types' descriptions, so
/// that a field added to a described type can't be left out of the digest.

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <boost/describe/enum_to_string.hpp>
#include <boost/describe/members.hpp>
#include <boost/mp11/algorithm.hpp>
#include <charconv>
#include <stdexcept>
#include <type_traits>

#include "graniteseam/bundle/bundle.h"

namespace graniteseam::bundle {
namespace {

/// Named in the digest, so that a later form can't be taken for this one.
constexpr std::string_view kFormatLine = "graniteseam-bundle-text 1\n";

class CanonicalWriter {
 public:
  explicit CanonicalWriter(std::string& text) : text_(text) {}

  void Write(bool value) { text_ += value ? "true" : "false"; }

  /// Writes the length first: no text can then be read as another field.
  void Write(const std::string& value) {
    Write(value.size());
    text_ += ':';
    text_ += value;
  }

  template <class Number>
  requires std::is_arithmetic_v<Number>
  void Write(Number value) {
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    text_.append(buffer.data(), end);
  }

  template <class Enum>
  requires std::is_enum_v<Enum>
  void Write(Enum value) { text_ += boost::describe::enum_to_string(value, "?"); }

  template <class Tag>
  void Write(const NameId<Tag>& id) {
    Write(id.value);
  }

  template <class Tag>
  void Write(const NumericId<Tag>& id) {
    Write(id.value);
  }

  template <class Element>
  void Write(const std::vector<Element>& elements) {
    text_ += "[\n";
    for (const Element& element : elements) {
      Write(element);
      text_ += '\n';
    }
    text_ += ']';
  }

  template <class Struct>
  requires boost::describe::has_describe_members<Struct>::value void Write(const Struct& value) {
    using Members = boost::describe::describe_members<Struct, boost::describe::mod_public>;
    text_ += "{\n";
    boost::mp11::mp_for_each<Members>([&](auto member) {
      text_ += member.name;
      text_ += '=';
      Write(value.*member.pointer);
      text_ += '\n';
    });
    text_ += '}';
  }

 private:
  std::string& text_;
};

/// Returns the bundle with everything in one order that does not depend on the file's.
Bundle Sorted(Bundle bundle) {
  const auto by_name = [](const auto& left, const auto& right) { return left.name < right.name; };
  std::sort(bundle.services.begin(), bundle.services.end(), by_name);
  std::sort(bundle.groups.begin(), bundle.groups.end(), by_name);
  for (Group& group : bundle.groups) std::sort(group.services.begin(), group.services.end());
  return bundle;
}

std::string Hex(const unsigned char* bytes, std::size_t count) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    text += kDigits[bytes[i] >> 4];
    text += kDigits[bytes[i] & 0x0f];
  }
  return text;
}

}  // namespace

std::string CanonicalText(const Bundle& bundle) {
  std::string text(kFormatLine);
  CanonicalWriter(text).Write(Sorted(bundle));
  text += '\n';
  return text;
}

std::string Digest(const Bundle& bundle) {
  const std::string text = CanonicalText(bundle);
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int count = 0;
  if (EVP_Digest(text.data(), text.size(), bytes.data(), &count, EVP_sha256(), nullptr) != 1) {
    throw std::runtime_error("OpenSSL has no SHA-256.");
  }
  return Hex(bytes.data(), count);
}

}  // namespace graniteseam::bundle
