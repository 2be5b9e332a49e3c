#include "src/gateway/hold_limits.h"

#include <algorithm>
#include <cmath>

namespace graniteseam::gateway {
namespace {

/// A request may wait for its target latency divided by this before it must be sent.
constexpr int kHoldPartOfTarget = 5;
/// A request for a key, or one read before the first configuration, may be held for this part of
/// its caller's time. Less than half, so that a request refused in the end has time for another
/// try.
constexpr double kHoldPartOfTime = 0.4;
constexpr Duration kHoldWithoutTarget{100'000};
/// A late request may wait for a slot for the time that is left divided by this.
constexpr int kSlotHoldPartOfTime = 4;
/// A token arrives within a few milliseconds, or within 0.1 s to 0.2 s from a leader that was
/// throttled because its CPU share was used up. Its request is still in time then; a refusal would
/// send the caller to another gateway, which asks the same leader.
constexpr int kTokenWaitPartOfTarget = 4;
constexpr Duration kTokenWaitMinimum{50'000};
constexpr Duration kTokenWaitMaximum{250'000};
/// Interval between two checks of an owner that has no room. The estimated load from other gateways
/// decays without any event here.
constexpr Duration kOwnerCheckInterval{25'000};

auto token_wait(LiveRequest const& request) -> Duration {
  return std::clamp(request.target_latency / kTokenWaitPartOfTarget, kTokenWaitMinimum,
                    kTokenWaitMaximum);
}

auto long_hold_end(LiveRequest const& request) -> Instant {
  auto const time_left = static_cast<double>(request.arrived.time_left.count());
  return request.received + Duration(std::llround(time_left * kHoldPartOfTime));
}

}  // namespace

auto is_in_time(LiveRequest const& request, Instant now) -> bool {
  return target_left(request, now) > Duration{};
}

auto target_left(LiveRequest const& request, Instant now) -> Duration {
  return request.target_latency - request.age - (now - request.received);
}

auto slot_hold(LiveRequest const& request, Instant now) -> Duration {
  auto const part = (request.give_up - now) / kSlotHoldPartOfTime;
  return std::max({Duration{}, part, target_left(request, now)});
}

auto short_hold(LiveRequest const& request) -> Duration {
  return request.target_latency / kHoldPartOfTarget;
}

auto owner_hold(LiveRequest const& request) -> Duration {
  return std::max(long_hold_end(request) - request.hold_from, short_hold(request));
}

auto configuration_wait_end(LiveRequest const& request) -> Instant {
  return long_hold_end(request);
}

auto token_wait_end(LiveRequest const& request) -> Instant {
  return std::min(request.received + token_wait(request), request.give_up);
}

auto limit_wait_end(LiveRequest const& request) -> Instant {
  return std::min(request.token_wait_since + token_wait(request), request.give_up);
}

auto hold_timer(LiveRequest const& request, Duration limit, Instant now) -> Instant {
  auto const hold = limit > Duration{} ? limit : kHoldWithoutTarget;
  auto const end = std::min(request.hold_from + hold, request.give_up);
  if (now >= end) return {};
  return request.not_before > now ? std::min(end, request.not_before) : end;
}

auto next_owner_check(Instant now) -> Instant {
  return Instant{(now.time_since_epoch() / kOwnerCheckInterval + 1) * kOwnerCheckInterval};
}

}  // namespace graniteseam::gateway
