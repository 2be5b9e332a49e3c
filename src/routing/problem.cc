#include "src/routing/problem.h"

#include <string>

namespace graniteseam::routing {

namespace {

constexpr char kLater[] = "Send it again after the time in Retry-After.";

}  // namespace

int StatusOf(ErrorKind kind, RequestOutcome outcome) {
  if (outcome == RequestOutcome::kOutcomeUnknown && kind == ErrorKind::kOutcomeUnknown) return 502;
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return 400;
    case ErrorKind::kPermissionDenied:
      return 403;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kVersionConflict:
      return 409;
    case ErrorKind::kTooLarge:
      return 413;
    case ErrorKind::kOverloaded:
      return 429;
    case ErrorKind::kDeadlineExceeded:
      return 504;
    default:
      return 503;
  }
}

Error GiveUpError(ErrorKind reason, RequestOutcome outcome) {
  if (outcome == RequestOutcome::kOutcomeUnknown) {
    return {ErrorKind::kOutcomeUnknown,
            "The request was sent to a server and no whole answer came back; it may have run.",
            "Ask for its effect, or send it again with the same Idempotency-Key if it has one."};
  }
  switch (reason) {
    case ErrorKind::kOverloaded:
      return {reason, "The service has no free capacity for this group's request.", kLater};
    case ErrorKind::kDeadlineExceeded:
      return {reason, "The deadline left no time to run the request.",
              "Send it again with a longer Graniteseam-Deadline-Ms."};
    default:
      return {ErrorKind::kUnavailable, "No server could take the request in time.", kLater};
  }
}

Error NoLease() {
  return {ErrorKind::kUnavailable,
          "This router holds no valid lease: it could not confirm the newest bundle with control.",
          "Send the request to another router, or again after the time in Retry-After."};
}

Error Stopping() {
  return {ErrorKind::kUnavailable, "This router is being stopped.",
          "Send the request to another router."};
}

Error TooManyRequests() {
  return {ErrorKind::kOverloaded, "This router has reached its limit of concurrent requests.",
          kLater};
}

Error UnknownService(const ServiceName& service) {
  return {ErrorKind::kNotFound, "The bundle in force names no service \"" + service.value + "\".",
          "Check the service's name in the path."};
}

Error GroupNotAllowed(const GroupName& group, const ServiceName& service) {
  return {ErrorKind::kPermissionDenied,
          "The group \"" + group.value + "\" may not call the service \"" + service.value + "\".",
          "Check Graniteseam-Group, or have the service added to the group by a new bundle."};
}

Error KeyNotOfGroup(const GroupName& group, const std::string& prefix) {
  return {ErrorKind::kPermissionDenied,
          "The group \"" + group.value + "\" may only use keys that begin with \"" + prefix + "\".",
          "Check the key in the path."};
}

Error WrongPathForm(const ServiceName& service, bool keyed) {
  return {ErrorKind::kInvalidArgument,
          "The path does not have the form of the " + std::string(keyed ? "keyed" : "pooled") +
              " service \"" + service.value + "\".",
          keyed ? "Use /v1/services/{service}/keys/{key}/{rest}."
                : "Use /v1/services/{service}/{rest}."};
}

Error OperationIdMissing(const ServiceName& service) {
  return {ErrorKind::kInvalidArgument,
          "Requests to \"" + service.value + "\" may not be repeated and need an Idempotency-Key.",
          "Send a UUID of version 7 in lower case, the same for every resend of one operation."};
}

Error BodyTooLarge(std::int64_t bytes_maximum) {
  return {ErrorKind::kTooLarge,
          "The body is longer than the " + std::to_string(bytes_maximum) +
              " bytes that the service takes.",
          "Send a shorter body."};
}

Error EarlierSendUnknown(Error reason) {
  reason.message += " Whether an earlier send of this operation ran was not determined.";
  reason.remedy = "Send it again with the same Idempotency-Key after the time in Retry-After.";
  return reason;
}

Error JournalTimedOut() {
  return {ErrorKind::kUnavailable, "The operation journal did not answer in time.",
          "Send the request again with the same Idempotency-Key after the time in Retry-After."};
}

Error ClaimRefused(control::ClaimVerdict verdict) {
  switch (verdict) {
    case control::ClaimVerdict::kMismatch:
      return {ErrorKind::kVersionConflict,
              "This Idempotency-Key was used for another request before.",
              "Use a new Idempotency-Key for a new operation."};
    case control::ClaimVerdict::kExpired:
      return {
          ErrorKind::kInvalidArgument,
          "The Idempotency-Key is no UUID of version 7, or older than the retention window, or "
          "too far in the future.",
          "Make a new Idempotency-Key with the present time, unless the operation may have run."};
    case control::ClaimVerdict::kFull:
      return {ErrorKind::kOverloaded, "The operation journal is full.", kLater};
    case control::ClaimVerdict::kInProgress:
      return {ErrorKind::kOutcomeUnknown,
              "The operation was started by an earlier request and has not ended.",
              "Send it again later with the same Idempotency-Key; it will not run twice."};
    default:
      return {ErrorKind::kOutcomeUnknown,
              "The operation was started by an earlier request; its answer is no longer available.",
              "Ask for its effect; it will not run again under this Idempotency-Key."};
  }
}

}  // namespace graniteseam::routing
