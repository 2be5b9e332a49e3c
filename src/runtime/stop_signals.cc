#include "src/runtime/stop_signals.h"

#include <poll.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstdlib>

#include "src/runtime/clock.h"

namespace graniteseam::runtime {

StopSignals::StopSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t taken;
  sigemptyset(&taken);
  sigaddset(&taken, SIGTERM);
  sigaddset(&taken, SIGINT);
  sigaddset(&taken, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &taken, nullptr);
  signal_descriptor_ = signalfd(-1, &taken, SFD_CLOEXEC);
  request_descriptor_ = eventfd(0, EFD_CLOEXEC);
  // Without descriptors at the very start of a program nothing else would work either.
  if (signal_descriptor_ < 0 || request_descriptor_ < 0) std::abort();
}

StopSignals::~StopSignals() {
  close(signal_descriptor_);
  close(request_descriptor_);
}

void StopSignals::Wait() {
  while (!WaitFor(std::chrono::hours(1))) {
  }
}

bool StopSignals::WaitFor(Duration limit) {
  const Instant end = BootTimeNow() + limit;
  std::array<pollfd, 2> sources{
      {{signal_descriptor_, POLLIN, 0}, {request_descriptor_, POLLIN, 0}}};
  while (!stop_asked_) {
    const Duration left = end - BootTimeNow();
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(std::max(left, Duration(0)));
    const int ready = poll(sources.data(), sources.size(), static_cast<int>(wait.count()));
    if (ready > 0 && sources[1].revents != 0) stop_asked_ = true;
    if (ready > 0 && sources[0].revents != 0) TakeSignal();
    if (ready == 0) break;
    if (ready < 0 && errno != EINTR) std::abort();
  }
  return stop_asked_;
}

void StopSignals::TakeSignal() {
  signalfd_siginfo signal{};
  if (read(signal_descriptor_, &signal, sizeof(signal)) != sizeof(signal)) return;
  if (signal.ssi_signo != SIGHUP) {
    stop_asked_ = true;
  } else if (reload_) {
    reload_();
  }
}

void StopSignals::RequestStop() {
  const std::uint64_t one = 1;
  // The counter only overflows after 2^64 - 1 requests.
  [[maybe_unused]] const ssize_t written = write(request_descriptor_, &one, sizeof(one));
}

}  // namespace graniteseam::runtime
