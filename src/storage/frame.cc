#include "src/storage/frame.h"

#include <boost/crc.hpp>

namespace graniteseam::storage {
namespace {

constexpr std::string_view kMagic = "GSF1";
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kSequenceOffset = 8;
constexpr std::size_t kPayloadChecksumOffset = 16;
constexpr std::size_t kHeaderChecksumOffset = 20;

std::uint32_t Checksum(std::string_view bytes) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;  // CRC-32C
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

void AppendNumber(std::string& bytes, std::uint64_t number, int width) {
  for (int byte = 0; byte < width; ++byte) {
    bytes += static_cast<char>(number >> (8U * static_cast<unsigned>(byte)));
  }
}

std::uint64_t NumberAt(std::string_view bytes, std::size_t offset, int width) {
  std::uint64_t number = 0;
  for (int byte = width - 1; byte >= 0; --byte) {
    number =
        number << 8U | static_cast<unsigned char>(bytes[offset + static_cast<std::size_t>(byte)]);
  }
  return number;
}

}  // namespace

std::string EncodeFrame(std::uint64_t sequence, std::string_view payload) {
  std::string frame(kMagic);
  frame.reserve(kFrameHeaderBytes + payload.size());
  AppendNumber(frame, payload.size(), 4);
  AppendNumber(frame, sequence, 8);
  AppendNumber(frame, Checksum(payload), 4);
  AppendNumber(frame, Checksum(frame), 4);
  frame += payload;
  return frame;
}

Frame ReadFrame(std::string_view bytes) {
  if (bytes.size() < kFrameHeaderBytes) return {};
  const bool header_valid =
      bytes.starts_with(kMagic) &&
      NumberAt(bytes, kHeaderChecksumOffset, 4) == Checksum(bytes.substr(0, kHeaderChecksumOffset));
  if (!header_valid) return {FrameState::kCorrupt, 0, {}};
  const std::uint64_t sequence = NumberAt(bytes, kSequenceOffset, 8);
  const std::uint64_t length = NumberAt(bytes, kLengthOffset, 4);
  if (bytes.size() - kFrameHeaderBytes < length) return {FrameState::kTruncated, sequence, {}};
  const std::string_view payload = bytes.substr(kFrameHeaderBytes, length);
  const bool valid = Checksum(payload) == NumberAt(bytes, kPayloadChecksumOffset, 4);
  return {valid ? FrameState::kValid : FrameState::kCorrupt, sequence, payload};
}

bool HasLaterFrame(std::string_view bytes, std::uint64_t sequence) {
  for (auto at = bytes.find(kMagic); at != std::string_view::npos;
       at = bytes.find(kMagic, at + 1)) {
    const Frame frame = ReadFrame(bytes.substr(at));
    if (frame.state == FrameState::kValid && frame.sequence > sequence) return true;
  }
  return false;
}

}  // namespace graniteseam::storage
