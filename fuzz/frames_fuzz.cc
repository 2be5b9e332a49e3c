/// @file
/// Frames on internal connections: any bytes, in pieces of any size.
#include <algorithm>
#include <string_view>

#include "fuzz/fuzz_target.h"
#include "src/protocol/frame.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace graniteseam;
  if (size == 0) return 0;
  const std::size_t piece = data[0] + std::size_t{1};
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  protocol::FrameReader reader;
  for (std::size_t begin = 0; begin < bytes.size(); begin += piece) {
    reader.Feed(bytes.substr(begin, piece));
    for (bool more = true; more;) {
      const auto frame = Attempt([&] { return reader.Next(); });
      if (ErrorOf(frame) != nullptr) return 0;
      more = std::get<std::optional<protocol::Frame>>(frame).has_value();
    }
  }
  return 0;
}
