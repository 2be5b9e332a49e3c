/// @file
/// The commands on the control group's membership. Each step is one change of the replicated log;
/// a command that was cut off goes on where it stopped when it is run again.

#include <algorithm>
#include <ostream>
#include <thread>

#include "src/daemon/operator_cli/command.h"
#include "src/daemon/operator_cli/control_calls.h"
#include "src/daemon/operator_cli/json_output.h"
#include "src/runtime/clock.h"

namespace graniteseam::operator_cli {
namespace {

using consensus::Member;
using control::ChangeMembership;

constexpr Duration kPromotionPause{500'000};

Result<control::Accepted> Send(const CommandContext& context, ChangeMembership::Kind kind,
                               const Member& member) {
  return Change(context, "/v1/control/members", http::ToJson(ChangeMembership{kind, member}));
}

std::string Name(const Member& member) {
  return "Control process " + std::to_string(member.id.value) + " (disk " +
         std::to_string(member.disk.value) + ")";
}

std::vector<Member> AllMembers(const consensus::Membership& membership) {
  std::vector<Member> members = membership.voters;
  members.insert(members.end(), membership.learners.begin(), membership.learners.end());
  return members;
}

Result<Member> AskMember(const CommandContext& context, const std::string& address_text) {
  BOOST_LEAF_AUTO(address, runtime::ParseSocketAddress(address_text));
  return GetMember(context, address);
}

/// Promotes a learner as soon as control finds that it has caught up.
Result<void> PromoteWhenCaughtUp(const CommandContext& context, const Member& member) {
  const Instant end = runtime::BootTimeNow() + context.options.time_limit;
  while (true) {
    const auto outcome =
        Attempt([&] { return Send(context, ChangeMembership::Kind::kPromote, member); });
    const Error* const error = ErrorOf(outcome);
    if (error == nullptr) return {};
    const bool waiting = error->kind == ErrorKind::kFailedPrecondition;
    if (!waiting || runtime::BootTimeNow() >= end) return Fail(*error);
    std::this_thread::sleep_for(kPromotionPause);
  }
}

Result<void> AddAndPromote(const CommandContext& context, const Member& member) {
  BOOST_LEAF_AUTO(view, GetFleet(context));
  const auto& voters = view.membership.voters;
  const bool votes = std::any_of(voters.begin(), voters.end(),
                                 [&](const Member& voter) { return voter.IsSameMemberAs(member); });
  if (votes) return {};
  BOOST_LEAF_CHECK(Send(context, ChangeMembership::Kind::kAddLearner, member));
  return PromoteWhenCaughtUp(context, member);
}

/// The members with this id, but for `kept`.
Result<std::vector<Member>> MembersToRemove(const CommandContext& context,
                                            const std::string& id_text, const Member* kept) {
  BOOST_LEAF_AUTO(id, ParseNumber(id_text, "member id"));
  BOOST_LEAF_AUTO(view, GetFleet(context));
  std::vector<Member> found;
  for (const Member& member : AllMembers(view.membership)) {
    const bool keep = kept != nullptr && kept->IsSameMemberAs(member);
    if (member.id.value == id && !keep) found.push_back(member);
  }
  return found;
}

Result<void> Remove(const CommandContext& context, const std::vector<Member>& members) {
  for (const Member& member : members) {
    BOOST_LEAF_CHECK(Send(context, ChangeMembership::Kind::kRemove, member));
    if (!context.options.json) context.out << Name(member) << " is removed.\n";
  }
  return {};
}

void PrintAdded(const CommandContext& context, const Member& member) {
  if (context.options.json) {
    PrintJson(context.out, member);
  } else {
    context.out << Name(member) << " votes.\n";
  }
}

}  // namespace

Result<void> ControlAdd(const CommandContext& context) {
  BOOST_LEAF_AUTO(member, AskMember(context, context.arguments[0]));
  BOOST_LEAF_CHECK(AddAndPromote(context, member));
  PrintAdded(context, member);
  return {};
}

Result<void> ControlRemove(const CommandContext& context) {
  BOOST_LEAF_AUTO(members, MembersToRemove(context, context.arguments[0], nullptr));
  if (members.size() > 1) {
    return Fail(ErrorKind::kFailedPrecondition,
                "Two members have id " + context.arguments[0] + ": an old and a new disk.",
                "Use `graniteseamctl control replace ID ADDRESS` with the new process's address.");
  }
  if (members.empty() && !context.options.json) {
    context.out << "No member has id " << context.arguments[0] << "; nothing was to be done.\n";
  }
  BOOST_LEAF_CHECK(Remove(context, members));
  if (context.options.json) {
    BOOST_LEAF_AUTO(view, GetFleet(context));
    PrintJson(context.out, view);
  }
  return {};
}

Result<void> ControlReplace(const CommandContext& context) {
  BOOST_LEAF_AUTO(member, AskMember(context, context.arguments[1]));
  // First the new one, so that the group never tolerates less than before.
  BOOST_LEAF_CHECK(AddAndPromote(context, member));
  BOOST_LEAF_AUTO(members, MembersToRemove(context, context.arguments[0], &member));
  BOOST_LEAF_CHECK(Remove(context, members));
  PrintAdded(context, member);
  return {};
}

}  // namespace graniteseam::operator_cli
