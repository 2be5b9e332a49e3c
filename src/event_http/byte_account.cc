#include "src/event_http/byte_account.h"

#include <algorithm>
#include <utility>

#include "src/event_http/rate_meter.h"

namespace graniteseam::event_http {

ByteAccount::ByteAccount(std::size_t limit, std::function<Instant()> clock)
    : limit_(limit), clock_(std::move(clock)) {}

bool ByteAccount::Fits(std::size_t bytes, ChargeSize size) const {
  const std::size_t reserved = size == ChargeSize::kLarge ? std::min(kReservedBytes, limit_) : 0;
  return held_ + bytes <= limit_ - reserved;
}

bool ByteAccount::Charge(std::size_t bytes, ChargeSize size, const ByteHolder* requester) {
  while (!Fits(bytes, size)) {
    ByteHolder* const worst = WorstHolder(requester);
    if (worst == nullptr) return false;
    ++evictions_;
    worst->Evict();
  }
  held_ += bytes;
  return true;
}

void ByteAccount::Return(std::size_t bytes) {
  if (bytes == 0) return;
  held_ -= bytes;
  for (const auto& handler : std::exchange(waiting_, {})) handler();
}

void ByteAccount::Sweep(Instant now) {
  if (swept_at_ && now - *swept_at_ > kSweepLate) rates_known_from_ = now + 2 * RateMeter::kWindow;
  swept_at_ = now;
}

void ByteAccount::Add(ByteHolder& holder) { holders_.push_back(&holder); }

void ByteAccount::Remove(const ByteHolder& holder) { std::erase(holders_, &holder); }

void ByteAccount::OnReturn(std::function<void()> handler) {
  waiting_.push_back(std::move(handler));
}

ByteHolder* ByteAccount::WorstHolder(const ByteHolder* requester) {
  const Instant now = clock_();
  const bool is_late = swept_at_ && now - *swept_at_ > kSweepLate;
  if (is_late || now < rates_known_from_ || now < next_search_) return nullptr;
  ByteHolder* worst = nullptr;
  double longest = 0;
  for (ByteHolder* const holder : holders_) {
    const std::size_t bytes = holder->evictable_bytes();
    if (holder == requester || bytes == 0) continue;
    const double rate = holder->bytes_per_second(now);
    if (rate >= kRateMinimum) continue;
    // One byte a second more, so that holders that move nothing are told apart by their bytes.
    const double seconds = static_cast<double>(bytes) / (rate + 1);
    if (seconds <= longest) continue;
    longest = seconds;
    worst = holder;
  }
  if (worst == nullptr) next_search_ = now + kSearchInterval;
  return worst;
}

bool ByteCharge::Set(std::size_t bytes, ChargeSize size, const ByteHolder* requester) {
  if (bytes > bytes_ && !account_->Charge(bytes - bytes_, size, requester)) return false;
  if (bytes < bytes_) account_->Return(bytes_ - bytes);
  bytes_ = bytes;
  return true;
}

std::shared_ptr<ByteCharge> MakeCharge(std::shared_ptr<ByteAccount> account) {
  struct Kept {
    explicit Kept(std::shared_ptr<ByteAccount> of) : account(std::move(of)), charge(*account) {}
    std::shared_ptr<ByteAccount> account;
    ByteCharge charge;
  };
  const auto kept = std::make_shared<Kept>(std::move(account));
  return {kept, &kept->charge};
}

}  // namespace graniteseam::event_http
