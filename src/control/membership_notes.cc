#include "src/control/membership_notes.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace graniteseam::control {
namespace {

using consensus::Member;
using consensus::Membership;

/// The first of `members` that is not in `others`.
std::optional<Member> FirstMissing(const std::vector<Member>& members,
                                   const std::vector<Member>& others) {
  const auto missing = std::find_if(members.begin(), members.end(), [&](const Member& member) {
    return std::none_of(others.begin(), others.end(),
                        [&](const Member& other) { return other.IsSameMemberAs(member); });
  });
  return missing == members.end() ? std::nullopt : std::optional(*missing);
}

std::string Name(const Member& member) {
  return member.address + " (disk " + std::to_string(member.disk.value) + ")";
}

std::string NamesOf(const std::vector<Member>& members) {
  std::string names;
  for (const Member& member : members) {
    if (!names.empty()) names += ", ";
    names += Name(member);
  }
  return names.empty() ? "none" : names;
}

std::string DescribeStatus(const MembershipView& view, const Member& member) {
  if (member.IsSameMemberAs(view.self)) return Name(member) + ": leads";
  const auto status = std::find_if(
      view.others.begin(), view.others.end(),
      [&](const consensus::PeerStatus& other) { return other.member.IsSameMemberAs(member); });
  if (status == view.others.end()) return Name(member) + ": unknown";
  const auto silent_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(status->time_since_response).count();
  return Name(member) + ": answered " + std::to_string(silent_ms) + " ms ago" +
         (status->caught_up ? "" : ", behind");
}

std::string DescribeStatuses(const MembershipView& view, const std::vector<Member>& members) {
  std::string text;
  for (const Member& member : members) {
    if (!text.empty()) text += "; ";
    text += DescribeStatus(view, member);
  }
  return text.empty() ? "none" : text;
}

}  // namespace

MembershipNote DescribeChange(std::string_view what, const Membership& before,
                              const Membership& after, Term term) {
  MembershipNote note{what, "founded", {}, term, after.voters.size(), after.learners.size(), {}};
  const auto voter_added = FirstMissing(after.voters, before.voters);
  const auto voter_removed = FirstMissing(before.voters, after.voters);
  const auto learner_added = FirstMissing(after.learners, before.learners);
  const auto learner_removed = FirstMissing(before.learners, after.learners);
  if (before.voters.empty()) return note;
  if (voter_added) {
    note.change = learner_removed ? "learner_promoted" : "voter_added";
    note.member = *voter_added;
  } else if (voter_removed) {
    note.change = learner_added ? "voter_demoted" : "voter_removed";
    note.member = *voter_removed;
  } else if (learner_added) {
    note.change = "learner_added";
    note.member = *learner_added;
  } else if (learner_removed) {
    note.change = "learner_removed";
    note.member = *learner_removed;
  }
  return note;
}

std::string DescribeView(const MembershipView& view) {
  return "Voters: " + DescribeStatuses(view, view.membership.voters) +
         ". Learners: " + DescribeStatuses(view, view.membership.learners) +
         ". Announced: " + NamesOf(view.announced) + ".";
}

std::string DescribeMembers(const Membership& membership) {
  return "Voters: " + NamesOf(membership.voters) + ". Learners: " + NamesOf(membership.learners) +
         ".";
}

}  // namespace graniteseam::control
