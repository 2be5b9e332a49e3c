/// @file
/// Classes of status codes, for clients (RFC 9110, section 15).
#pragma once

namespace graniteseam::runtime {

enum class StatusClass {
  kInterim,  ///< The final answer follows.
  kFinal,
  kInvalid,  ///< Outside 100 to 599, or 101, behind which HTTP ends.
};

/// Interim answers that are skipped before a final one.
inline constexpr int kInterimAnswersMaximum = 16;

constexpr StatusClass ClassOfStatus(int status) {
  constexpr int kLowest = 100;
  constexpr int kLowestFinal = 200;
  constexpr int kHighest = 599;
  constexpr int kSwitchingProtocols = 101;
  if (status < kLowest || status > kHighest || status == kSwitchingProtocols) {
    return StatusClass::kInvalid;
  }
  return status < kLowestFinal ? StatusClass::kInterim : StatusClass::kFinal;
}

}  // namespace graniteseam::runtime
