#include "src/runtime/json_text.h"

#include <fmt/core.h>

namespace graniteseam::runtime {
namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

std::string EscapeControl(unsigned char character) {
  switch (character) {
    case '\n':
      return "\\n";
    case '\r':
      return "\\r";
    case '\t':
      return "\\t";
    default:
      return fmt::format("\\u{:04x}", character);
  }
}

std::string Escape(std::string_view text, bool quotes) {
  std::string escaped;
  escaped.reserve(text.size());
  for (const char character : text) {
    const auto code = static_cast<unsigned char>(character);
    if (code < kFirstPrintable || code == kDelete) {
      escaped += EscapeControl(code);
    } else if (quotes && (character == '"' || character == '\\')) {
      escaped += '\\';
      escaped += character;
    } else {
      escaped += character;
    }
  }
  return escaped;
}

}  // namespace

std::string EscapeJson(std::string_view text) { return Escape(text, true); }

std::string EscapeControlCharacters(std::string_view text) { return Escape(text, false); }

}  // namespace graniteseam::runtime
