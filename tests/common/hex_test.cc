#include "graniteseam/common/hex.h"

#include <criterion/criterion.h>

using graniteseam::ToHex;

Test(hex, writes_two_digits_for_each_byte) {
  cr_assert(ToHex("").empty());
  cr_assert(ToHex(std::string_view("\x00\x0f\xa0\xff", 4)) == "000fa0ff");
  const unsigned char bytes[] = {0x12, 0xef};
  cr_assert(ToHex(bytes, 2) == "12ef");
}
