#include "src/http/operator_json.h"

#include "src/http/json_binding.h"

namespace graniteseam::http {
namespace {

/// All kinds, in the order of their declaration.
constexpr ErrorKind kLastErrorKind = ErrorKind::kInternal;

std::optional<ErrorKind> ErrorKindFromName(std::string_view name) {
  for (int kind = 0; kind <= static_cast<int>(kLastErrorKind); ++kind) {
    if (ErrorKindName(static_cast<ErrorKind>(kind)) == name) return static_cast<ErrorKind>(kind);
  }
  return std::nullopt;
}

}  // namespace

std::string ToJson(const SubmitBody& body) { return ToJsonText(body); }
std::string ToJson(const SignatureBody& body) { return ToJsonText(body); }
std::string ToJson(const RollBody& body) { return ToJsonText(body); }
std::string ToJson(const MoveBody& body) { return ToJsonText(body); }
std::string ToJson(const control::ChangeMembership& body) { return ToJsonText(body); }
std::string ToJson(const control::Accepted& answer) { return ToJsonText(answer); }
std::string ToJson(const control::BundlesView& view) { return ToJsonText(view); }
std::string ToJson(const control::FleetView& view) { return ToJsonText(view); }
std::string ToJson(const control::ShardsView& view) { return ToJsonText(view); }
std::string ToJson(const consensus::Member& member) { return ToJsonText(member); }

Result<SubmitBody> ReadSubmitBody(const std::string& json) {
  return FromJsonText<SubmitBody>(json, /*lenient=*/false);
}
Result<SignatureBody> ReadSignatureBody(const std::string& json) {
  return FromJsonText<SignatureBody>(json, /*lenient=*/false);
}
Result<RollBody> ReadRollBody(const std::string& json) {
  return FromJsonText<RollBody>(json, /*lenient=*/false);
}
Result<MoveBody> ReadMoveBody(const std::string& json) {
  return FromJsonText<MoveBody>(json, /*lenient=*/false);
}
Result<control::ChangeMembership> ReadMembershipBody(const std::string& json) {
  return FromJsonText<control::ChangeMembership>(json, /*lenient=*/false);
}

Result<control::Accepted> ReadAccepted(const std::string& json) {
  return FromJsonText<control::Accepted>(json, /*lenient=*/true);
}
Result<control::BundlesView> ReadBundlesView(const std::string& json) {
  return FromJsonText<control::BundlesView>(json, /*lenient=*/true);
}
Result<control::FleetView> ReadFleetView(const std::string& json) {
  return FromJsonText<control::FleetView>(json, /*lenient=*/true);
}
Result<control::ShardsView> ReadShardsView(const std::string& json) {
  return FromJsonText<control::ShardsView>(json, /*lenient=*/true);
}
Result<consensus::Member> ReadMember(const std::string& json) {
  return FromJsonText<consensus::Member>(json, /*lenient=*/true);
}

int HttpStatus(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
    case ErrorKind::kInvalidSettings:
    case ErrorKind::kInvalidBundle:
    case ErrorKind::kMalformedMessage:
      return 400;
    case ErrorKind::kUnauthenticated:
      return 401;
    case ErrorKind::kPermissionDenied:
      return 403;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kVersionConflict:
    case ErrorKind::kFailedPrecondition:
      return 409;
    case ErrorKind::kTooLarge:
      return 413;
    case ErrorKind::kNotLeader:
    case ErrorKind::kNotOwner:
      return 421;
    case ErrorKind::kOverloaded:
      return 429;
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kTransport:
      return 502;
    case ErrorKind::kUnavailable:
      return 503;
    case ErrorKind::kDeadlineExceeded:
      return 504;
    case ErrorKind::kStorageFull:
      return 507;
    case ErrorKind::kStorageCorrupt:
    case ErrorKind::kStorageIo:
    case ErrorKind::kIncompatibleFormat:
    case ErrorKind::kInternal:
      break;
  }
  return 500;
}

std::string ToJson(const OperatorProblem& problem) {
  nlohmann::json json;
  json["type"] = "about:blank";
  json["title"] = ErrorKindName(problem.error.kind);
  json["status"] = HttpStatus(problem.error.kind);
  json["kind"] = ErrorKindName(problem.error.kind);
  json["detail"] = problem.error.message;
  json["remedy"] = problem.error.remedy;
  if (!problem.leader.empty()) json["leader"] = problem.leader;
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

OperatorProblem ReadOperatorProblem(int status, const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  const auto text_of = [&](const char* key) {
    const bool given = json.is_object() && json.contains(key) && json[key].is_string();
    return given ? json[key].get<std::string>() : std::string();
  };
  const auto kind = ErrorKindFromName(text_of("kind"));
  if (!kind.has_value()) {
    return {{ErrorKind::kInternal,
             "Control answered with status " + std::to_string(status) + " and no problem body.",
             "Check that the address is that of a control process's operator port."},
            ""};
  }
  return {{*kind, text_of("detail"), text_of("remedy")}, text_of("leader")};
}

}  // namespace graniteseam::http
