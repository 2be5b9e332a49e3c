#include "src/runtime/heap.h"

#include <cstdlib>  // Defines __GLIBC__.

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace graniteseam::runtime {

void ReturnFreedMemory() {
#ifdef __GLIBC__
  constexpr int kMappedBytesMinimum = 128 << 10;
  constexpr int kFreeBytesKept = 128 << 10;
  constexpr int kArenas = 2;
  // A threshold that is set stays; glibc's own one grows with each large block that is freed.
  mallopt(M_MMAP_THRESHOLD, kMappedBytesMinimum);
  mallopt(M_TRIM_THRESHOLD, kFreeBytesKept);
  mallopt(M_ARENA_MAX, kArenas);
#endif
}

}  // namespace graniteseam::runtime
