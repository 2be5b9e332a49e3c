#include "src/event_http/byte_account.h"

#include <criterion/criterion.h>

#include "src/event_http/framing_limit.h"
#include "src/event_http/rate_meter.h"

using namespace graniteseam;
using namespace graniteseam::event_http;

namespace {

constexpr std::size_t kLimit = std::size_t{16} << 20;
constexpr std::size_t kRoomForLarge = kLimit - ByteAccount::kReservedBytes;

struct Holder : ByteHolder {
  Holder(ByteAccount& to, std::size_t bytes, double rate) : charge(to), bytes_a_second(rate) {
    cr_assert(charge.Set(bytes, ChargeSize::kLarge));
  }
  std::size_t evictable_bytes() const override { return charge.bytes(); }
  double bytes_per_second(Instant) const override { return bytes_a_second; }
  void Evict() override { cr_assert(charge.Set(0, ChargeSize::kLarge)); }

  ByteCharge charge;
  double bytes_a_second;
};

struct Clock {
  Instant now{};
  std::function<Instant()> Reader() {
    return [this] { return now; };
  }
};

}  // namespace

Test(byte_account, returns_what_a_charge_held) {
  ByteAccount account(kLimit);
  {
    ByteCharge charge(account);
    cr_assert(charge.Set(1'000, ChargeSize::kSmall));
    cr_assert(charge.Set(400, ChargeSize::kSmall));
    cr_assert(account.held() == 400);
  }
  cr_assert(account.held() == 0);
}

Test(byte_account, leaves_room_for_small_charges) {
  ByteAccount account(kLimit);
  ByteCharge large(account);
  cr_assert(large.Set(kRoomForLarge, ChargeSize::kLarge));
  cr_assert(!large.Set(kRoomForLarge + 1, ChargeSize::kLarge));
  cr_assert(large.bytes() == kRoomForLarge);
  ByteCharge small(account);
  cr_assert(small.Set(ByteAccount::kReservedBytes, ChargeSize::kSmall));
  cr_assert(!small.Set(ByteAccount::kReservedBytes + 1, ChargeSize::kSmall));
}

Test(byte_account, evicts_who_would_hold_its_bytes_longest) {
  ByteAccount account(kLimit);
  Holder few(account, 1 << 20, 100);
  Holder many(account, 4 << 20, 100);
  Holder moving(account, kRoomForLarge - (5 << 20), ByteAccount::kRateMinimum);
  for (Holder* const holder : {&few, &many, &moving}) account.Add(*holder);
  ByteCharge charge(account);
  cr_assert(charge.Set(2 << 20, ChargeSize::kLarge));
  cr_assert(many.charge.bytes() == 0);
  cr_assert(few.charge.bytes() > 0);
  cr_assert(account.evictions() == 1);
  for (Holder* const holder : {&few, &many, &moving}) account.Remove(*holder);
}

Test(byte_account, evicts_nobody_who_moves_bytes) {
  ByteAccount account(kLimit);
  Holder moving(account, kRoomForLarge, ByteAccount::kRateMinimum);
  account.Add(moving);
  ByteCharge charge(account);
  cr_assert(!charge.Set(1 << 20, ChargeSize::kLarge));
  cr_assert(moving.charge.bytes() == kRoomForLarge);
  account.Remove(moving);
}

Test(byte_account, searches_again_after_an_interval) {
  Clock clock;
  ByteAccount account(kLimit, clock.Reader());
  Holder holder(account, kRoomForLarge, ByteAccount::kRateMinimum);
  account.Add(holder);
  ByteCharge charge(account);
  cr_assert(!charge.Set(1 << 20, ChargeSize::kLarge));
  holder.bytes_a_second = 0;
  cr_assert(!charge.Set(1 << 20, ChargeSize::kLarge));
  clock.now += ByteAccount::kSearchInterval;
  cr_assert(charge.Set(1 << 20, ChargeSize::kLarge));
  account.Remove(holder);
}

// After a stall of the event loop, peers that move bytes seem to move none.
Test(byte_account, evicts_nobody_after_a_late_sweep) {
  Clock clock;
  ByteAccount account(kLimit, clock.Reader());
  Holder holder(account, kRoomForLarge, 0);
  account.Add(holder);
  ByteCharge charge(account);
  account.Sweep(clock.now);
  clock.now += 2 * ByteAccount::kSweepLate;
  cr_assert(!charge.Set(1 << 20, ChargeSize::kLarge));
  account.Sweep(clock.now);
  cr_assert(!charge.Set(1 << 20, ChargeSize::kLarge));
  for (int sweep = 0; sweep < 8; ++sweep) {
    clock.now += ByteAccount::kSweepInterval;
    account.Sweep(clock.now);
  }
  cr_assert(charge.Set(1 << 20, ChargeSize::kLarge));
  account.Remove(holder);
}

Test(byte_account, evicts_nobody_for_its_own_charge) {
  ByteAccount account(kLimit);
  Holder holder(account, kRoomForLarge, 0);
  account.Add(holder);
  cr_assert(!holder.charge.Set(kRoomForLarge + 1, ChargeSize::kLarge, &holder));
  cr_assert(holder.charge.bytes() == kRoomForLarge);
  account.Remove(holder);
}

Test(byte_account, tells_once_that_bytes_were_returned) {
  ByteAccount account(kLimit);
  ByteCharge charge(account);
  cr_assert(charge.Set(2, ChargeSize::kSmall));
  int told = 0;
  account.OnReturn([&] { ++told; });
  cr_assert(charge.Set(1, ChargeSize::kSmall));
  cr_assert(charge.Set(0, ChargeSize::kSmall));
  cr_assert(told == 1);
}

Test(rate_meter, counts_a_peer_as_fast_at_first_and_forgets_what_is_old) {
  RateMeter meter;
  Instant now{};
  meter.Start(now);
  meter.Record(1'000'000, now);
  cr_assert(meter.Rate(now, 7) == 7);
  now += RateMeter::kWindow;
  cr_assert(meter.Rate(now, 7) == 1'000'000);
  now += RateMeter::kWindow;
  cr_assert(meter.Rate(now, 7) == 0);
}

Test(framing_limit, bounds_what_stands_outside_of_the_body) {
  FramingLimit limit;
  limit.Begin(100);
  cr_assert(!limit.Exceeded(60, 0, 40));
  cr_assert(limit.Exceeded(0, 0, 41));
  limit.EndHead();
  cr_assert(!limit.Exceeded(100, 0, 0));
  // Many chunks, each with a short line.
  for (std::size_t body = 1; body < 1'000; ++body) cr_assert(!limit.Exceeded(60, body, 0));
  cr_assert(!limit.Exceeded(100, 999, 0));
  cr_assert(limit.Exceeded(1, 999, 0));
}
