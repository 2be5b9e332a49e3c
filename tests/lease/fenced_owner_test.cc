#include "graniteseam/lease/fenced_owner.h"

#include <criterion/criterion.h>

using graniteseam::Attempt;
using graniteseam::Duration;
using graniteseam::Epoch;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::Incarnation;
using graniteseam::Instant;
using graniteseam::InstantFromMicros;
using graniteseam::ServerId;
using graniteseam::ServiceName;
using graniteseam::ShardId;
using graniteseam::Term;
using graniteseam::lease::FencedOwner;
using graniteseam::lease::LeaseRequest;
using graniteseam::lease::MessageOrder;
using graniteseam::lease::ShardGrant;

namespace {

constexpr std::int64_t kLease = 600'000;
const ServerId kServer{"transcripts-1"};
const Incarnation kIncarnation{77};

ShardGrant Grant(std::uint32_t shard, std::uint64_t epoch) {
  return {ShardId{ServiceName{"transcripts"}, shard}, Epoch{epoch}};
}

Instant At(std::int64_t micros) { return InstantFromMicros(micros); }

LeaseRequest Renewal(std::uint64_t sequence, std::uint64_t base, std::uint64_t target,
                     std::int64_t valid_until) {
  LeaseRequest request;
  request.server = kServer;
  request.order = {Term{1}, sequence};
  request.incarnation = kIncarnation;
  request.valid_until = At(valid_until);
  request.base_version = base;
  request.target_version = target;
  return request;
}

LeaseRequest FullSet(std::uint64_t sequence, std::uint64_t target, std::int64_t valid_until,
                     std::vector<ShardGrant> grants) {
  auto request = Renewal(sequence, 0, target, valid_until);
  request.grants = std::move(grants);
  return request;
}

template <class Call>
bool Refused(Call&& call) {
  const auto outcome = Attempt(std::forward<Call>(call));
  const auto* error = ErrorOf(outcome);
  if (error == nullptr) return false;
  cr_assert(error->kind == ErrorKind::kNotOwner);
  return true;
}

bool CanBegin(FencedOwner& owner, const ShardGrant& grant, std::int64_t now) {
  return !Refused([&] { return owner.Begin(grant, At(now)); });
}

bool CanCommit(const FencedOwner& owner, const ShardGrant& grant, std::int64_t now) {
  return !Refused([&] { return owner.Commit(grant, At(now)); });
}

}  // namespace

Test(fenced_owner, hello_is_answered_and_gives_nothing) {
  FencedOwner owner(kServer, kIncarnation);
  LeaseRequest hello;
  hello.server = kServer;
  hello.order = {Term{1}, 1};
  const auto answer = owner.Take(hello, At(5));
  cr_assert(answer.accepted);
  cr_assert(answer.incarnation == kIncarnation);
  cr_assert(answer.reading == At(5));
  cr_assert(answer.order == hello.order);
  cr_assert(answer.shard_set_version == 0);
  cr_assert_not(owner.LeaseValid(At(5)));
}

Test(fenced_owner, hello_that_carries_a_lease_is_refused) {
  FencedOwner owner(kServer, kIncarnation);
  auto request = FullSet(1, 1, kLease, {Grant(1, 1)});
  request.incarnation.reset();
  cr_assert_not(owner.Take(request, At(0)).accepted);
  cr_assert_not(owner.LeaseValid(At(0)));
  cr_assert(owner.Held().empty());
}

Test(fenced_owner, runs_a_request_only_for_the_granted_shard_and_epoch) {
  FencedOwner owner(kServer, kIncarnation);
  owner.Take(FullSet(1, 1, kLease, {Grant(1, 4)}), At(0));
  cr_assert(CanBegin(owner, Grant(1, 4), 10));
  cr_assert_not(CanBegin(owner, Grant(1, 3), 10));
  cr_assert_not(CanBegin(owner, Grant(1, 5), 10));
  cr_assert_not(CanBegin(owner, Grant(2, 4), 10));
}

