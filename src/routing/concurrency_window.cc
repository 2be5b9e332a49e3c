#include "graniteseam/routing/concurrency_window.h"

#include <algorithm>

namespace graniteseam::routing {

namespace {

constexpr double kInitialSize = 4.0;
constexpr double kDecrease = 0.8;
constexpr int kLatencySmoothing = 8;
/// Growth is slow from this fraction of the size at which the server last shed.
constexpr double kNearShedSize = 0.75;
/// Factor of slow growth.
constexpr double kSlowGrowth = 1.0 / 16.0;
/// Time since the last shed after which growth is no longer slow.
constexpr Duration kSlowGrowthPeriod{2'000'000};
/// A shed with at most this many requests in flight means that the server accepts no work at all.
constexpr std::uint32_t kAlmostIdle = 1;
constexpr Duration kPauseFirst{20'000};
constexpr Duration kPauseMaximum{500'000};

}  // namespace

ConcurrencyWindow::ConcurrencyWindow(std::uint32_t maximum)
    : maximum_(std::max(1U, maximum)), size_(std::min(kInitialSize, maximum_)) {}

void ConcurrencyWindow::SetMaximum(std::uint32_t maximum) {
  maximum_ = std::max(1U, maximum);
  size_ = std::min(size_, maximum_);
}

std::uint32_t ConcurrencyWindow::AvailableSlots(Instant now) const {
  if (now < paused_until_) return 0;
  const auto places = static_cast<std::uint32_t>(size_);
  return places > in_flight_ ? places - in_flight_ : 0;
}

void ConcurrencyWindow::OnAnswered(Duration latency, Instant now) {
  // Answers while the window is mostly unused give no evidence of the server's capacity.
  const bool in_use = static_cast<double>(in_flight_) >= size_ * 0.5;
  if (in_use) size_ = std::min(maximum_, size_ + Growth(now));
  pause_ = Duration{0};
  paused_until_ = Instant{};
  latency_ += (latency - latency_) / kLatencySmoothing;
  ReleaseSlot();
}

void ConcurrencyWindow::OnShed(Instant now) {
  has_shed_ = true;
  if (in_flight_ <= kAlmostIdle) Pause(now);
  if (shrunk_at_ == Instant{} || now - shrunk_at_ >= latency_) {
    shed_size_ = std::min(size_, static_cast<double>(in_flight_));
    size_ = std::max(1.0, shed_size_ * kDecrease);
    shrunk_at_ = now;
  }
  ReleaseSlot();
}

void ConcurrencyWindow::OnEnded() { ReleaseSlot(); }

double ConcurrencyWindow::Growth(Instant now) const {
  if (!has_shed_) return 1.0;
  const bool near = size_ >= shed_size_ * kNearShedSize && now - shrunk_at_ < kSlowGrowthPeriod;
  return (near ? kSlowGrowth : 1.0) / size_;
}

void ConcurrencyWindow::Pause(Instant now) {
  if (now < paused_until_) return;
  pause_ = std::clamp(2 * pause_, kPauseFirst, kPauseMaximum);
  paused_until_ = now + pause_;
}

void ConcurrencyWindow::ReleaseSlot() {
  if (in_flight_ > 0) --in_flight_;
}

}  // namespace graniteseam::routing
