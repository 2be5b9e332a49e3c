/// @file
/// Listens at an address that a stand-in before may just be leaving.
#pragma once

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "graniteseam/common/error.h"
#include "src/runtime/clock.h"

namespace graniteseam::testbed {

/// Tries until it listens, and ends the program when it does not within five seconds. The socket of
/// the one before at the address may live for a moment more, in a process that is just being
/// started and has not closed yet what it inherited.
/// @param who listens, for the message.
/// @param listen one attempt, which returns a Result.
template <class Listen>
auto ListenOnceFree(std::string const& who, Listen const& listen) -> void {
  constexpr Duration kLimit{5'000'000};
  constexpr auto kPause = std::chrono::milliseconds(5);
  auto const end = runtime::BootTimeNow() + kLimit;
  for (;;) {
    auto const started = Attempt(listen);
    auto const* error = ErrorOf(started);
    if (error == nullptr) return;
    if (runtime::BootTimeNow() >= end) {
      std::fprintf(stderr, "%s: %s\n", who.c_str(), error->message.c_str());
      std::abort();
    }
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace graniteseam::testbed
