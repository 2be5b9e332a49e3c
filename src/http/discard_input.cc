#include "src/http/discard_input.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>

namespace graniteseam::http {

void DiscardInput(int descriptor) {
  constexpr int kReadsMaximum = 64;
  constexpr int kPauseMs = 200;
  std::array<char, 16384> buffer;
  ::shutdown(descriptor, SHUT_WR);
  for (int reads = 0; reads < kReadsMaximum; ++reads) {
    pollfd poll_entry{descriptor, POLLIN, 0};
    if (::poll(&poll_entry, 1, kPauseMs) <= 0) return;
    if (::recv(descriptor, buffer.data(), buffer.size(), 0) <= 0) return;
  }
}

}  // namespace graniteseam::http
