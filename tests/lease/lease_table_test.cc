#include "graniteseam/lease/lease_table.h"

#include <criterion/criterion.h>

#include <map>

#include "graniteseam/lease/fenced_owner.h"

using graniteseam::Duration;
using graniteseam::Epoch;
using graniteseam::Incarnation;
using graniteseam::Instant;
using graniteseam::InstantFromMicros;
using graniteseam::ServerId;
using graniteseam::ServiceName;
using graniteseam::ShardId;
using graniteseam::Term;
using graniteseam::ToMicros;
using graniteseam::lease::FencedOwner;
using graniteseam::lease::LeaseRequest;
using graniteseam::lease::LeaseTable;
using graniteseam::lease::LeaseTableOptions;
using graniteseam::lease::Release;
using graniteseam::lease::ShardGrant;
using graniteseam::lease::ShardSet;
using graniteseam::lease::UnleasedIncarnation;

namespace {

constexpr std::int64_t kLease = 600'000;
/// The lease stretched by the drift bound of 0.001.
constexpr std::int64_t kLeaseOver = 600'600;
constexpr std::int64_t kInterval = kLease / 6;
/// The server's clock is far from the leader's.
constexpr std::int64_t kClockOffset = 7'000'000'000;
const ServerId kServer{"transcripts-1"};
const Incarnation kIncarnation{77};

Instant At(std::int64_t micros) { return InstantFromMicros(micros); }

ShardGrant Grant(std::uint32_t shard, std::uint64_t epoch) {
  return {ShardId{ServiceName{"transcripts"}, shard}, Epoch{epoch}};
}

/// A leader's table and one server, joined by hand.
struct Pair {
  ShardSet set;
  LeaseTable table{LeaseTableOptions{}, Term{3}, 0, [this](const ServerId&) { return set; }};
  FencedOwner owner{kServer, kIncarnation};

  /// Delivers what is due and the answers at once. @return the messages.
  std::vector<LeaseRequest> Exchange(std::int64_t now) {
    auto requests = table.Advance(At(now));
    for (const auto& request : requests) Deliver(request, now);
    return requests;
  }
  void Deliver(const LeaseRequest& request, std::int64_t now) {
    table.Take(owner.Take(request, At(now + kClockOffset)), At(now));
  }
  /// Greets the server, admits it, and gives it the shards.
  void Admit(std::vector<ShardGrant> shards) {
    table.AddUnleased(kServer, Duration(kLease), At(0));
    Exchange(0);
    set.grants = std::move(shards);
    table.Admit(kServer, kIncarnation, At(0));
    Exchange(0);
  }
  bool Valid(std::int64_t now) const { return owner.LeaseValid(At(now + kClockOffset)); }
};

}  // namespace

Test(lease_table, hello_comes_first_and_gives_nothing) {
  Pair pair;
  pair.table.AddUnleased(kServer, Duration(kLease), At(0));
  const auto requests = pair.Exchange(0);
  cr_assert(requests.size() == 1);
  cr_assert_not(requests[0].incarnation);
  cr_assert_not(requests[0].valid_until);
  cr_assert(pair.table.TakeUnleasedIncarnations() ==
            (std::vector{UnleasedIncarnation{kServer, kIncarnation}}));
  cr_assert_not(pair.Valid(0));
}

Test(lease_table, admitted_server_is_granted_its_shards_from_its_own_reading) {
  Pair pair;
  pair.Admit({Grant(1, 1), Grant(2, 1)});
  cr_assert(pair.owner.Held().size() == 2);
  cr_assert(pair.Valid(kLease - 1));
  cr_assert_not(pair.Valid(kLease));
  cr_assert(pair.table.Healthy(kServer, At(0)));
}

Test(lease_table, renewals_keep_the_lease_and_name_no_shards) {
  Pair pair;
  pair.Admit({Grant(1, 1)});
  for (std::int64_t now = kInterval; now < 10 * kLease; now += kInterval) {
    cr_assert(pair.Valid(now));
    const auto requests = pair.Exchange(now);
    cr_assert(requests.size() == 1);
    cr_assert(requests[0].base_version == requests[0].target_version);
    cr_assert(requests[0].grants.empty());
    cr_assert(pair.table.expired().empty());
  }
}

