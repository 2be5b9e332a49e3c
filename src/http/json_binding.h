/// @file
/// JSON of described types (Boost.Describe), for the operators' interface. Structs become objects
/// with their members' names; enumerators lose their k and are written in snake case. A disk
/// incarnation is written as text, because it uses all 64 bits and many JSON readers keep 53.
/// Include it in .cc files only: nlohmann's header is heavy.
#pragma once

#include <boost/describe/enumerators.hpp>
#include <boost/describe/members.hpp>
#include <boost/mp11/algorithm.hpp>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/common/ids.h"

namespace graniteseam::http {

/// Returns "add_learner" for "kAddLearner".
inline std::string EnumeratorText(std::string_view enumerator) {
  std::string text;
  for (const char c : enumerator.substr(1)) {
    const bool upper = c >= 'A' && c <= 'Z';
    if (upper && !text.empty()) text += '_';
    text += upper ? static_cast<char>(c - 'A' + 'a') : c;
  }
  return text;
}

template <class T>
concept DescribedStruct = boost::describe::has_describe_members<T>::value;
template <class T>
concept DescribedEnum = boost::describe::has_describe_enumerators<T>::value;
template <class T>
using MembersOf = boost::describe::describe_members<T, boost::describe::mod_public>;

/// Builds JSON values.
struct JsonWriter {
  template <class T>
  requires std::is_arithmetic_v<T> || std::is_same_v<T, std::string> nlohmann::json operator()(
      const T& value) const {
    return value;
  }
  nlohmann::json operator()(const DiskIncarnation& disk) const {
    return std::to_string(disk.value);
  }
  template <class Tag>
  nlohmann::json operator()(const NumericId<Tag>& id) const {
    return id.value;
  }
  template <class Tag>
  nlohmann::json operator()(const NameId<Tag>& id) const {
    return id.value;
  }
  template <DescribedEnum T>
  nlohmann::json operator()(T value) const {
    std::string text;
    boost::mp11::mp_for_each<boost::describe::describe_enumerators<T>>([&](auto enumerator) {
      if (enumerator.value == value) text = EnumeratorText(enumerator.name);
    });
    return text;
  }
  template <class T>
  nlohmann::json operator()(const std::optional<T>& value) const {
    return value.has_value() ? (*this)(*value) : nlohmann::json(nullptr);
  }
  template <class T>
  nlohmann::json operator()(const std::vector<T>& values) const {
    nlohmann::json array = nlohmann::json::array();
    for (const T& value : values) array.push_back((*this)(value));
    return array;
  }
  template <DescribedStruct T>
  nlohmann::json operator()(const T& value) const {
    nlohmann::json object = nlohmann::json::object();
    boost::mp11::mp_for_each<MembersOf<T>>(
        [&](auto member) { object[member.name] = (*this)(value.*member.pointer); });
    return object;
  }
};

/// Reads JSON values. A member that is missing keeps its default when `lenient`, so that programs
/// of two versions understand each other's answers; else it is a fault. Unknown members pass.
class JsonReader {
 public:
  explicit JsonReader(bool lenient) : lenient_(lenient) {}

  /// @param path of the value, for the message of a fault.
  template <class T>
  requires std::is_arithmetic_v<T> Result<void> Read(const nlohmann::json& json, T& value,
                                                     const std::string& path)
  const {
    if constexpr (std::is_same_v<T, bool>) {
      if (!json.is_boolean()) return Wrong(path, "true or false");
      value = json.get<bool>();
    } else if constexpr (std::is_floating_point_v<T>) {
      if (!json.is_number()) return Wrong(path, "a number");
      value = json.get<T>();
    } else {
      if (!FitsInteger<T>(json)) return Wrong(path, "an integer of its range");
      value = json.get<T>();
    }
    return {};
  }

  Result<void> Read(const nlohmann::json& json, std::string& value, const std::string& path) const {
    if (!json.is_string()) return Wrong(path, "a string");
    value = json.get<std::string>();
    return {};
  }

