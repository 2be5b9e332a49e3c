#include "src/control/operator_requests.h"

#include <algorithm>
#include <utility>

#include "src/control/map_update.h"

namespace graniteseam::control {

namespace {

OperatorAnswer AlreadyDone(const ReplicatedState& state) { return Accepted{state.applied()}; }

OperatorAnswer Refuse(ErrorKind kind, std::string message, std::string remedy) {
  return Error{kind, std::move(message), std::move(remedy)};
}

bool Contains(const std::vector<consensus::Member>& members, const consensus::Member& member) {
  return std::any_of(members.begin(), members.end(),
                     [&](const consensus::Member& known) { return known.IsSameMemberAs(member); });
}

void Erase(std::vector<consensus::Member>& members, const consensus::Member& member) {
  std::erase_if(members,
                [&](const consensus::Member& known) { return known.IsSameMemberAs(member); });
}

std::string Name(const consensus::Member& member) {
  return "Control process " + std::to_string(member.id.value) + " with disk " +
         std::to_string(member.disk.value);
}

}  // namespace

OperatorStep PlanRequest(const SubmitBundle& request, const ReplicatedState& /*state*/) {
  return CommandBody(SubmitBundleCommand{request.bundle, request.digest, request.source_text});
}

OperatorStep PlanRequest(const SignBundle& request,
                         const std::map<std::string, std::string>& reviewer_keys) {
  const auto key = Attempt([&] { return bundle::TrustedKey(reviewer_keys, request.reviewer); });
  if (const Error* error = ErrorOf(key)) return OperatorAnswer(*error);
  return CommandBody(bundle::SignatureCommand{request.version, request.digest, request.reviewer,
                                              std::get<std::string>(key),
                                              request.signature_base64});
}

OperatorStep PlanRequest(const RollBundle& request) {
  return CommandBody(RollBundleCommand{request.version, request.digest});
}

OperatorStep PlanRequest(const MoveShard& request, const ReplicatedState& state) {
  const auto shard = state.shards().Find(request.shard);
  if (!shard) {
    return Refuse(ErrorKind::kNotFound,
                  "Service " + request.shard.service.value + " has no shard " +
                      std::to_string(request.shard.index) + ".",
                  "List the shards with `graniteseamctl shard show`.");
  }
  const auto* target = state.servers().Find(request.target);
  if (target == nullptr || target->service != request.shard.service) {
    return Refuse(
        ErrorKind::kNotFound,
        "Service " + request.shard.service.value + " has no server " + request.target.value + ".",
        "List the servers with `graniteseamctl fleet status`.");
  }
  const bool moving = shard->state == placement::OwnershipState::kMoving;
  if (moving ? shard->target == request.target : shard->owner == request.target) {
    return AlreadyDone(state);
  }
  if (shard->state == placement::OwnershipState::kUnassigned) {
    return Refuse(
        ErrorKind::kFailedPrecondition, "The shard has no owner at present.",
        "Wait until the shard is assigned, which takes less than a second, and try again.");
  }
  if (!target->AcceptsNewWork()) {
    return Refuse(ErrorKind::kFailedPrecondition,
                  "Server " + request.target.value + " accepts no new work.",
                  "Choose another server, or undrain this one.");
  }
  return CommandBody(
      BeginMovesCommand{{placement::PlannedMove{shard->shard, shard->epoch, request.target}}});
}

OperatorStep PlanRequest(const DrainServer& request, const ReplicatedState& state) {
  const auto* record = state.servers().Find(request.server);
  if (record != nullptr && record->draining == request.draining) return AlreadyDone(state);
  return CommandBody(SetDrainingCommand{request.server, request.draining});
}

OperatorStep PlanRequest(const ChangeMembership& request, const ReplicatedState& state,
                         const consensus::Membership& membership) {
  const auto& member = request.member;
  const bool votes = Contains(membership.voters, member);
  const bool learns = Contains(membership.learners, member);
  consensus::Membership next = membership;
  switch (request.kind) {
    case ChangeMembership::Kind::kAddLearner:
      if (votes || learns) return AlreadyDone(state);
      next.learners.push_back(member);
      return next;
    case ChangeMembership::Kind::kPromote:
      if (votes) return AlreadyDone(state);
      if (!learns) {
        return Refuse(ErrorKind::kNotFound, Name(member) + " is not a learner.",
                      "Add it as a learner first: `graniteseamctl control add`.");
      }
      Erase(next.learners, member);
      next.voters.push_back(member);
      return next;
    case ChangeMembership::Kind::kRemove:
      if (!votes && !learns) return AlreadyDone(state);
      Erase(next.voters, member);
      Erase(next.learners, member);
      if (next.voters.empty()) {
        return Refuse(ErrorKind::kFailedPrecondition, "The last voter can't be removed.",
                      "Promote another control process first.");
      }
      return next;
  }
  return Refuse(ErrorKind::kInvalidArgument, "Unknown kind of membership change.",
                "Use add, promote or remove.");
}

OperatorStep PlanRequest(const ReadShards& request, const ReplicatedState& state) {
  ShardsView view;
  view.version = state.map_version();
  const auto shards =
      request.service.Empty() ? state.shards().All() : state.shards().OfService(request.service);
  view.shards.reserve(shards.size());
  for (const auto& shard : shards) view.shards.push_back(ToEntry(shard));
  return OperatorAnswer(std::move(view));
}

}  // namespace graniteseam::control
