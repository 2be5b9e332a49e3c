/// @file
/// Hexadecimal text of bytes.
#pragma once

#include <string>
#include <string_view>

namespace graniteseam {

/// Returns two lower-case hexadecimal digits for each byte.
std::string ToHex(std::string_view bytes);

/// The same for bytes that a library gave as unsigned.
inline std::string ToHex(const unsigned char* bytes, std::size_t count) {
  return ToHex({reinterpret_cast<const char*>(bytes), count});
}

}  // namespace graniteseam
