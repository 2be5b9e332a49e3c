#include "graniteseam/common/hex.h"

namespace graniteseam {

std::string ToHex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * bytes.size());
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> 4U];
    text += kDigits[value & 0x0fU];
  }
  return text;
}

}  // namespace graniteseam
