/// @file
/// The bytes that a process holds for its peers, and their limit.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "graniteseam/common/time.h"
#include "src/runtime/clock.h"

namespace graniteseam::event_http {

/// A connection whose peer decides how long this process holds bytes: of a body that it has not
/// sent whole, or of a response that it has not read.
class ByteHolder {
 public:
  virtual ~ByteHolder() = default;

  /// Bytes that Evict() returns; 0 while it must not be evicted.
  virtual std::size_t evictable_bytes() const = 0;
  /// Bytes a second that the peer has lately sent or read.
  virtual double bytes_per_second(Instant now) const = 0;
  /// Ends the exchange and returns its bytes before it returns itself.
  virtual void Evict() = 0;
};

/// What bytes are charged for.
enum class ChargeSize {
  kSmall,  ///< Heads and short bodies.
  kLarge,  ///< May not use the part of the limit that is reserved for small ones.
};

/// Counts the bytes of all connections that share it. Where a charge does not fit, it evicts the
/// holders that would keep their bytes longest: those with most bytes for the rate at which they
/// move them. A peer that moves kRateMinimum is never evicted, so that a slow link is no reason.
///
/// Not thread safe; all connections that share it run on one event loop.
class ByteAccount {
 public:
  /// A tenth of a link of 2 Mbit/s.
  static constexpr double kRateMinimum = 25'000;
  static constexpr Duration kSweepInterval{250'000};
  /// A later sweep is late.
  static constexpr Duration kSweepLate{1'000'000};
  /// Between two searches for a holder where the first one found none: each looks at all of them.
  static constexpr Duration kSearchInterval{50'000};
  /// Room that large bodies leave to others.
  static constexpr std::size_t kReservedBytes = std::size_t{4} << 20;

  explicit ByteAccount(std::size_t limit, std::function<Instant()> clock = runtime::BootTimeNow);
  ByteAccount(const ByteAccount&) = delete;
  ByteAccount& operator=(const ByteAccount&) = delete;

  /// Charges bytes, evicting holders where there is no room.
  /// @param requester is not evicted for itself; may be null.
  /// @return false when there is no room; nothing is charged then.
  bool Charge(std::size_t bytes, ChargeSize size, const ByteHolder* requester = nullptr);
  void Return(std::size_t bytes);

  /// A holder must be removed before it is destroyed.
  void Add(ByteHolder& holder);
  void Remove(const ByteHolder& holder);

  /// To be called each kSweepInterval. After a late call nobody is evicted for two windows of
  /// RateMeter: what peers moved meanwhile was not counted.
  void Sweep(Instant now);

  /// Calls `handler` once, when bytes are next returned. It is called from within Return(), so it
  /// must post what charges.
  void OnReturn(std::function<void()> handler);

  std::size_t held() const { return held_; }
  std::size_t limit() const { return limit_; }
  std::uint64_t evictions() const { return evictions_; }

 private:
  ByteHolder* WorstHolder(const ByteHolder* requester);
  bool Fits(std::size_t bytes, ChargeSize size) const;

  const std::size_t limit_;
  const std::function<Instant()> clock_;
  std::size_t held_ = 0;
  std::uint64_t evictions_ = 0;
  std::vector<ByteHolder*> holders_;
  Instant next_search_{};       ///< Not before, since no holder was slow enough.
  Instant rates_known_from_{};  ///< Rates of holders mean something from then on.
  std::optional<Instant> swept_at_;
  std::vector<std::function<void()>> waiting_;
};

/// Bytes charged to an account until it is destroyed. Must not outlive the account.
class ByteCharge {
 public:
  explicit ByteCharge(ByteAccount& account) : account_(&account) {}
  ~ByteCharge() { account_->Return(bytes_); }
  ByteCharge(const ByteCharge&) = delete;
  ByteCharge& operator=(const ByteCharge&) = delete;

  /// Charges what `bytes` is more than before, or returns what it is less.
  /// @return false when there is no room for more; the charge stays what it was.
  bool Set(std::size_t bytes, ChargeSize size, const ByteHolder* requester = nullptr);
  std::size_t bytes() const { return bytes_; }

 private:
  ByteAccount* account_;
  std::size_t bytes_ = 0;
};

/// A charge that keeps its account.
std::shared_ptr<ByteCharge> MakeCharge(std::shared_ptr<ByteAccount> account);

}  // namespace graniteseam::event_http
