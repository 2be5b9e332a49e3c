/// @file
/// The JSON bodies of the operators' interface (docs/interface/operators.md), for the control
/// process that answers and the command line that asks.
#pragma once

#include <boost/describe/class.hpp>
#include <string>

#include "graniteseam/common/error.h"
#include "graniteseam/consensus/types.h"
#include "graniteseam/control/operator_messages.h"

namespace graniteseam::http {

/// Body of `POST /v1/bundles`.
struct SubmitBody {
  std::string toml;
};
BOOST_DESCRIBE_STRUCT(SubmitBody, (), (toml))

/// Body of `POST /v1/bundles/{version}/signatures`.
struct SignatureBody {
  std::string digest;
  std::string reviewer;
  std::string signature;
};
BOOST_DESCRIBE_STRUCT(SignatureBody, (), (digest, reviewer, signature))

/// Body of `POST /v1/bundles/{version}/roll`.
struct RollBody {
  std::string digest;
};
BOOST_DESCRIBE_STRUCT(RollBody, (), (digest))

/// Body of `POST /v1/shards/{service}/{index}/move`.
struct MoveBody {
  ServerId target;
};
BOOST_DESCRIBE_STRUCT(MoveBody, (), (target))

std::string ToJson(const SubmitBody& body);
std::string ToJson(const SignatureBody& body);
std::string ToJson(const RollBody& body);
std::string ToJson(const MoveBody& body);
std::string ToJson(const control::ChangeMembership& body);
std::string ToJson(const control::Accepted& answer);
std::string ToJson(const control::BundlesView& view);
std::string ToJson(const control::FleetView& view);
std::string ToJson(const control::ShardsView& view);
std::string ToJson(const consensus::Member& member);

/// Read a request's body: every member must be there.
/// @return kMalformedMessage naming the member at fault.
Result<SubmitBody> ReadSubmitBody(const std::string& json);
Result<SignatureBody> ReadSignatureBody(const std::string& json);
Result<RollBody> ReadRollBody(const std::string& json);
Result<MoveBody> ReadMoveBody(const std::string& json);
Result<control::ChangeMembership> ReadMembershipBody(const std::string& json);

/// Read an answer: a member that is missing keeps its default, so that programs of two versions
/// understand each other.
Result<control::Accepted> ReadAccepted(const std::string& json);
Result<control::BundlesView> ReadBundlesView(const std::string& json);
Result<control::FleetView> ReadFleetView(const std::string& json);
Result<control::ShardsView> ReadShardsView(const std::string& json);
Result<consensus::Member> ReadMember(const std::string& json);

/// A problem body (RFC 7807) as control answers it.
struct OperatorProblem {
  Error error;
  std::string leader;  ///< HTTP "ip:port" of the leader, with status 421; empty when not known.
};

/// The HTTP status that goes with a kind of error.
int HttpStatus(ErrorKind kind);

std::string ToJson(const OperatorProblem& problem);

/// Never fails: a body that is no problem gives kInternal with what was seen.
OperatorProblem ReadOperatorProblem(int status, const std::string& json);

}  // namespace graniteseam::http
