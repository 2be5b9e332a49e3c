/// @file
/// Hexadecimal encoding of bytes.
#pragma once

#include <string>
#include <string_view>

namespace graniteseam {

/// Returns two lower-case hexadecimal digits for each byte.
std::string ToHex(std::string_view bytes);

/// Overload for buffers of unsigned bytes, as libraries return them.
inline std::string ToHex(const unsigned char* bytes, std::size_t count) {
  return ToHex({reinterpret_cast<const char*>(bytes), count});
}

}  // namespace graniteseam