Test(lease_table, silent_server_expires_only_after_lease_and_drift) {
  Pair pair;
  pair.Admit({Grant(1, 1)});
  pair.Exchange(kInterval);
  // The newest reading in use is that of time 0; the one taken at kInterval was never used.
  for (std::int64_t now = 2 * kInterval; now < kLeaseOver; now += 10'000) {
    pair.table.Advance(At(now));
  }
  // Those lost messages used the reading of kInterval.
  pair.table.Advance(At(kInterval + kLeaseOver - 1));
  cr_assert(pair.table.expired().empty());
  pair.table.Advance(At(kInterval + kLeaseOver));
  cr_assert(pair.table.expired().contains(kServer));
}

Test(lease_table, answer_after_expiry_does_not_bring_the_lease_back) {
  Pair pair;
  pair.Admit({Grant(1, 1)});
  LeaseRequest last;
  for (std::int64_t now = kInterval; now < kLeaseOver; now += 300) {
    for (auto& request : pair.table.Advance(At(now))) last = request;
  }
  pair.table.Advance(At(kLeaseOver));
  cr_assert(pair.table.expired().contains(kServer));
  pair.Deliver(last, kLeaseOver + 1);
  cr_assert(pair.table.expired().contains(kServer));
  for (const auto& request : pair.Exchange(2 * kLease)) cr_assert_not(request.valid_until);
  pair.table.Dismiss(kServer, At(2 * kLease));
  cr_assert(pair.table.expired().empty());
  pair.Exchange(2 * kLease);
  cr_assert(pair.table.TakeUnleasedIncarnations().size() == 2);
}

Test(lease_table, change_is_sent_at_once_and_repeated_until_confirmed) {
  Pair pair;
  pair.Admit({Grant(1, 1)});
  pair.table.Grant(kServer, Grant(2, 1), At(1000));
  const auto lost = pair.table.Advance(At(1000));
  cr_assert(lost.size() == 1);
  cr_assert(lost[0].grants == std::vector{Grant(2, 1)});
  pair.table.Grant(kServer, Grant(3, 1), At(2000));
  cr_assert(pair.table.Advance(At(2000)).empty(), "one message at a time");
  const auto again = pair.Exchange(1000 + kInterval);
  cr_assert(again[0].grants == (std::vector{Grant(2, 1), Grant(3, 1)}));
  cr_assert(pair.owner.Held().size() == 3);
}

Test(lease_table, lost_answer_of_a_change_is_made_good) {
  Pair pair;
  pair.Admit({Grant(1, 1)});
  pair.table.Grant(kServer, Grant(2, 1), At(1000));
  const auto unanswered = pair.table.Advance(At(1000));
  pair.owner.Take(unanswered[0], At(1000 + kClockOffset));
  // The server holds the newer set, so the repeated change does not fit; its answer says so.
  pair.Exchange(1000 + kInterval);
  pair.Exchange(1000 + 2 * kInterval);
  cr_assert(pair.owner.Held().size() == 2);
  cr_assert(pair.owner.lease_end() > At(kInterval + kLease + kClockOffset));
}

