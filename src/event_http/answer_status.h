/// @file
/// What the status of an answer makes of it (RFC 9110, section 15).
#pragma once

namespace graniteseam::event_http {

enum class StatusClass {
  kInterim,  ///< The final answer follows.
  kFinal,
  kInvalid,  ///< No status, or one that no call of ours can get.
};

/// Before one final answer; each is thrown away.
inline constexpr int kInterimAnswersMaximum = 16;

constexpr StatusClass ClassOfStatus(int status) {
  constexpr int kLowest = 100;
  constexpr int kLowestFinal = 200;
  constexpr int kHighest = 599;
  /// Behind it the connection speaks another protocol, for which no call asks.
  constexpr int kSwitchingProtocols = 101;
  if (status < kLowest || status > kHighest || status == kSwitchingProtocols) {
    return StatusClass::kInvalid;
  }
  return status < kLowestFinal ? StatusClass::kInterim : StatusClass::kFinal;
}

}  // namespace graniteseam::event_http
