/// @file
/// What a router tells callers about requests that it did not bring to an answer: statuses and
/// errors as docs/interface/callers.md has them.
#pragma once

#include "graniteseam/common/error.h"
#include "graniteseam/common/ids.h"
#include "graniteseam/routing/messages.h"

namespace graniteseam::routing {

/// The HTTP status for an answer that the router makes itself.
int StatusOf(ErrorKind kind, RequestOutcome outcome);

/// The error for giving a request up.
Error GivenUp(ErrorKind reason, RequestOutcome outcome);

Error NoLease();
Error Stopping();
Error TooManyRequests();
Error UnknownService(const ServiceName& service);
Error GroupNotAllowed(const GroupName& group, const ServiceName& service);
Error KeyNotOfGroup(const GroupName& group, const std::string& prefix);
Error WrongPathForm(const ServiceName& service, bool keyed);
Error OperationIdMissing(const ServiceName& service);
Error BodyTooLarge(std::int64_t bytes_maximum);
/// For an operation that is refused before the journal said whether an earlier sending of it ran:
/// `reason`'s kind and words, and what is known about the outcome.
Error JournalNotConsulted(Error reason);
/// The journal did not answer a claim in time; nothing was sent.
Error JournalTimedOut();
/// For a claim's verdict other than kClaimed and kAnswered with an answer.
Error ClaimRefused(control::ClaimVerdict verdict);

}  // namespace graniteseam::routing
