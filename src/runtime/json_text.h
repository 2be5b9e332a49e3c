/// @file
/// Escaping of text for lines of logs.
#pragma once

#include <string>
#include <string_view>

namespace graniteseam::runtime {

/// Escapes text for the inside of a JSON string (RFC 8259, section 7). Bytes that are not UTF-8
/// pass unchanged.
std::string EscapeJson(std::string_view text);

/// Replaces control characters by their JSON escapes; quotes and backslashes stay.
std::string EscapeControlCharacters(std::string_view text);

}  // namespace graniteseam::runtime
