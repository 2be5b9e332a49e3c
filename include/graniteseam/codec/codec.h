/// @file
/// Typed encoding of described structs in Avro's binary form (Apache Avro 1.11 specification) over
/// avro-c. The schema is derived from the description; type_traits.h lists the supported types.
#pragma once

#include <string>
#include <string_view>

#include "graniteseam/codec/value_binding.h"
#include "graniteseam/common/error.h"

namespace graniteseam::codec {

/// Largest encoded value in bytes; longer input is refused before it is decoded.
inline constexpr std::size_t kEncodedBytesMaximum = 256UL << 20U;

/// Decoded array elements may take this many bytes per byte of input, plus a constant allowance.
/// This bounds the memory that a malicious input can cause to be allocated by the input's own
/// length.
inline constexpr std::size_t kDecodedBytesPerInputByte = 128;
inline constexpr std::size_t kDecodedBytesAllowance = 64UL << 10U;

namespace internal {

std::string EncodeValue(avro_value_t value);
Result<void> DecodeValue(std::string_view bytes, avro_value_t value);

}  // namespace internal

/// Encodes a value. Thread safe. Aborts the program on an enumerator that is not described, which
/// is a defect.
template <class T>
std::string Encode(const T& object) {
  avro_value_t value;
  internal::Bind(object, &value);
  return internal::EncodeValue(value);
}

/// Decodes `bytes`, which hold exactly one value. Thread safe; memory is bounded by the input's
/// length.
/// @return kMalformedMessage when the bytes are not exactly one encoded T, kTooLarge beyond
///     kEncodedBytesMaximum.
template <class T>
Result<T> Decode(std::string_view bytes) {
  T object{};
  avro_value_t value;
  internal::Bind(object, &value);
  BOOST_LEAF_CHECK(internal::DecodeValue(bytes, value));
  return object;
}

}  // namespace graniteseam::codec
