#include <criterion/criterion.h>

#include "src/runtime/clock.h"
#include "testbed/server/hints.h"
#include "testbed/server/lease_messages.h"
#include "testbed/server/slots.h"

using graniteseam::Attempt;
using graniteseam::Duration;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::InstantFromMicros;
using graniteseam::runtime::BootTimeNow;
using namespace graniteseam::testbed;

namespace {

bool Never() { return false; }

}  // namespace

Test(server, full_slots_shed_what_the_queue_does_not_take) {
  Slots slots(1, 0);
  cr_assert(slots.Acquire(BootTimeNow(), Never) == Slots::Answer::kAcquired);
  cr_assert(slots.Acquire(BootTimeNow(), Never) == Slots::Answer::kShed);
  cr_assert(slots.Load() == 1.0);
  slots.Release();
  cr_assert(slots.Acquire(BootTimeNow(), Never) == Slots::Answer::kAcquired);
}

Test(server, waiting_request_gives_up_at_its_deadline_or_when_cancelled) {
  Slots slots(1, 1);
  slots.Acquire(BootTimeNow(), Never);
  cr_assert(slots.Acquire(BootTimeNow(), Never) == Slots::Answer::kDeadlinePassed);
  const auto late = BootTimeNow() + std::chrono::hours(1);
  cr_assert(slots.Acquire(late, [] { return true; }) == Slots::Answer::kCancelled);
  cr_assert(slots.Busy() == 1);
}

Test(server, hints_tell_the_past) {
  LaggingHints hints(Duration(100));
  const auto tell = [&](double load, std::int64_t at) {
    return hints.Exchange(Hint{true, load, 0}, InstantFromMicros(at)).load;
  };
  cr_assert(tell(0.1, 0) == 0.1);
  cr_assert(tell(0.9, 50) == 0.1);
  cr_assert(tell(0.5, 149) == 0.1);
  cr_assert(tell(0.5, 150) == 0.9);
}

Test(server, lease_request_is_read_as_the_page_says) {
  const auto parsed = Attempt([] {
    return ParseLeaseRequest(R"({"server": "a", "term": 3, "sequence": 8, "incarnation": null,
        "valid_until_us": 77, "base_version": 1, "target_version": 2,
        "grants": [{"service": "meters", "shard": 5, "epoch": 6}], "revocations": []})");
  });
  cr_assert(ErrorOf(parsed) == nullptr);
  const auto& request = std::get<graniteseam::lease::LeaseRequest>(parsed);
  cr_assert(request.order.term.value == 3 && request.order.sequence == 8);
  cr_assert_not(request.incarnation);
  cr_assert(request.valid_until == InstantFromMicros(77));
  cr_assert(request.grants.size() == 1 && request.grants[0].epoch.value == 6);
}

Test(server, malformed_lease_request_is_refused) {
  for (const std::string body : {"", "{}", "[]", R"({"server": 3})"}) {
    const auto parsed = Attempt([&] { return ParseLeaseRequest(body); });
    cr_assert(ErrorOf(parsed) != nullptr);
    cr_assert(ErrorOf(parsed)->kind == ErrorKind::kMalformedMessage);
  }
}
