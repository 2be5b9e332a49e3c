// What a gateway does about a feed that does not bring what the leader has.
#include "src/gateway/feed_watch.h"

#include <criterion/criterion.h>

#include <vector>

#include "tests/gateway/gateway_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;

namespace {

/// The leader's answer to the newest poll: no state, but how far the leader is.
traffic::TrafficUpdate Answer(const traffic::TrafficPoll& poll, std::uint64_t version,
                              std::uint64_t configuration) {
  traffic::TrafficUpdate answer;
  answer.sequence = poll.sequence;
  answer.base = answer.version = version;
  answer.configuration = {configuration};
  answer.feed = "10.0.0.9:1";
  return answer;
}

}  // namespace

Test(feed_watch, feed_that_keeps_up_is_kept) {
  FeedWatch watch;
  for (int second = 0; second < 10; ++second) {
    const auto version = static_cast<std::uint64_t>(100 + second);
    note_answer(watch, "f", version, version - 1, At(1'000 * second));
    check_feed(watch, version, At(1'000 * second + 500));
  }
  cr_assert_eq(watch.feeds_abandoned, 0U);
  cr_assert_not(watch.wants_state_from_leader);
}

Test(feed_watch, feed_that_is_late_is_given_up_until_the_state_is_here) {
  FeedWatch watch;
  note_answer(watch, "f", 20, 10, At(0));
  check_feed(watch, 10, At(500));
  cr_assert_eq(watch.feeds_abandoned, 0U);
  // The leader goes on meanwhile: that does not begin the wait anew.
  note_answer(watch, "f", 30, 10, At(500));
  check_feed(watch, 10, At(1'100));
  cr_assert(watch.feeds_abandoned == 1 && watch.wants_state_from_leader);
  check_feed(watch, 20, At(1'600));
  cr_assert(watch.feeds_abandoned == 1 && !watch.wants_state_from_leader);
}

// The state of a large fleet takes seconds over a gateway's link while it grows. Another feed, and
// the leader, would send it once more over the same link.
Test(feed_watch, feed_that_brings_something_is_given_time_and_twice_as_much_after_each) {
  FeedWatch watch;
  std::vector<std::int64_t> given_up;
  for (std::int64_t ms = 0; ms <= 20'000; ms += 500) {
    const auto version = static_cast<std::uint64_t>(10 + ms);
    note_answer(watch, "f", version + 100'000, version, At(ms));
    const std::uint32_t before = watch.feeds_abandoned;
    check_feed(watch, version, At(ms));
    if (watch.feeds_abandoned != before) given_up.push_back(ms);
  }
  const std::vector<std::int64_t> expected{1'500, 4'500, 10'500};
  cr_assert(given_up == expected);
}

Test(feed_watch, first_state_has_more_time) {
  FeedWatch watch;
  note_answer(watch, "f", 20, 0, At(0));
  check_feed(watch, 0, At(3'500));
  cr_assert_eq(watch.feeds_abandoned, 0U);
  check_feed(watch, 0, At(4'000));
  cr_assert_eq(watch.feeds_abandoned, 1U);
}

Test(feed_watch, gateway_takes_the_state_from_its_feed_and_not_from_the_leader) {
  Fixture fixture(false);
  const auto first = fixture.node.TakePoll(At(0));
  cr_assert_not(first.wants_state);
  fixture.node.OnUpdate(Answer(first, 10, 5), At(5));
  cr_assert_eq(fixture.node.feed(), "10.0.0.9:1");
  cr_assert_not(fixture.node.Ready());
  fixture.node.OnUpdate(Fixture::State(), At(50));
  cr_assert(fixture.node.Ready());
  cr_assert_not(fixture.node.TakePoll(At(500)).wants_state);
}

Test(feed_watch, gateway_whose_feed_was_lost_asks_the_leader_for_the_state_and_another_feed) {
  Fixture fixture;
  fixture.node.OnUpdate(Answer(fixture.node.TakePoll(At(0)), 12, 5), At(5));
  fixture.node.OnFeedLost(At(10));
  const auto poll = fixture.node.TakePoll(At(10));
  cr_assert(poll.wants_state && poll.feeds_tried == 1);
}

// A feed may be a member that is cut off from the leader: what it brings proves nothing about what
// was accepted since.
Test(feed_watch, only_the_leader_confirms_that_a_route_is_not_there) {
  Fixture fixture(false);
  fixture.node.OnUpdate(Fixture::State(), At(10'000));
  cr_assert_eq(Only<Refuse>(fixture.Request("/nothing/x", 10'001)).status, 503);
  const auto poll = fixture.node.TakePoll(At(10'002));
  // Its state is newer, and has the same configuration.
  fixture.node.OnUpdate(Answer(poll, 99, 5), At(10'004));
  cr_assert_eq(Only<Refuse>(fixture.Request("/nothing/x", 10'005)).status, 404);
  const auto next = fixture.node.TakePoll(At(12'000));
  fixture.node.OnUpdate(Answer(next, 120, 6), At(12'001));
  cr_assert_eq(Only<Refuse>(fixture.Request("/nothing/x", 12'002)).status, 503);
}

// The leader's answers came over the same slow link as the state, so that nobody named another
// feed.
Test(feed_watch, follower_with_newer_state_becomes_the_feed_in_place_of_a_late_one) {
  FeedWatch watch;
  note_answer(watch, "leader", 10, 10, At(0));
  note_follower(watch, "follower", 20, 10, At(500));
  check_feed(watch, 10, At(600));
  note_follower(watch, "follower", 20, 10, At(700));
  cr_assert_str_eq(watch.address.c_str(), "leader", "it still has time");
  check_feed(watch, 10, At(1'200));
  note_follower(watch, "follower", 20, 10, At(1'300));
  cr_assert_str_eq(watch.address.c_str(), "follower");
  // One that is no further than this gateway is no better.
  note_follower(watch, "other", 10, 10, At(1'400));
  cr_assert_str_eq(watch.address.c_str(), "follower");
}

Test(feed_watch, late_answer_of_the_leader_does_not_change_the_feed) {
  FeedWatch watch;
  note_answer(watch, "leader", 10, 10, At(0), Duration{5'000'000});
  cr_assert_str_eq(watch.address.c_str(), "leader", "any feed is better than none");
  note_answer(watch, "other", 10, 10, At(500), Duration{1'500'000});
  cr_assert_str_eq(watch.address.c_str(), "leader");
  note_answer(watch, "other", 10, 10, At(1'000), Duration{600'000});
  cr_assert_str_eq(watch.address.c_str(), "other");
}
