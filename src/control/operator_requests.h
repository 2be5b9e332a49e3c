/// @file
/// Turns what operators ask into log commands, membership changes or answers.
#pragma once

#include <map>
#include <string>
#include <variant>

#include "graniteseam/consensus/types.h"
#include "graniteseam/control/operator_messages.h"
#include "src/control/commands.h"
#include "src/control/replicated_state.h"

namespace graniteseam::control {

/// What is to be done for a request: propose, or answer at once.
using OperatorStep = std::variant<CommandBody, consensus::Membership, OperatorAnswer>;

/// Plans changes against the state and membership of an established leader. Each request may be
/// resent: one whose effect is already there is accepted.
OperatorStep PlanRequest(const SubmitBundle& request, const ReplicatedState& state);
/// @param reviewer_keys reviewer -> public key, from this process's settings.
OperatorStep PlanRequest(const SignBundle& request,
                         const std::map<std::string, std::string>& reviewer_keys);
OperatorStep PlanRequest(const RollBundle& request);
OperatorStep PlanRequest(const MoveShard& request, const ReplicatedState& state);
OperatorStep PlanRequest(const DrainServer& request, const ReplicatedState& state);
OperatorStep PlanRequest(const ChangeMembership& request, const ReplicatedState& state,
                         const consensus::Membership& membership);
OperatorStep PlanRequest(const ReadShards& request, const ReplicatedState& state);

}  // namespace graniteseam::control
