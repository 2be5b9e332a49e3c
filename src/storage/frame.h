/// @file
/// Checksummed frames: the unit in which storage writes and syncs.
///
/// | bytes | what |
/// | --- | --- |
/// | 4 | magic "GSF1" |
/// | 4 | length of the payload, little endian like all numbers here |
/// | 8 | sequence number; the next frame of the log has the next one |
/// | 4 | CRC-32C of the payload |
/// | 4 | CRC-32C of the 20 bytes before |
/// | n | payload |
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace graniteseam::storage {

inline constexpr std::size_t kFrameHeaderBytes = 24;

/// Frames a payload of less than 4 GiB.
std::string EncodeFrame(std::uint64_t sequence, std::string_view payload);

enum class FrameState {
  kValid,      ///< Header and payload are sound.
  kTruncated,  ///< The bytes end before the frame does; its header is sound, or cut as well.
  kCorrupt,    ///< A checksum or the magic is wrong.
};

struct Frame {
  FrameState state = FrameState::kTruncated;
  std::uint64_t sequence = 0;
  std::string_view payload;  ///< Points into the bytes read.

  std::size_t Bytes() const { return kFrameHeaderBytes + payload.size(); }
};

/// Reads the frame at the start of `bytes`.
Frame ReadFrame(std::string_view bytes);

/// Whether any whole frame with a sequence above `sequence` begins somewhere in `bytes`.
bool HasLaterFrame(std::string_view bytes, std::uint64_t sequence);

}  // namespace graniteseam::storage