  Result<void> Read(const nlohmann::json& json, DiskIncarnation& disk,
                    const std::string& path) const {
    std::string text;
    BOOST_LEAF_CHECK(Read(json, text, path));
    const char* end = text.data() + text.size();
    const auto [parsed, fault] = std::from_chars(text.data(), end, disk.value);
    if (fault != std::errc() || parsed != end) return Wrong(path, "a string of decimal digits");
    return {};
  }

  template <class Tag>
  Result<void> Read(const nlohmann::json& json, NumericId<Tag>& id, const std::string& path) const {
    return Read(json, id.value, path);
  }

  template <class Tag>
  Result<void> Read(const nlohmann::json& json, NameId<Tag>& id, const std::string& path) const {
    return Read(json, id.value, path);
  }

  template <DescribedEnum T>
  Result<void> Read(const nlohmann::json& json, T& value, const std::string& path) const {
    std::string text;
    BOOST_LEAF_CHECK(Read(json, text, path));
    bool known = false;
    std::string names;
    boost::mp11::mp_for_each<boost::describe::describe_enumerators<T>>([&](auto enumerator) {
      const std::string name = EnumeratorText(enumerator.name);
      names += (names.empty() ? "" : ", ") + name;
      if (name != text) return;
      known = true;
      value = enumerator.value;
    });
    if (!known) return Wrong(path, "one of: " + names);
    return {};
  }

  template <class T>
  Result<void> Read(const nlohmann::json& json, std::optional<T>& value,
                    const std::string& path) const {
    value.reset();
    if (json.is_null()) return {};
    return Read(json, value.emplace(), path);
  }

  template <class T>
  Result<void> Read(const nlohmann::json& json, std::vector<T>& values,
                    const std::string& path) const {
    if (!json.is_array()) return Wrong(path, "an array");
    values.clear();
    for (const nlohmann::json& element : json) {
      const std::string element_path = path + "[" + std::to_string(values.size()) + "]";
      BOOST_LEAF_CHECK(Read(element, values.emplace_back(), element_path));
    }
    return {};
  }

  template <DescribedStruct T>
  Result<void> Read(const nlohmann::json& json, T& value, const std::string& path) const {
    if (!json.is_object()) return Wrong(path, "an object");
    Result<void> result;
    boost::mp11::mp_for_each<MembersOf<T>>([&](auto member) {
      if (!result) return;
      const std::string member_path = path.empty() ? member.name : path + "." + member.name;
      const auto found = json.find(member.name);
      if (found != json.end()) {
        result = Read(*found, value.*member.pointer, member_path);
      } else if (!lenient_) {
        result = Wrong(member_path, "given");
      }
    });
    return result;
  }

 private:
  template <class T>
  static bool FitsInteger(const nlohmann::json& json) {
    if (json.is_number_unsigned()) {
      return json.get<std::uint64_t>() <= static_cast<std::uint64_t>(std::numeric_limits<T>::max());
    }
    if (!json.is_number_integer() || !std::is_signed_v<T>) return false;
    const auto value = json.get<std::int64_t>();
    return value >= static_cast<std::int64_t>(std::numeric_limits<T>::min()) &&
           value <= static_cast<std::int64_t>(std::numeric_limits<T>::max());
  }

  static Result<void> Wrong(const std::string& path, const std::string& wanted) {
    return Fail(ErrorKind::kMalformedMessage,
                "The JSON value \"" + path + "\" is not " + wanted + ".",
                "Send what docs/interface/operators.md describes.");
  }

  bool lenient_;
};

/// Writes a value as JSON text; bytes that are not UTF-8 are replaced.
template <class T>
std::string ToJsonText(const T& value, int indent = -1) {
  return JsonWriter()(value).dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Reads a value from JSON text.
/// @return kMalformedMessage naming the value that does not fit.
template <class T>
Result<T> FromJsonText(const std::string& text, bool lenient) {
  const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return Fail(ErrorKind::kMalformedMessage, "The text is not JSON.",
                "Send what docs/interface/operators.md describes.");
  }
  T value{};
  BOOST_LEAF_CHECK(JsonReader(lenient).Read(json, value, ""));
  return value;
}

}  // namespace graniteseam::http
