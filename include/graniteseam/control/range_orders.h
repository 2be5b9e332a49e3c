/// @file
/// Orders to the instances that own keys, and what came of them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/key_range.h"
#include "graniteseam/traffic/request_digest.h"

namespace graniteseam::control {

/// Names an order as long as one leadership lasts.
using OrderNumber = NumericId<struct OrderNumberTag>;

/// A call to an instance. It names the instance, not only its address: the address may pass to
/// another process before the call arrives, and that one must not carry it out. A grant gives the
/// span for `hold`, counted by the instance from the call's arrival; the same grant again renews
/// it. A release stops new work on the span and is answered when the work that runs has ended.
struct RangeOrder {
  enum class Kind { kGrant, kRelease };

  OrderNumber number;
  Kind kind = Kind::kGrant;
  traffic::InstanceId instance;
  std::string address;  ///< "ip:port".
  traffic::KeySpan span;
  traffic::Fence fence;
  Duration hold{};       ///< Grants only.
  std::string handover;  ///< Grants only: what the last owner gave; may be empty.
  Duration limit{};      ///< Without an answer by then its outcome is unknown.
  /// Not to be sent any more after this: a later leader counts on it.
  Instant not_after = Instant::max();
};

struct RangeOrderResult {
  enum class Outcome {
    kDone,
    kRefused,       ///< The instance saw a higher fence.
    kNotDelivered,  ///< No byte was sent.
    /// Another instance answered at the address: it was not carried out and never will be.
    kOtherInstance,
    kUnknown,  ///< Sent; it may be carried out, also later.
  };

  OrderNumber number;
  Outcome outcome = Outcome::kUnknown;
  std::string handover;  ///< Of a release; may be empty.
};

/// A decision of the leader about key ranges, or something that it came to believe of them, for the
/// event log.
struct RangeNote {
  std::string_view what;  ///< "plan_move", "begin_release", "released", "assign", "unknown_keys".
  ServiceName service;
  traffic::KeySpan span;
  traffic::Fence fence;
  traffic::InstanceId instance;  ///< The owner that it is about.
  std::string inputs;            ///< Why, in short sentences.
};

/// What was decided on a request under which instances ended; for the event log.
struct SuspectNote {
  std::string_view what;  ///< "suspect", "quarantine" or "clear_suspect".
  traffic::RequestDigest digest;
  std::string inputs;  ///< The instances that ended under it.
};

}  // namespace graniteseam::control
