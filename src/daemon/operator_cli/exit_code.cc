#include "src/daemon/operator_cli/exit_code.h"

namespace graniteseam::operator_cli {
namespace {

constexpr ExitCodeEntry kExitCodes[] = {
    {ExitCode::kDone, "done, or was so already"},
    {ExitCode::kInternal, "a defect; report it"},
    {ExitCode::kInvalidUse, "wrong command, flag, setting or argument"},
    {ExitCode::kInvalidBundle, "the bundle breaks a rule; all faults are listed"},
    {ExitCode::kVersionConflict, "another bundle has this version, or a higher one is in force"},
    {ExitCode::kFailedPrecondition, "not allowed in this state yet, for example rolling unsigned"},
    {ExitCode::kNotAllowed, "no valid credential, untrusted reviewer, or wrong signature"},
    {ExitCode::kNotFound, "no such version, service, shard, server or member"},
    {ExitCode::kUnavailable, "not done in time, or no leader can be reached; run it again"},
    {ExitCode::kOutcomeUnknown,
     "a change was sent and its answer lost; run it again to learn what became of it"},
    {ExitCode::kTooLarge, "over a documented size"},
    {ExitCode::kControlTrouble, "a control process has trouble with its disk or data"},
};

}  // namespace

std::span<const ExitCodeEntry> ExitCodes() { return kExitCodes; }

ExitCode ExitCodeOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
    case ErrorKind::kInvalidSettings:
      return ExitCode::kInvalidUse;
    case ErrorKind::kInvalidBundle:
      return ExitCode::kInvalidBundle;
    case ErrorKind::kVersionConflict:
      return ExitCode::kVersionConflict;
    case ErrorKind::kFailedPrecondition:
      return ExitCode::kFailedPrecondition;
    case ErrorKind::kUnauthenticated:
    case ErrorKind::kPermissionDenied:
      return ExitCode::kNotAllowed;
    case ErrorKind::kNotFound:
      return ExitCode::kNotFound;
    case ErrorKind::kNotLeader:
    case ErrorKind::kUnavailable:
    case ErrorKind::kOverloaded:
    case ErrorKind::kDeadlineExceeded:
    case ErrorKind::kTransport:
      return ExitCode::kUnavailable;
    case ErrorKind::kOutcomeUnknown:
      return ExitCode::kOutcomeUnknown;
    case ErrorKind::kTooLarge:
      return ExitCode::kTooLarge;
    case ErrorKind::kStorageFull:
    case ErrorKind::kStorageCorrupt:
    case ErrorKind::kStorageIo:
    case ErrorKind::kIncompatibleFormat:
      return ExitCode::kControlTrouble;
    case ErrorKind::kMalformedMessage:
    case ErrorKind::kNotOwner:
    case ErrorKind::kInternal:
      break;
  }
  return ExitCode::kInternal;
}

}  // namespace graniteseam::operator_cli
