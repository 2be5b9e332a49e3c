/// @file
/// Pseudo-random numbers for routing decisions, reproducible for a given seed.
#pragma once

#include <cstdint>
#include <string>

namespace graniteseam::routing {

/// SplitMix64 (Steele, Lea and Flood 2014).
inline std::uint64_t SplitMix64(std::uint64_t& state) {
  state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = state;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

/// The 16 hexadecimal digits of a number.
inline std::string HexOf(std::uint64_t number) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t i = text.size(); i-- > 0; number >>= 4U) text[i] = kDigits[number & 15U];
  return text;
}

}  // namespace graniteseam::routing
