/// @file
/// HTTP statuses and errors for requests that no server answered, as documented in
/// docs/interface/callers.md.
#pragma once

#include "graniteseam/common/error.h"
#include "graniteseam/common/ids.h"
#include "graniteseam/routing/messages.h"

namespace graniteseam::routing {

/// The HTTP status of an answer that the router generates.
int StatusOf(ErrorKind kind, RequestOutcome outcome);

/// The error for a request that the router gave up for `reason`.
Error GiveUpError(ErrorKind reason, RequestOutcome outcome);

Error NoLease();
Error Stopping();
Error TooManyRequests();
Error UnknownService(const ServiceName& service);
Error GroupNotAllowed(const GroupName& group, const ServiceName& service);
Error KeyNotOfGroup(const GroupName& group, const std::string& prefix);
Error WrongPathForm(const ServiceName& service, bool keyed);
Error OperationIdMissing(const ServiceName& service);
Error BodyTooLarge(std::int64_t bytes_maximum);
/// For an operation refused before the journal reported whether an earlier send of it ran:
/// `reason`'s kind and text, extended by the unknown outcome.
Error EarlierSendUnknown(Error reason);
/// The journal did not answer a claim in time; no attempt was sent.
Error JournalTimedOut();
/// For a claim's verdict other than kClaimed and kAnswered with an answer.
Error ClaimRefused(control::ClaimVerdict verdict);

}  // namespace graniteseam::routing
