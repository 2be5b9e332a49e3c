#include "src/runtime/clock.h"

#include <sys/random.h>

#include <cerrno>
#include <cstdlib>
#include <ctime>

namespace graniteseam::runtime {

namespace {

Duration Read(clockid_t clock) {
  timespec reading{};
  // Fails only for an unknown clock or a bad pointer; neither can happen here.
  clock_gettime(clock, &reading);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(reading.tv_sec) +
                                              std::chrono::nanoseconds(reading.tv_nsec));
}

}  // namespace

Instant BootTimeNow() { return Instant(Read(CLOCK_BOOTTIME)); }

Duration SuspendedTime() { return Read(CLOCK_BOOTTIME) - Read(CLOCK_MONOTONIC); }

std::int64_t WallMillis() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

std::uint64_t RandomBits() {
  std::uint64_t bits = 0;
  ssize_t taken = 0;
  do {
    taken = getrandom(&bits, sizeof(bits), 0);
  } while (taken < 0 && errno == EINTR);
  // Requests of up to 256 bytes are never cut short once the kernel's source is ready.
  if (taken != static_cast<ssize_t>(sizeof(bits))) std::abort();
  return bits;
}

}  // namespace graniteseam::runtime
