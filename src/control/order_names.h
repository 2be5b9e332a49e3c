/// @file
/// Names of range orders' kinds and outcomes, as written to events and metrics.
#pragma once

#include "graniteseam/control/range_orders.h"

namespace graniteseam::control {

inline const char* OrderKindName(RangeOrder::Kind kind) {
  return kind == RangeOrder::Kind::kGrant ? "grant" : "release";
}

inline const char* OrderOutcomeName(RangeOrderResult::Outcome outcome) {
  using Outcome = RangeOrderResult::Outcome;
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kRefused:
      return "refused";
    case Outcome::kNotDelivered:
      return "not_delivered";
    case Outcome::kOtherInstance:
      return "other_instance";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace graniteseam::control