Test(fenced_owner, frozen_server_finds_its_lease_over_on_waking) {
  FencedOwner owner(kServer, kIncarnation);
  owner.Take(FullSet(1, 1, kLease, {Grant(1, 1)}), At(0));
  cr_assert(CanBegin(owner, Grant(1, 1), kLease - 1));
  cr_assert(CanCommit(owner, Grant(1, 1), kLease - 1));
  cr_assert_not(CanCommit(owner, Grant(1, 1), kLease));
  cr_assert_not(CanBegin(owner, Grant(1, 1), kLease));
}

Test(fenced_owner, request_begun_before_a_freeze_can_not_commit_after_its_shard_went_elsewhere) {
  FencedOwner owner(kServer, kIncarnation);
  owner.Take(FullSet(1, 1, kLease, {Grant(1, 1), Grant(2, 1)}), At(0));
  cr_assert(CanBegin(owner, Grant(1, 1), 10));
  cr_assert(CanBegin(owner, Grant(2, 1), 10));
  // Frozen past its lease; the leader gave shard 1 away and takes the server in anew.
  owner.Take(FullSet(2, 2, 3 * kLease, {Grant(2, 1)}), At(2 * kLease));
  cr_assert_not(CanCommit(owner, Grant(1, 1), 2 * kLease + 1));
  cr_assert(CanCommit(owner, Grant(2, 1), 2 * kLease + 1));
}

Test(fenced_owner, request_begun_before_a_freeze_can_not_commit_under_a_later_epoch) {
  FencedOwner owner(kServer, kIncarnation);
  owner.Take(FullSet(1, 1, kLease, {Grant(1, 1)}), At(0));
  cr_assert(CanBegin(owner, Grant(1, 1), 10));
  owner.Take(FullSet(2, 2, 3 * kLease, {Grant(1, 3)}), At(2 * kLease));
  cr_assert_not(CanCommit(owner, Grant(1, 1), 2 * kLease + 1));
  owner.End(Grant(1, 1));
  cr_assert(CanBegin(owner, Grant(1, 3), 2 * kLease + 1));
}

Test(fenced_owner, replayed_or_crossed_messages_change_nothing) {
  FencedOwner owner(kServer, kIncarnation);
  const auto first = FullSet(1, 1, kLease, {Grant(1, 1)});
  owner.Take(first, At(0));
  auto change = Renewal(3, 1, 2, 2 * kLease);
  change.grants = {Grant(2, 1)};
  cr_assert(owner.Take(change, At(10)).accepted);
  cr_assert_not(owner.Take(first, At(20)).accepted);
  cr_assert_not(owner.Take(change, At(20)).accepted);
  cr_assert_not(owner.Take(Renewal(2, 2, 2, 9 * kLease), At(20)).accepted);
  cr_assert(owner.lease_end() == At(2 * kLease));
  cr_assert(owner.Held().size() == 2);
}

Test(fenced_owner, message_of_an_older_term_is_refused_whatever_its_sequence) {
  FencedOwner owner(kServer, kIncarnation);
  auto newer = FullSet(1, 1, kLease, {Grant(1, 1)});
  newer.order.term = Term{5};
  cr_assert(owner.Take(newer, At(0)).accepted);
  auto older = FullSet(100, 7, 9 * kLease, {Grant(1, 1), Grant(2, 1)});
  older.order.term = Term{4};
  cr_assert_not(owner.Take(older, At(1)).accepted);
  cr_assert(owner.lease_end() == At(kLease));
}

Test(fenced_owner, message_for_another_incarnation_is_refused) {
  FencedOwner owner(kServer, Incarnation{78});
  const auto answer = owner.Take(FullSet(1, 1, kLease, {Grant(1, 1)}), At(0));
  cr_assert_not(answer.accepted);
  cr_assert(answer.incarnation == Incarnation{78});
  cr_assert_not(owner.LeaseValid(At(0)));
}

