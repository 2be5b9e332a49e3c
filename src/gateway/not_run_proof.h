/// @file
/// Evidence for the statuses by which a gateway promises that a request has not run.
#pragma once

namespace graniteseam::gateway {

/// Shows that a request has not run and never will. A status that promises this can only be sent
/// with one, and only the record of the request's attempts gives it.
class NotRunProof {
  friend class AttemptRecord;
  NotRunProof() = default;
};

}  // namespace graniteseam::gateway
