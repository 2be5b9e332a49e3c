#include "src/gateway/probe_policy.h"

#include <criterion/criterion.h>

using namespace graniteseam;
using namespace graniteseam::gateway;

namespace {

constexpr Instant kNow = InstantFromMicros(1'000'000'000);
constexpr Duration kSecond{1'000'000};
const ServiceName kPool{"pool"};

ProbePolicy Told() {
  ProbePolicy policy{ProbeOptions{}};
  ReportedLoad load{1, 0, 3};
  load.work_percent = 100;
  policy.note_answer(kPool, load, kNow);
  return policy;
}

}  // namespace

Test(probe_policy, applies_once_servers_tell_how_long_work_takes_and_while_they_do) {
  ProbePolicy policy{ProbeOptions{}};
  cr_assert(!policy.applies(kPool, kNow));
  policy.note_answer(kPool, {1, 0, 3}, kNow);
  cr_assert(!policy.applies(kPool, kNow), "three figures are no sign");
  cr_assert(Told().applies(kPool, kNow + kSecond));
  cr_assert(!Told().applies({"other"}, kNow + kSecond));
  cr_assert(!Told().applies(kPool, kNow + 31 * kSecond));
}

Test(probe_policy, rests_where_most_probes_are_slow_and_comes_back) {
  ProbePolicy policy = Told();
  for (int probe = 0; probe < 100; ++probe) policy.note_probe(kPool, kSecond, kNow);
  cr_assert(!policy.applies(kPool, kNow + kSecond));
  cr_assert(policy.applies(kPool, kNow + 11 * kSecond));
}

Test(probe_policy, few_silent_servers_do_not_stop_it) {
  ProbePolicy policy = Told();
  for (int probe = 0; probe < 1'000; ++probe) {
    policy.note_probe(kPool, probe % 5 == 0 ? kSecond : Duration{5'000}, kNow);
    cr_assert(policy.applies(kPool, kNow));
  }
}

Test(probe_policy, can_be_switched_off) {
  ProbeOptions none;
  none.per_request = 0;
  ProbePolicy policy(none);
  ReportedLoad load{1, 0, 3};
  load.work_percent = 100;
  policy.note_answer(kPool, load, kNow);
  cr_assert(!policy.applies(kPool, kNow));
}