Test(lease_table, revoked_shard_is_reported_once_when_released) {
  Pair pair;
  pair.Admit({Grant(1, 1)});
  cr_assert(static_cast<bool>(pair.owner.Begin(Grant(1, 1), At(500 + kClockOffset))));
  pair.table.Revoke(kServer, Grant(1, 1), At(1000));
  pair.Exchange(1000);
  cr_assert(pair.table.TakeReleases().empty());
  pair.owner.End(Grant(1, 1));
  // While a release is awaited, the server is asked more often than it is renewed.
  pair.Exchange(1000 + 10'000);
  cr_assert(pair.table.TakeReleases() == (std::vector{Release{kServer, Grant(1, 1)}}));
  pair.Exchange(1000 + 10'000 + kInterval);
  cr_assert(pair.table.TakeReleases().empty());
}

Test(lease_table, new_leader_waits_out_the_longest_lease_of_an_earlier_one) {
  Pair pair;
  pair.table.AddLeased(kServer, kIncarnation, Duration(kLease), Duration(3 * kLease), At(0));
  for (std::int64_t now = 0; now < 3 * kLeaseOver; now += 600) pair.table.Advance(At(now));
  cr_assert(pair.table.expired().empty());
  pair.table.Advance(At(3 * kLeaseOver));
  cr_assert(pair.table.expired().contains(kServer));
}

Test(lease_table, new_leader_takes_a_living_session_over_without_losing_its_shards) {
  Pair pair;
  pair.Admit({Grant(1, 1)});
  cr_assert(static_cast<bool>(pair.owner.Begin(Grant(1, 1), At(500 + kClockOffset))));
  LeaseTable next(LeaseTableOptions{}, Term{4}, 0, [&](const ServerId&) { return pair.set; });
  next.AddLeased(kServer, kIncarnation, Duration(kLease), Duration(kLease), At(1000));
  for (std::int64_t now = 1000; now < 2000; now += 500) {
    for (const auto& request : next.Advance(At(now))) {
      next.Take(pair.owner.Take(request, At(now + kClockOffset)), At(now));
    }
  }
  cr_assert(pair.owner.lease_end() >= At(1000 + kLease + kClockOffset));
  cr_assert(static_cast<bool>(pair.owner.Commit(Grant(1, 1), At(2000 + kClockOffset))));
  // The old leader's messages are worth nothing now.
  pair.Exchange(kInterval);
  cr_assert(pair.owner.lease_end() == At(1000 + kLease + kClockOffset));
}

Test(lease_table, restarted_server_gets_nothing_before_the_old_lease_is_over) {
  Pair pair;
  pair.Admit({Grant(1, 1)});
  pair.owner = FencedOwner(kServer, Incarnation{78});
  std::int64_t now = kInterval;
  for (; now < kLeaseOver; now += 300) {
    pair.Exchange(now);
    cr_assert_not(pair.Valid(now));
    cr_assert(pair.table.expired().empty());
  }
  pair.Exchange(now);
  cr_assert(pair.table.expired().contains(kServer));
  cr_assert(pair.table.Successor(kServer, At(now)) == Incarnation{78});
  pair.set.grants = {Grant(1, 2)};
  pair.table.Admit(kServer, Incarnation{78}, At(now));
  pair.Exchange(now);
  cr_assert(pair.owner.Held() == std::vector{Grant(1, 2)});
  cr_assert(pair.Valid(now));
}

Test(lease_table, answers_that_are_late_repeated_or_of_another_term_change_nothing) {
  Pair pair;
  pair.Admit({Grant(1, 1)});
  const auto first = pair.table.Advance(At(kInterval));
  const auto answer = pair.owner.Take(first[0], At(kInterval + kClockOffset));
  pair.Exchange(2 * kInterval);
  auto crossed = answer;
  crossed.reading = At(99 * kLease + kClockOffset);
  pair.table.Take(crossed, At(2 * kInterval));
  crossed.order.term = Term{2};
  crossed.order.sequence += 5;
  pair.table.Take(crossed, At(2 * kInterval));
  pair.Exchange(3 * kInterval);
  cr_assert(pair.owner.lease_end() == At(2 * kInterval + kLease + kClockOffset));
}

Test(lease_table, paused_leader_gives_servers_a_chance_before_it_takes_them_for_lost) {
  Pair pair;
  pair.Admit({Grant(1, 1)});
  constexpr std::int64_t kWake = 20 * kLease;
  const auto requests = pair.table.Advance(At(kWake));
  cr_assert(pair.table.expired().empty());
  pair.Deliver(requests[0], kWake);
  pair.Exchange(kWake + kInterval);
  pair.Exchange(kWake + kLease);
  cr_assert(pair.table.expired().empty());
  cr_assert(pair.Valid(kWake + kLease));
}

Test(lease_table, leaving_is_told_once_a_change) {
  Pair pair;
  pair.Admit({});
  pair.owner.SetLeaving(true);
  pair.Exchange(kInterval);
  pair.Exchange(2 * kInterval);
  const auto changes = pair.table.TakeLeavingChanges();
  cr_assert(changes.size() == 1);
  cr_assert(changes[0].second);
}