Test(fenced_owner, renewal_of_another_set_does_not_extend_the_lease) {
  FencedOwner owner(kServer, kIncarnation);
  owner.Take(FullSet(1, 1, kLease, {Grant(1, 1)}), At(0));
  const auto answer = owner.Take(Renewal(2, 2, 2, 3 * kLease), At(10));
  cr_assert_not(answer.accepted);
  cr_assert(answer.shard_set_version == 1);
  cr_assert(owner.lease_end() == At(kLease));
}

Test(fenced_owner, revoked_shard_is_released_with_its_last_request) {
  FencedOwner owner(kServer, kIncarnation);
  owner.Take(FullSet(1, 1, kLease, {Grant(1, 1), Grant(2, 1)}), At(0));
  cr_assert(CanBegin(owner, Grant(1, 1), 10));
  auto change = Renewal(2, 1, 2, kLease);
  change.revocations = {Grant(1, 1), Grant(2, 1)};
  const auto busy = owner.Take(change, At(20));
  cr_assert(busy.released == std::vector{Grant(2, 1)});
  cr_assert_not(CanBegin(owner, Grant(1, 1), 30));
  cr_assert(CanCommit(owner, Grant(1, 1), 30));
  owner.End(Grant(1, 1));
  cr_assert_not(CanCommit(owner, Grant(1, 1), 31));
  const auto idle = owner.Take(Renewal(3, 2, 2, kLease), At(40));
  cr_assert(idle.released == (std::vector{Grant(1, 1), Grant(2, 1)}));
}

Test(fenced_owner, release_is_repeated_until_a_change_no_longer_waits_for_it) {
  FencedOwner owner(kServer, kIncarnation);
  owner.Take(FullSet(1, 1, kLease, {Grant(1, 1), Grant(2, 1)}), At(0));
  auto change = Renewal(2, 1, 2, kLease);
  change.revocations = {Grant(1, 1)};
  owner.Take(change, At(10));
  auto next = Renewal(3, 2, 3, kLease);
  next.revocations = {Grant(1, 1), Grant(2, 1)};
  cr_assert(owner.Take(next, At(20)).released.size() == 2);
  cr_assert(owner.Take(Renewal(4, 3, 3, kLease), At(30)).released.size() == 2);
  auto done = Renewal(5, 3, 4, kLease);
  done.revocations = {Grant(2, 1)};
  cr_assert(owner.Take(done, At(40)).released == std::vector{Grant(2, 1)});
}

Test(fenced_owner, revocation_of_a_shard_not_held_is_released_at_once) {
  FencedOwner owner(kServer, kIncarnation);
  auto request = FullSet(1, 1, kLease, {});
  request.revocations = {Grant(9, 2)};
  cr_assert(owner.Take(request, At(0)).released == std::vector{Grant(9, 2)});
}

Test(fenced_owner, grant_does_not_take_back_a_revocation) {
  FencedOwner owner(kServer, kIncarnation);
  owner.Take(FullSet(1, 1, kLease, {Grant(1, 1)}), At(0));
  cr_assert(CanBegin(owner, Grant(1, 1), 5));
  auto revoke = Renewal(2, 1, 2, kLease);
  revoke.revocations = {Grant(1, 1)};
  owner.Take(revoke, At(10));
  auto again = Renewal(3, 2, 3, kLease);
  again.grants = {Grant(1, 1)};
  again.revocations = {Grant(1, 1)};
  owner.Take(again, At(20));
  cr_assert_not(CanBegin(owner, Grant(1, 1), 30));
}

Test(fenced_owner, pooled_requests_need_only_the_lease) {
  FencedOwner owner(kServer, kIncarnation);
  cr_assert(Refused([&] { return owner.BeginPooled(At(0)); }));
  owner.Take(FullSet(1, 1, kLease, {}), At(0));
  cr_assert_not(Refused([&] { return owner.BeginPooled(At(kLease - 1)); }));
  cr_assert(Refused([&] { return owner.BeginPooled(At(kLease)); }));
}

Test(fenced_owner, leaving_is_told_in_each_answer) {
  FencedOwner owner(kServer, kIncarnation);
  owner.SetLeaving(true);
  cr_assert(owner.Take(FullSet(1, 1, kLease, {}), At(0)).leaving);
}
