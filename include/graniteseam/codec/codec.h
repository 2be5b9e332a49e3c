/// @file
/// Typed encoding of described structs in Avro's binary form (Apache Avro 1.11 specification) over
/// avro-c. The schema is derived from the description; see type_traits.h for the types taken.
#pragma once

#include <string>
#include <string_view>

#include "graniteseam/codec/value_binding.h"
#include "graniteseam/common/error.h"

namespace graniteseam::codec {

/// Input longer than this is refused before it is read.
inline constexpr std::size_t kEncodedBytesMaximum = 256UL << 20U;

/// Decoded array elements may take this many times the input's length, plus a constant: what a
/// hostile input can claim is bounded by what it sent.
inline constexpr std::size_t kDecodedBytesPerInputByte = 128;
inline constexpr std::size_t kDecodedBytesAllowance = 64UL << 10U;

namespace internal {

std::string EncodeValue(avro_value_t value);
Result<void> DecodeValue(std::string_view bytes, avro_value_t value);

}  // namespace internal

/// Encodes a value. Thread safe. Enumerators that are not described are a defect and end the
/// program.
template <class T>
std::string Encode(const T& object) {
  avro_value_t value;
  internal::Bind(object, &value);
  return internal::EncodeValue(value);
}

/// Decodes exactly one value that fills `bytes`. Thread safe; memory bounded by the input's length.
/// @return kMalformedMessage when the bytes are not one whole T, kTooLarge beyond
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
