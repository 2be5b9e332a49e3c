/// @file
/// Operators against the control group: racers, resends, membership.

#include <criterion/criterion.h>

#include "graniteseam/bundle/bundle.h"
#include "tests/control/control_harness.h"

using graniteseam::BundleVersion;
using graniteseam::ControlId;
using graniteseam::DiskIncarnation;
using graniteseam::Duration;
using graniteseam::Error;
using graniteseam::ErrorKind;
using graniteseam::ServerId;
using graniteseam::ShardId;
using graniteseam::bundle::Bundle;
using graniteseam::bundle::BundleState;
using graniteseam::bundle::Digest;
using graniteseam::consensus::Member;
using graniteseam::control::Accepted;
using graniteseam::control::BundlesView;
using graniteseam::control::ChangeMembership;
using graniteseam::control::DrainServer;
using graniteseam::control::MoveShard;
using graniteseam::control::OperatorAnswer;
using graniteseam::control::ReadBundles;
using graniteseam::control::RollBundle;
using graniteseam::control::SignBundle;
using graniteseam::control::SubmitBundle;
using graniteseam::test::ControlHarness;
using graniteseam::test::kKeyed;

namespace {

SubmitBundle Submission(std::uint64_t version, const std::string& author) {
  Bundle bundle;
  bundle.version = BundleVersion{version};
  bundle.author = author;
  return {bundle, Digest(bundle), "text"};
}

bool IsAccepted(const OperatorAnswer& answer) { return std::holds_alternative<Accepted>(answer); }

ErrorKind KindOf(const OperatorAnswer& answer) {
  const auto* error = std::get_if<Error>(&answer);
  cr_assert(error != nullptr);
  cr_assert_not(error->remedy.empty());
  return error->kind;
}

}  // namespace

Test(operators, of_two_racers_with_one_version_one_wins_and_resends_get_the_same_answer) {
  ControlHarness harness;
  cr_assert(IsAccepted(harness.Ask(Submission(4, "first"))));
  cr_assert(KindOf(harness.Ask(Submission(4, "second"))) == ErrorKind::kVersionConflict);
  cr_assert(IsAccepted(harness.Ask(Submission(4, "first"))));
  cr_assert(KindOf(harness.Ask(Submission(4, "second"))) == ErrorKind::kVersionConflict);
}

Test(operators, unsigned_bundle_is_not_rolled_and_unknown_reviewer_is_refused) {
  ControlHarness harness;
  const auto submission = Submission(4, "author");
  harness.Ask(submission);
  cr_assert(KindOf(harness.Ask(RollBundle{BundleVersion{4}, submission.digest})) ==
            ErrorKind::kFailedPrecondition);
  cr_assert(KindOf(harness.Ask(SignBundle{BundleVersion{4}, submission.digest, "stranger", ""})) ==
            ErrorKind::kPermissionDenied);
}

Test(operators, lower_version_never_replaces_a_higher_one) {
  ControlHarness harness;
  harness.RollBundle(5);
  cr_assert(KindOf(harness.Ask(Submission(4, "author"))) == ErrorKind::kVersionConflict);
  const auto view = std::get<BundlesView>(harness.Ask(ReadBundles{}));
  cr_assert(view.in_force == BundleVersion{5});
  cr_assert(view.bundles.back().state == BundleState::kRolled);
}

Test(operators, moves_and_drains_of_what_does_not_exist_are_refused) {
  ControlHarness harness;
  harness.RollBundle(1);
  cr_assert(KindOf(harness.Ask(MoveShard{ShardId{kKeyed, 99}, ServerId{"t-1"}})) ==
            ErrorKind::kNotFound);
  cr_assert(KindOf(harness.Ask(MoveShard{ShardId{kKeyed, 1}, ServerId{"t-1"}})) ==
            ErrorKind::kNotFound);
  cr_assert(KindOf(harness.Ask(DrainServer{ServerId{"t-1"}, true})) == ErrorKind::kNotFound);
}

Test(operators, follower_refuses_and_names_the_leader) {
  ControlHarness harness;
  harness.RollBundle(1);
  const std::size_t follower = *harness.Leader() == 0 ? 1 : 0;
  const auto effects =
      harness.node(follower).OnOperatorRequest(77, ReadBundles{}, harness.now(), 0);
  cr_assert(effects.operator_replies.size() == 1);
  cr_assert(KindOf(effects.operator_replies[0].answer) == ErrorKind::kNotLeader);
}

Test(operators, membership_changes_are_safe_to_resend) {
  ControlHarness harness;
  harness.RollBundle(1);
  Member stranger{ControlId{9}, DiskIncarnation{900}, "127.0.0.1:7900", {"zone-1"}};
  ChangeMembership change{ChangeMembership::Kind::kAddLearner, stranger};
  cr_assert(IsAccepted(harness.Ask(change)));
  cr_assert(IsAccepted(harness.Ask(change)));
  change.kind = ChangeMembership::Kind::kPromote;
  cr_assert(KindOf(harness.Ask(change)) == ErrorKind::kFailedPrecondition, "it has no log yet");
  change.kind = ChangeMembership::Kind::kRemove;
  cr_assert(IsAccepted(harness.Ask(change)));
  cr_assert(IsAccepted(harness.Ask(change)));
}
