#include "graniteseam/routing/concurrency_window.h"

#include <algorithm>

namespace graniteseam::routing {

namespace {

constexpr double kInitialSize = 4.0;
constexpr double kDecrease = 0.8;
constexpr int kLatencySmoothing = 8;

}  // namespace

ConcurrencyWindow::ConcurrencyWindow(std::uint32_t maximum)
    : maximum_(std::max(1U, maximum)), size_(std::min(kInitialSize, maximum_)) {}

void ConcurrencyWindow::SetMaximum(std::uint32_t maximum) {
  maximum_ = std::max(1U, maximum);
  size_ = std::min(size_, maximum_);
}

std::uint32_t ConcurrencyWindow::Room() const {
  const auto places = static_cast<std::uint32_t>(size_);
  return places > in_flight_ ? places - in_flight_ : 0;
}

void ConcurrencyWindow::OnAnswered(Duration latency) {
  // A window that is not in use says nothing about the server's capacity.
  const bool in_use = static_cast<double>(in_flight_) >= size_ * 0.5;
  if (in_use) size_ = std::min(maximum_, size_ + (has_shed_ ? 1.0 / size_ : 1.0));
  latency_ += (latency - latency_) / kLatencySmoothing;
  Leave();
}

void ConcurrencyWindow::OnShed(Instant now) {
  has_shed_ = true;
  if (shrunk_at_ == Instant{} || now - shrunk_at_ >= latency_) {
    size_ = std::max(1.0, std::min(size_, static_cast<double>(in_flight_)) * kDecrease);
    shrunk_at_ = now;
  }
  Leave();
}

void ConcurrencyWindow::OnEnded() { Leave(); }

void ConcurrencyWindow::Leave() {
  if (in_flight_ > 0) --in_flight_;
}

}  // namespace graniteseam::routing
