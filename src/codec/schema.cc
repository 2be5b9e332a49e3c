#include "graniteseam/codec/schema.h"

#include <array>

namespace graniteseam::codec {

namespace internal {

namespace {

/// "graniteseam::control::Kind" -> "graniteseam.control.Kind".
std::string AvroName(std::string_view cpp_name) {
  std::string name;
  for (std::size_t i = 0; i < cpp_name.size(); ++i) {
    if (cpp_name[i] != ':') {
      name += cpp_name[i];
    } else if (i + 1 < cpp_name.size() && cpp_name[i + 1] == ':') {
      name += '.';
    }
  }
  return name;
}

}  // namespace

void SchemaWriter::Primitive(std::string_view name) {
  text_ += '"';
  text_ += name;
  text_ += '"';
}

void SchemaWriter::BeginArray() { text_ += R"({"type": "array", "items": )"; }

void SchemaWriter::EndArray() { text_ += '}'; }

void SchemaWriter::BeginUnion() {
  text_ += '[';
  first_ = true;
}

void SchemaWriter::EndUnion() {
  text_ += ']';
  first_ = false;
}

void SchemaWriter::Branch() { Separate(); }

void SchemaWriter::Separate() {
  if (!first_) text_ += ", ";
  first_ = false;
}

void SchemaWriter::NewLine() {
  text_ += '\n';
  text_.append(2 * depth_, ' ');
}

bool SchemaWriter::BeginNamed(std::string_view cpp_name, std::string_view kind,
                              std::string_view list) {
  const std::string name = AvroName(cpp_name);
  if (!written_.insert(name).second) {
    Primitive(name);
    return false;
  }
  text_ += R"({"type": ")";
  text_ += kind;
  text_ += R"(", "name": ")";
  text_ += name;
  text_ += R"(", ")";
  text_ += list;
  text_ += R"(": [)";
  first_ = true;
  ++depth_;
  return true;
}

bool SchemaWriter::BeginRecord(std::string_view cpp_name) {
  return BeginNamed(cpp_name, "record", "fields");
}

void SchemaWriter::Field(std::string_view name) {
  if (!first_) text_ += ',';
  first_ = false;
  NewLine();
  text_ += R"({"name": ")";
  text_ += name;
  text_ += R"(", "type": )";
}

void SchemaWriter::EndField() {
  text_ += '}';
  first_ = false;
}

void SchemaWriter::EndRecord() {
  text_ += "]}";
  --depth_;
  first_ = false;
}

bool SchemaWriter::BeginEnumeration(std::string_view cpp_name) {
  return BeginNamed(cpp_name, "enum", "symbols");
}

void SchemaWriter::Symbol(std::string_view name) {
  Separate();
  Primitive(name);
}

void SchemaWriter::EndEnumeration() { EndRecord(); }

}  // namespace internal

std::uint64_t Fingerprint(std::string_view schema_text) {
  constexpr std::uint64_t kEmpty = 0xc15d213aa4d7a795ULL;
  constexpr std::size_t kTableSize = 256;
  static const auto kTable = [] {
    std::array<std::uint64_t, kTableSize> table{};
    for (std::size_t i = 0; i < kTableSize; ++i) {
      std::uint64_t value = i;
      for (int bit = 0; bit < 8; ++bit) {
        value = (value >> 1U) ^ (kEmpty & (0 - (value & 1U)));
      }
      table.at(i) = value;
    }
    return table;
  }();
  std::uint64_t fingerprint = kEmpty;
  for (const char c : schema_text) {
    const auto index = (fingerprint ^ static_cast<unsigned char>(c)) & 0xffU;
    fingerprint = (fingerprint >> 8U) ^ kTable.at(index);
  }
  return fingerprint;
}

}  // namespace graniteseam::codec
