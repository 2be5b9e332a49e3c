/// @file
/// Derives the Avro schema of a described C++ type. The schema text of every wire message is
/// committed under schemas/, and a test verifies that the two are equal.
#pragma once

#include <boost/core/type_name.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "graniteseam/codec/type_traits.h"

namespace graniteseam::codec {

namespace internal {

/// Writes schema JSON: one field per line, a named type in full only at its first occurrence. Not
/// thread safe; one writer per schema.
class SchemaWriter {
 public:
  void Primitive(std::string_view name);
  void BeginArray();
  void EndArray();
  void BeginUnion();
  void EndUnion();
  /// Separates the branches of a union; call it before each.
  void Branch();
  /// Begins a record, or writes a reference to one that was written before.
  /// @return whether the caller must write the fields and call EndRecord().
  bool BeginRecord(std::string_view cpp_name);
  void Field(std::string_view name);
  void EndField();
  void EndRecord();
  /// Begins an enumeration, or writes a reference, as BeginRecord() does.
  bool BeginEnumeration(std::string_view cpp_name);
  void Symbol(std::string_view name);
  void EndEnumeration();

  const std::string& text() const { return text_; }

 private:
  bool BeginNamed(std::string_view cpp_name, std::string_view kind, std::string_view list);
  void Separate();
  void NewLine();

  std::string text_;
  std::set<std::string, std::less<>> written_;
  std::size_t depth_ = 0;
  bool first_ = true;
};

template <class T>
void WriteSchema(SchemaWriter& writer);

template <class T>
void WriteRecordSchema(SchemaWriter& writer) {
  if (!writer.BeginRecord(boost::core::type_name<T>())) return;
  boost::mp11::mp_for_each<Members<T>>([&](auto descriptor) {
    writer.Field(descriptor.name);
    WriteSchema<decltype(MemberTypeOf(descriptor.pointer))>(writer);
    writer.EndField();
  });
  writer.EndRecord();
}

template <class T>
void WriteEnumerationSchema(SchemaWriter& writer) {
  if (!writer.BeginEnumeration(boost::core::type_name<T>())) return;
  boost::mp11::mp_for_each<Enumerators<T>>(
      [&](auto descriptor) { writer.Symbol(descriptor.name); });
  writer.EndEnumeration();
}

template <class T>
void WriteVariantSchema(SchemaWriter& writer) {
  writer.BeginUnion();
  boost::mp11::mp_for_each<boost::mp11::mp_transform<std::type_identity, T>>([&](auto branch) {
    writer.Branch();
    WriteSchema<typename decltype(branch)::type>(writer);
  });
  writer.EndUnion();
}

template <class T>
void WriteSchema(SchemaWriter& writer) {
  if constexpr (std::is_same_v<T, bool>) {
    writer.Primitive("boolean");
  } else if constexpr (SmallInteger<T>) {
    writer.Primitive("int");
  } else if constexpr (Long<T>) {
    writer.Primitive("long");
  } else if constexpr (std::is_floating_point_v<T>) {
    writer.Primitive("double");
  } else if constexpr (Bytes<T>) {
    writer.Primitive("bytes");
  } else if constexpr (Enumeration<T>) {
    WriteEnumerationSchema<T>(writer);
  } else if constexpr (Vector<T>) {
    writer.BeginArray();
    WriteSchema<typename T::value_type>(writer);
    writer.EndArray();
  } else if constexpr (Optional<T>) {
    static_assert(!Optional<typename T::value_type> && !Variant<typename T::value_type>,
                  "Avro has no union within a union");
    WriteVariantSchema<std::variant<std::monostate, typename T::value_type>>(writer);
  } else if constexpr (Variant<T>) {
    WriteVariantSchema<T>(writer);
  } else if constexpr (std::is_same_v<T, std::monostate>) {
    writer.Primitive("null");
  } else if constexpr (Record<T>) {
    WriteRecordSchema<T>(writer);
  } else {
    static_assert(kAlwaysFalse<T>, "the codec does not support this type; see type_traits.h");
  }
}

}  // namespace internal

/// Returns the Avro schema of T as JSON, derived once. Thread safe.
template <class T>
const std::string& SchemaText() {
  static const std::string text = [] {
    internal::SchemaWriter writer;
    internal::WriteSchema<T>(writer);
    return writer.text();
  }();
  return text;
}

/// Returns the CRC-64-AVRO (Avro 1.11 specification, "Schema Fingerprints") of a schema's text.
std::uint64_t Fingerprint(std::string_view schema_text);

/// Returns the fingerprint of T's derived schema. Two processes have equal fingerprints when they
/// use the same schema for T.
template <class T>
std::uint64_t SchemaFingerprint() {
  static const std::uint64_t fingerprint = Fingerprint(SchemaText<T>());
  return fingerprint;
}

}  // namespace graniteseam::codec
