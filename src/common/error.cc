#include "graniteseam/common/error.h"

namespace graniteseam {

std::string_view ErrorKindName(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return "invalid_argument";
    case ErrorKind::kInvalidSettings:
      return "invalid_settings";
    case ErrorKind::kInvalidBundle:
      return "invalid_bundle";
    case ErrorKind::kMalformedMessage:
      return "malformed_message";
    case ErrorKind::kTooLarge:
      return "too_large";
    case ErrorKind::kUnauthenticated:
      return "unauthenticated";
    case ErrorKind::kPermissionDenied:
      return "permission_denied";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kVersionConflict:
      return "version_conflict";
    case ErrorKind::kFailedPrecondition:
      return "failed_precondition";
    case ErrorKind::kNotLeader:
      return "not_leader";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kOverloaded:
      return "overloaded";
    case ErrorKind::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorKind::kNotOwner:
      return "not_owner";
    case ErrorKind::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorKind::kStorageFull:
      return "storage_full";
    case ErrorKind::kStorageCorrupt:
      return "storage_corrupt";
    case ErrorKind::kStorageIo:
      return "storage_io";
    case ErrorKind::kIncompatibleFormat:
      return "incompatible_format";
    case ErrorKind::kTransport:
      return "transport";
    case ErrorKind::kInternal:
      return "internal";
  }
  return "internal";
}

std::string ToString(const Error& error) {
  std::string text(ErrorKindName(error.kind));
  text += ": ";
  text += error.message;
  text += " Remedy: ";
  text += error.remedy;
  return text;
}

boost::leaf::error_id Fail(ErrorKind kind, std::string message, std::string remedy) {
  return Fail(Error{kind, std::move(message), std::move(remedy)});
}

boost::leaf::error_id Fail(Error error) { return boost::leaf::new_error(std::move(error)); }

}  // namespace graniteseam
