/// @file
/// Operation ids for tests.
#pragma once

#include <cstdint>
#include <cstdio>

#include "graniteseam/common/ids.h"

namespace graniteseam::test {

/// A UUID of version 7 for a time in milliseconds since 1970; `number` tells ids of one time apart.
inline OperationId IdAt(std::int64_t time_ms, unsigned int number = 0) {
  char text[37];
  const auto time = static_cast<unsigned long long>(time_ms);
  std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012x", time >> 16, time & 0xffff,
                number);
  return {text};
}

}  // namespace graniteseam::test
