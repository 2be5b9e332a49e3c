/// @file
/// Plans operators' requests: turns each into a log command, a membership change or an answer.
#pragma once

#include <map>
#include <string>
#include <variant>

#include "graniteseam/consensus/types.h"
#include "graniteseam/control/operator_messages.h"
#include "src/control/commands.h"
#include "src/control/replicated_state.h"

namespace graniteseam::control {

/// The outcome of planning: a command or membership to propose, or an immediate answer.
using OperatorStep = std::variant<CommandBody, consensus::Membership, OperatorAnswer>;

/// Plans a request against the applied state and the membership of an established leader. Requests
/// are idempotent: one whose effect is already in place is accepted without a proposal.
///
/// Pure functions without side effects; errors are returned as the answer, each with a remedy.
OperatorStep PlanRequest(const SubmitBundle& request, const ReplicatedState& state);
/// @param reviewer_keys public keys by reviewer, from this process's settings.
OperatorStep PlanRequest(const SignBundle& request,
                         const std::map<std::string, std::string>& reviewer_keys);
OperatorStep PlanRequest(const RollBundle& request);
OperatorStep PlanRequest(const MoveShard& request, const ReplicatedState& state);
OperatorStep PlanRequest(const DrainServer& request, const ReplicatedState& state);
OperatorStep PlanRequest(const ChangeMembership& request, const ReplicatedState& state,
                         const consensus::Membership& membership);
OperatorStep PlanRequest(const ReadShards& request, const ReplicatedState& state);

}  // namespace graniteseam::control
