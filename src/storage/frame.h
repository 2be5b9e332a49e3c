/// @file
/// Checksummed frames, the unit of storage writes and syncs.
///
/// | bytes | content |
/// | --- | --- |
/// | 4 | magic "GSF1" |
/// | 4 | length of the payload; all numbers are little endian |
/// | 8 | sequence number; consecutive in the frames of the log |
/// | 4 | CRC-32C of the payload |
/// | 4 | CRC-32C of the 20 bytes before |
/// | n | payload |
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace graniteseam::storage {

inline constexpr std::size_t kFrameHeaderBytes = 24;

/// Encodes a frame with a payload of less than 4 GiB.
std::string EncodeFrame(std::uint64_t sequence, std::string_view payload);

/// Result of reading a frame.
enum class FrameState {
  kValid,      ///< Header and payload pass their checksums.
  kTruncated,  ///< The input ends before the frame; its header is valid, or truncated as well.
  kCorrupt,    ///< A checksum or the magic is wrong.
};

/// A decoded frame.
struct Frame {
  FrameState state = FrameState::kTruncated;
  std::uint64_t sequence = 0;
  std::string_view payload;  ///< Refers to the input bytes.

  std::size_t Bytes() const { return kFrameHeaderBytes + payload.size(); }
};

/// Decodes the frame at the start of `bytes`.
Frame ReadFrame(std::string_view bytes);

/// Whether `bytes` contains, at any offset, a valid frame with a sequence above `sequence`.
bool HasLaterFrame(std::string_view bytes, std::uint64_t sequence);

}  // namespace graniteseam::storage
