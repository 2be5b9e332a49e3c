/// @file
/// Frames on an internal connection: four bytes of payload length (big endian), one byte of kind,
/// then the payload. See docs/design/internal-protocol.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "graniteseam/common/error.h"

namespace graniteseam::protocol {

enum class FrameKind : std::uint8_t {
  kHello = 1,      ///< The first frame of each side.
  kMessage = 2,    ///< One Avro-encoded message.
  kRefusal = 3,    ///< Why the sender closes the connection.
  kKeepAlive = 4,  ///< Empty payload: shows that the sender is alive.
};

/// One received frame.
struct Frame {
  FrameKind kind = FrameKind::kMessage;
  std::string payload;
};

inline constexpr std::size_t kFrameHeaderBytes = 5;
/// Holds a whole shard map of 87,000 shards (3.0 MB as encoded) with room to spare.
inline constexpr std::size_t kFramePayloadMaximum = std::size_t{16} << 20;
/// Payload limit until the peer has sent its hello; bounds the memory of unidentified peers.
inline constexpr std::size_t kHelloPayloadMaximum = std::size_t{4} << 10;

/// @param payload at most kFramePayloadMaximum long; see FitsFrame().
std::string EncodeFrame(FrameKind kind, std::string_view payload);

constexpr bool FitsFrame(std::string_view payload) {
  return payload.size() <= kFramePayloadMaximum;
}

/// Parses a byte stream into frames. Memory is bounded by the bytes received, not by the length in
/// a header. Not thread safe.
class FrameReader {
 public:
  /// Frames with a longer payload are refused; at first kHelloPayloadMaximum.
  void set_payload_limit(std::size_t limit) { payload_limit_ = limit; }

  /// Appends the next bytes of the stream.
  void Feed(std::string_view bytes);

  /// Removes and returns the next complete frame.
  /// @return nullopt when it is incomplete; kTooLarge or kMalformedMessage when the stream cannot
  /// be
  ///     parsed further.
  Result<std::optional<Frame>> Next();

  /// Whether a frame has been received in part.
  bool InFrame() const { return buffer_.size() > consumed_; }

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;
  std::size_t payload_limit_ = kHelloPayloadMaximum;
};

}  // namespace graniteseam::protocol
