/// @file
/// Decides for one server which request is sent to it next.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "src/coordination/return_schedule.h"
#include "src/coordination/slot_messages.h"

namespace graniteseam::coordination {

/// Identifies a slot request over all gateways.
struct SlotKey {
    RouterId gateway;
    std::uint64_t number = 0;

    auto operator<=>(SlotKey const&) const = default;
};

/// A decision to be sent to the gateway that asked.
struct SlotDecision {
    SlotKey key;
    SlotAnswer answer;
};

/// The slots of one server and the requests that wait for them.
///
/// Answers a server whose load exceeds its slots, where arrival order would let requests that are late
/// already pass the ones that can still be in time. Requests that can be in time are sent first, by priority,
/// then by the latest moment at which they may start; late ones use what is left, by priority, then by the
/// time that they have left. What can't be sent within its hold time is rejected at once.
///
/// Deterministic; not thread safe; `now` must not decrease.
class ServerQueue {
public:
    explicit ServerQueue(std::uint32_t slots);

    /// Handles a slot request that is not known yet, and decides on it.
    auto ask(SlotKey const&, SlotRequest const&, Instant now) -> SlotDecision;
    /// The present state of a known request, for a repeated slot request; nullopt for an unknown one.
    auto state_of(SlotKey const&, Instant now) const -> std::optional<SlotDecision>;
    /// Returns a slot, or withdraws a waiting request; an unknown request is ignored.
    /// @return grants and rejections of others that follow from it.
    auto release(SlotKey const&, SlotRelease const&, Instant now) -> std::vector<SlotDecision>;
    /// Drops the grants and waiting requests of a gateway.
    auto forget(RouterId const& gateway, Instant now) -> std::vector<SlotDecision>;
    /// Ends waits and grants whose time is over.
    auto tick(Instant now) -> std::vector<SlotDecision>;
    /// When to call tick() next; Instant::max() when nothing waits and no grant is open.
    auto next_tick() const -> Instant;

    auto queued() const -> std::size_t { return m_waiting.size(); }
    auto granted() const -> std::size_t { return m_grants.size(); }
    /// Mean time that the server takes for a request.
    auto service_time() const -> Duration;
    /// Requests beyond the slots that are sent to the server: enough that none of its slots is idle while a
    /// release and the next grant are on their way.
    auto extra_grants() const -> std::uint32_t;

private:
    struct Grant {
        Instant granted_at;
        Instant expires_at;
    };
    struct Waiting {
        std::int64_t priority = 0;
        Instant deadline; ///< End of the time within which the response has its full value.
        Instant give_up;
        Instant hold_end;
        bool late = false;
    };
    /// Order within a class: priority, deadline or end of the request, key.
    using Place = std::tuple<std::int64_t, Instant, SlotKey>;

    auto place_of(SlotKey const&, Waiting const&) const -> Place;
    /// The latest moment at which a request may start to be in time.
    auto latest_start(Waiting const&) const -> Instant;
    /// Grants and requests of other senders that are assumed to be at the server.
    auto outstanding(Instant now) const -> double;
    auto foreign(Instant now) const -> double;
    /// When waiting requests can be granted without a release: requests of other senders decay, and a slot
    /// request may have stated more slots. A time in the past is now; Instant::max() while grants take all
    /// slots.
    auto room_at() const -> Instant;
    /// Time until the server starts the request with this many before it, outstanding ones included.
    auto wait_behind(double before) const -> Duration;
    /// Time until a late request is expected to be granted; nullopt when requests in time leave no room.
    /// @param before late requests that pass it.
    auto late_wait(std::size_t before, Instant now) const -> std::optional<Duration>;
    auto late_before(Place const&) const -> std::size_t;

    /// The answer to a request with the present length of the queue; its times are not set.
    auto decision(SlotKey const&, SlotVerdict) const -> SlotDecision;
    auto grant(SlotKey const&, Instant give_up, bool late, Instant now) -> SlotDecision;
    auto queue(SlotKey const&, Waiting const&, Duration start_in) -> SlotDecision;
    auto reject(SlotKey const&, Instant give_up, Instant now) -> SlotDecision;
    auto remove_waiting(SlotKey const&) -> void;
    /// Rejects or reclassifies waiting requests whose time has passed, then grants what fits.
    auto serve(Instant now) -> std::vector<SlotDecision>;
    auto expire(Instant now, std::vector<SlotDecision>&) -> void;
    auto note_served(SlotRelease const&, Instant granted_at, Instant now) -> void;
    auto note_load(SlotRelease const&, Instant now) -> void;
    auto note_late_grant(Instant now) -> void;

    std::uint32_t m_slots;
    double m_service_us;
    double m_exchange_us
        = 0; ///< Mean time of a slot that its request is neither waiting nor running at the server.
    bool m_measured = false;
    std::map<SlotKey, Grant> m_grants;
    std::map<SlotKey, Waiting> m_waiting;
    std::set<Place> m_in_time;
    std::set<Place> m_late;
    std::deque<Instant> m_late_grants; ///< Within the last window.
    double m_foreign = 0; ///< As of m_foreign_at.
    Instant m_foreign_at {};
    ReturnSchedule m_returns;
};

} // namespace graniteseam::coordination
