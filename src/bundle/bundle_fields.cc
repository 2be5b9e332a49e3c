/// @file
/// Flattens a bundle into fields by the types' descriptions, so that a member added to a described
/// type is always part of the digest.

#include "src/bundle/bundle_fields.h"

#include <algorithm>
#include <array>
#include <boost/describe/enum_to_string.hpp>
#include <boost/describe/members.hpp>
#include <boost/mp11/algorithm.hpp>
#include <charconv>
#include <type_traits>

#include "graniteseam/common/hex.h"

namespace graniteseam::bundle {
namespace {

std::string Quoted(const std::string& text) {
  std::string quoted = "\"";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || c == '"' || c == '\\') {
      quoted += "\\x" + ToHex(&byte, 1);
    } else {
      quoted += c;
    }
  }
  return quoted + '"';
}

/// Collects the fields of described values by path.
class FieldCollector {
 public:
  void Add(const std::string& path, bool value) { fields_[path] = value ? "true" : "false"; }

  void Add(const std::string& path, const std::string& value) { fields_[path] = Quoted(value); }

  template <class Number>
  requires std::is_arithmetic_v<Number>
  void Add(const std::string& path, Number value) {
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    fields_[path] = std::string(buffer.data(), end);
  }

  template <class Enum>
  requires std::is_enum_v<Enum>
  void Add(const std::string& path, Enum value) {
    fields_[path] = boost::describe::enum_to_string(value, "?");
  }

  template <class Tag>
  void Add(const std::string& path, const NameId<Tag>& id) {
    Add(path, id.value);
  }

  template <class Tag>
  void Add(const std::string& path, const NumericId<Tag>& id) {
    Add(path, id.value);
  }

  /// Adds a set of names; sorted, since their order in the file is not significant.
  void Add(const std::string& path, std::vector<ServiceName> names) {
    std::sort(names.begin(), names.end());
    std::string text;
    for (const ServiceName& name : names) text += (text.empty() ? "" : ", ") + Quoted(name.value);
    fields_[path] = "[" + text + "]";
  }

  template <class Named>
  void Add(const std::string& path, const std::vector<Named>& elements) {
    for (const Named& element : elements) Add(path + "." + element.name.value, element);
  }

  template <class Struct>
  requires boost::describe::has_describe_members<Struct>::value void Add(const std::string& path,
                                                                         const Struct& value) {
    using Members = boost::describe::describe_members<Struct, boost::describe::mod_public>;
    boost::mp11::mp_for_each<Members>([&](auto member) {
      Add(path.empty() ? member.name : path + "." + member.name, value.*member.pointer);
    });
  }

  std::map<std::string, std::string> Take() { return std::move(fields_); }

 private:
  std::map<std::string, std::string> fields_;
};

}  // namespace

std::map<std::string, std::string> FieldsOf(const Bundle& bundle) {
  FieldCollector collector;
  collector.Add("", bundle);
  return collector.Take();
}

}  // namespace graniteseam::bundle
