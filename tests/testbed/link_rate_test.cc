#include "testbed/fleet/link_rate.h"

#include <criterion/criterion.h>

#include "testbed/fleet/retransmission.h"

using namespace graniteseam;
using namespace graniteseam::testbed;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
constexpr Duration kMs{1'000};

}  // namespace

Test(link_rate, bytes_wait_for_those_before_them) {
  LinkRate link(100'000);
  cr_assert(link.Send(1'000, kStart) == kStart + 10 * kMs);
  cr_assert(link.Send(1'000, kStart + 4 * kMs) == kStart + 20 * kMs);
  cr_assert(link.longest_wait() == 6 * kMs);
  cr_assert(link.Send(1'000, kStart + 50 * kMs) == kStart + 60 * kMs,
            "an idle link saves nothing up");
}

Test(retransmission, timeout_doubles) {
  cr_assert(next_retransmission(kStart, kStart) == kStart + 200 * kMs);
  cr_assert(next_retransmission(kStart, kStart + 201 * kMs) == kStart + 600 * kMs);
  cr_assert(next_retransmission(kStart, kStart + 3'100 * kMs) == kStart + 6'200 * kMs);
}
