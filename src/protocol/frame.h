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
  kKeepAlive = 4,  ///< Empty: the sender is there.
};

struct Frame {
  FrameKind kind = FrameKind::kMessage;
  std::string payload;
};

inline constexpr std::size_t kFrameHeaderBytes = 5;
/// Holds a whole shard map of 87,000 shards (3.0 MB as encoded) with room to spare.
inline constexpr std::size_t kFramePayloadMaximum = std::size_t{16} << 20;
/// Until a peer said hello it gets no more memory than this.
inline constexpr std::size_t kHelloPayloadMaximum = std::size_t{4} << 10;

/// @param payload at most kFramePayloadMaximum long; see FitsFrame().
std::string EncodeFrame(FrameKind kind, std::string_view payload);

constexpr bool FitsFrame(std::string_view payload) {
  return payload.size() <= kFramePayloadMaximum;
}

/// Cuts a stream of bytes into frames. Memory is bounded by what arrived, never by what a header
/// claims. Not thread safe.
class FrameReader {
 public:
  /// Frames with a longer payload are refused; at first kHelloPayloadMaximum.
  void set_payload_limit(std::size_t limit) { payload_limit_ = limit; }

  /// Takes the next bytes of the stream.
  void Feed(std::string_view bytes);

  /// Takes the next whole frame out.
  /// @return nullopt when it has not arrived yet; kTooLarge or kMalformedMessage when the stream
  ///     can not go on.
  Result<std::optional<Frame>> Next();

  /// Whether a frame has begun to arrive and is not whole.
  bool InFrame() const { return buffer_.size() > consumed_; }

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;
  std::size_t payload_limit_ = kHelloPayloadMaximum;
};

}  // namespace graniteseam::protocol
