#include "src/gateway/shared_retry_budget.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "graniteseam/common/duration_text.h"

namespace graniteseam::gateway {
namespace {

constexpr int kSlicesPerWindow = 20;
/// The part of the ratio in use; the rest is a reserve: requests and their retries do not reach
/// servers at the instant at which they are counted here.
constexpr double kUsableRatio = 0.9;
/// The part of the extra in use. Gateways that control does not reach are not counted by the
/// others: together they may take it twice.
constexpr double kUsableExtra = 0.5;
/// The part of the usable budget that may be saved up for a burst. The rest is what one window
/// adds.
constexpr double kSavedPart = 0.5;
/// After the last refusal. While everything fails, single retries are allowed again and again.
constexpr Duration kAvailableAfter{1'000'000};

}  // namespace

SharedRetryBudget::Slice& SharedRetryBudget::Current(Instant now) {
  while (!slices_.empty() && now - slices_.front().start > limits_.window) slices_.pop_front();
  const Duration length = limits_.window / kSlicesPerWindow;
  if (slices_.empty() || now - slices_.back().start >= length) slices_.push_back({now, 0, 0});
  return slices_.back();
}

SharedRetryBudget::Usage SharedRetryBudget::UsageAt(Instant now) {
  Current(now);
  Usage usage;
  for (const Slice& slice : slices_) {
    usage.requests += slice.requests;
    usage.spent += slice.spent;
  }
  return usage;
}

double SharedRetryBudget::ExtraShare() const {
  return kUsableExtra * limits_.extra / std::max(1U, gateways_);
}

double SharedRetryBudget::Capacity(Instant now) {
  return kSavedPart * (kUsableRatio * limits_.ratio * UsageAt(now).requests + ExtraShare());
}

void SharedRetryBudget::Fill(Instant now) {
  const double windows = ToSeconds(now - filled_at_) / ToSeconds(limits_.window);
  filled_at_ = now;
  tokens_ += (1 - kSavedPart) * ExtraShare() * windows;
  tokens_ = std::min(tokens_, std::max(0.0, Capacity(now) - reserved_));
}

void SharedRetryBudget::CountRequest(std::uint32_t gateways, Instant now) {
  gateways_ = gateways;
  Current(now).requests += 1;
  ++counts_.requests;
  tokens_ += (1 - kSavedPart) * kUsableRatio * limits_.ratio;
  Fill(now);
  EndExhaustion(now);
}

void SharedRetryBudget::WithdrawRequest(Instant counted) {
  tokens_ -= (1 - kSavedPart) * kUsableRatio * limits_.ratio;
  const auto slice = std::find_if(slices_.rbegin(), slices_.rend(),
                                  [&](const Slice& one) { return one.start <= counted; });
  // Older ones have left the window.
  if (slice != slices_.rend()) slice->requests -= 1;
}

bool SharedRetryBudget::Reserve(std::uint32_t gateways, Instant now) {
  gateways_ = gateways;
  Fill(now);
  if (tokens_ < 1) {
    ++counts_.refused;
    last_refused_ = now;
    SetState(RetryBudgetState::kExhausted);
    return false;
  }
  EndExhaustion(now);
  tokens_ -= 1;
  ++counts_.reserved;
  ++reserved_;
  return true;
}

void SharedRetryBudget::Spend(Instant now) {
  // Nothing is saved up in the room that the retry took.
  Fill(now);
  Current(now).spent += 1;
  ++counts_.spent;
  --reserved_;
}

void SharedRetryBudget::Release() {
  tokens_ += 1;
  ++counts_.released;
  --reserved_;
}

void SharedRetryBudget::SetState(RetryBudgetState state) {
  if (state == state_) return;
  state_ = state;
  state_changed_ = true;
}

void SharedRetryBudget::EndExhaustion(Instant now) {
  if (now - last_refused_ >= kAvailableAfter) SetState(RetryBudgetState::kAvailable);
}

std::optional<RetryBudgetState> SharedRetryBudget::TakeStateChange() {
  if (!std::exchange(state_changed_, false)) return std::nullopt;
  return state_;
}

std::string SharedRetryBudget::Describe(Instant now) {
  Fill(now);
  const Usage usage = UsageAt(now);
  std::array<char, 128> text{};
  std::snprintf(text.data(), text.size(),
                "requests %.0f, spent %.0f, reserved %u, tokens %.1f of %.1f, gateways %u",
                usage.requests, usage.spent, reserved_, tokens_, Capacity(now), gateways_);
  return text.data();
}

}  // namespace graniteseam::gateway
