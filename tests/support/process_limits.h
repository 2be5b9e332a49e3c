/// @file
/// Heap and descriptors of this process, for tests and benchmarks with many connections.
#pragma once

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstddef>

namespace graniteseam::test {

/// Bytes that the heap has handed out.
inline std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Raises the limit of open descriptors as far as the system permits, to `count` at most.
/// @return whether it could be set.
inline bool AllowDescriptors(std::size_t count) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return false;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, count);
  return setrlimit(RLIMIT_NOFILE, &limit) == 0;
}

}  // namespace graniteseam::test
