/// @file
/// Keeps short ends of bodies in chunks away from the parser.
#pragma once

#include <cstddef>

namespace graniteseam::runtime {

/// The shortest last chunk with the end of its trailer: "0\r\n\r\n".
constexpr std::size_t kLastChunkBytesMinimum = 5;

/// Whether a parser may be given what is unread of a message. Boost.Beast 1.81 asserts that this
/// many bytes are there once it has seen the line of the last chunk, which aborts the process when
/// "0\r\n" and a single byte have come. With fewer bytes no body in chunks can end.
template <class Parser>
bool MayParseUnread(const Parser& parser, std::size_t unread_bytes) {
  const bool in_chunks = parser.is_header_done() && parser.chunked();
  return !in_chunks || unread_bytes >= kLastChunkBytesMinimum;
}

}  // namespace graniteseam::runtime
