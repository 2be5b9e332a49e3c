/// @file
/// Grant and release orders to the instances that own keys, their results, and records of range
/// decisions for the event log.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/key_range.h"
#include "graniteseam/traffic/request_digest.h"

namespace graniteseam::control {

/// Identifies an order within one leadership.
using OrderNumber = NumericId<struct OrderNumberTag>;

/// A call to an instance. The order carries the instance's id as well as its address: the address
/// may pass to another process before the call arrives, and that process must not execute the
/// order.
///
/// A grant assigns the span for `hold`, measured by the instance from the arrival of the call;
/// repeating the same grant renews it. A release stops new work on the span and is answered when
/// the work in progress has ended.
struct RangeOrder {
  enum class Kind { kGrant, kRelease };

  OrderNumber number;
  Kind kind = Kind::kGrant;
  traffic::InstanceId instance;
  std::string address;  ///< "ip:port".
  traffic::KeySpan span;
  traffic::Fence fence;
  Duration hold{};       ///< Grants only.
  std::string handover;  ///< Grants only: the handover data of the previous owner; may be empty.
  Duration limit{};      ///< Timeout, after which the order's outcome is unknown.
  /// Latest time at which the order may be sent. A later leader relies on this limit.
  Instant not_after = Instant::max();
};

/// The outcome of an order.
struct RangeOrderResult {
  enum class Outcome {
    kDone,
    kRefused,       ///< The instance has seen a higher fence.
    kNotDelivered,  ///< No byte was sent.
    /// Another instance answered at the address. The order was not executed and never will be.
    kOtherInstance,
    kUnknown,  ///< Sent without an answer; the instance may execute it at any later time.
  };

  OrderNumber number;
  Outcome outcome = Outcome::kUnknown;
  std::string handover;  ///< Releases only; may be empty.
};

/// A decision of the leader about key ranges, or a change in its view of them, for the event log.
struct RangeNote {
  std::string_view what;  ///< "plan_move", "begin_release", "released", "assign", "unknown_keys".
  ServiceName service;
  traffic::KeySpan span;
  traffic::Fence fence;
  traffic::InstanceId instance;  ///< The owner concerned.
  std::string inputs;            ///< The reasons, in short sentences.
};

/// A decision about a request under which instances terminated, for the event log.
struct SuspectNote {
  std::string_view what;  ///< "suspect", "quarantine" or "clear_suspect".
  traffic::RequestDigest digest;
  std::string inputs;  ///< The instances that terminated while running it.
};

}  // namespace graniteseam::control
