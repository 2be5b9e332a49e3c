/// @file
/// Messages of coordinated admission between gateways.
#pragma once

#include <algorithm>
#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance.h"

namespace graniteseam::coordination {

/// A request for one slot at a server, sent to the server's coordinator.
struct SlotRequest {
    std::uint64_t number = 0; ///< Unique within the sender's incarnation; resending it queries its state.
    ServiceName service;
    traffic::InstanceId instance;
    std::uint32_t slots = 1; ///< Slots of the instance, as known to the sender.
    std::int64_t priority = 0; ///< 0 is the most urgent.
    std::int64_t target_left_us = 0; ///< Until the response loses its full value; negative: already late.
    std::int64_t time_left_us = 0; ///< Until the requesting gateway gives up the request.
    std::int64_t hold_us = 0; ///< Maximum time that the request may wait for a slot.
    bool returned = false; ///< Its caller has returned after an earlier attempt.

    auto operator==(SlotRequest const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(SlotRequest, (),
    (number, service, instance, slots, priority, target_left_us, time_left_us, hold_us, returned))

enum class SlotVerdict {
    kGranted,
    kQueued,
    kRejected,
};
BOOST_DESCRIBE_ENUM(SlotVerdict, kGranted, kQueued, kRejected)

/// A coordinator's decision on a slot request. A queued request gets a further answer later.
struct SlotAnswer {
    std::uint64_t number = 0;
    SlotVerdict verdict = SlotVerdict::kGranted;
    std::int64_t start_in_us = 0; ///< When queued: expected time until the grant.
    std::int64_t retry_after_us = 0; ///< When rejected: time until the server is expected to have room.
    std::uint32_t queued = 0; ///< Requests that wait for this server.

    auto operator==(SlotAnswer const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(SlotAnswer, (), (number, verdict, start_in_us, retry_after_us, queued))

enum class SlotOutcome {
    kServed, ///< The server answered.
    kNotRun, ///< The server refused to run it, or no byte of it was sent.
    kUnused, ///< Not sent under this grant, or withdrawn before the grant.
    kLost, ///< Sent, without a complete answer.
};
BOOST_DESCRIBE_ENUM(SlotOutcome, kServed, kNotRun, kUnused, kLost)

/// Ends a slot request: returns its slot, or withdraws it from the queue.
struct SlotRelease {
    std::uint64_t number = 0;
    SlotOutcome outcome = SlotOutcome::kUnused;
    std::int64_t served_us = 0; ///< When served: time from sending the request to its answer.
    bool has_load = false; ///< Whether the answer contained the server's own load report.
    double running = 0;
    double waiting = 0;
    double slots = 0;

    auto operator==(SlotRelease const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(SlotRelease, (), (number, outcome, served_us, has_load, running, waiting, slots))

/// One batch. Messages to the same gateway that result from one event.
struct SlotBatch {
    RouterId sender;
    std::uint64_t incarnation = 0; ///< Drawn when the sender starts.
    std::vector<SlotRequest> requests;
    std::vector<SlotRelease> releases;
    std::vector<SlotAnswer> answers;

    auto operator==(SlotBatch const&) const -> bool = default;
};
BOOST_DESCRIBE_STRUCT(SlotBatch, (), (sender, incarnation, requests, releases, answers))

/// A time from a message, bounded so that sums with it do not overflow.
inline auto bounded(std::int64_t time_us) -> Duration
{
    constexpr std::int64_t maximum_us = 3'600'000'000;
    return Duration {std::clamp(time_us, -maximum_us, maximum_us)};
}

/// Effect: send messages to a gateway.
struct SlotSend {
    std::string address; ///< "ip:port" of a gateway, or where its messages came from.
    SlotBatch batch;
};

} // namespace graniteseam::coordination
