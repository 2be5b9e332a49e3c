/// @file
/// When TCP sends bytes again over a link that lost them.
#pragma once

#include "graniteseam/common/time.h"

namespace graniteseam::testbed {

/// The shortest retransmission timeout of Linux; it doubles with each retransmission.
inline constexpr Duration kRetransmissionTimeoutMinimum{200'000};

/// @param sent when the bytes were first sent.
/// @return the time of the first retransmission at or after `now`.
inline auto next_retransmission(Instant sent, Instant now) -> Instant {
  auto timeout = kRetransmissionTimeoutMinimum;
  auto at = sent + timeout;
  while (at < now) {
    timeout *= 2;
    at += timeout;
  }
  return at;
}

}  // namespace graniteseam::testbed
