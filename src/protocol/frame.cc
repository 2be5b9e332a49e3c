#include "src/protocol/frame.h"

namespace graniteseam::protocol {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

std::size_t DecodeLength(std::string_view header) {
  std::size_t length = 0;
  for (std::size_t index = 0; index < kLengthBytes; ++index) {
    length = (length << kBitsPerByte) | static_cast<unsigned char>(header[index]);
  }
  return length;
}

bool IsKnownKind(unsigned char kind) {
  return kind >= static_cast<unsigned char>(FrameKind::kHello) &&
         kind <= static_cast<unsigned char>(FrameKind::kKeepAlive);
}

}  // namespace

std::string EncodeFrame(FrameKind kind, std::string_view payload) {
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  for (std::size_t index = kLengthBytes; index > 0; --index) {
    frame += static_cast<char>((payload.size() >> (kBitsPerByte * (index - 1))) & 0xffU);
  }
  frame += static_cast<char>(kind);
  frame += payload;
  return frame;
}

void FrameReader::Feed(std::string_view bytes) {
  buffer_.erase(0, consumed_);
  consumed_ = 0;
  buffer_ += bytes;
}

Result<std::optional<Frame>> FrameReader::Next() {
  const std::string_view waiting = std::string_view(buffer_).substr(consumed_);
  if (waiting.size() < kFrameHeaderBytes) return std::optional<Frame>();
  const std::size_t length = DecodeLength(waiting);
  const auto kind = static_cast<unsigned char>(waiting[kLengthBytes]);
  if (!IsKnownKind(kind)) {
    return Fail(ErrorKind::kMalformedMessage,
                "The frame kind is unknown: " + std::to_string(kind) + ".",
                "Connect only graniteseam's own processes to this port.");
  }
  if (length > payload_limit_) {
    return Fail(ErrorKind::kTooLarge,
                "A frame of " + std::to_string(length) + " bytes exceeds the limit of " +
                    std::to_string(payload_limit_) + ".",
                "Connect only graniteseam's own processes to this port.");
  }
  if (waiting.size() < kFrameHeaderBytes + length) return std::optional<Frame>();
  Frame frame{static_cast<FrameKind>(kind), std::string(waiting.substr(kFrameHeaderBytes, length))};
  consumed_ += kFrameHeaderBytes + length;
  return std::optional<Frame>(std::move(frame));
}

}  // namespace graniteseam::protocol
