/// @file
/// The asking side of coordinated admission: open slot requests and coordinators that do not answer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/peer.h"
#include "src/coordination/slot_messages.h"

namespace graniteseam::coordination {

/// How long a coordinator may take to answer. A process that has used up its share of the processor stands
/// still for up to a tenth of a second.
inline constexpr Duration answer_limit {100'000};

/// What became of a slot request.
struct SlotResult {
    enum class Kind {
        kGranted,
        kQueued, ///< The expected start is known; a further result follows.
        kRejected,
        kUnanswered, ///< The coordinator is silent; the request is to be sent without a slot.
    };

    std::uint64_t number = 0;
    Kind kind = Kind::kGranted;
    Duration start_in {}; ///< When queued.
    Duration retry_after {}; ///< When rejected.
    std::uint32_t queued = 0; ///< Requests that wait for the server.
    Duration waited {}; ///< Since the slot was asked for.
    Duration start_error {}; ///< When granted after a wait: actual minus expected time of the grant.
};

/// Asks coordinators for slots, repeats and withdraws slot requests, and suspends coordinators that leave
/// them unanswered: their servers are then used without coordination.
///
/// Deterministic; not thread safe; `now` must not decrease.
class SlotClient {
public:
    SlotClient(RouterId self, std::uint64_t incarnation);

    /// Whether a coordinator may be asked: it is not suspended, or is to be tried again.
    auto may_ask(RouterId const& coordinator, Instant now) const -> bool;
    /// Asks for a slot. `request.number` is set here.
    /// @return the number of the slot request.
    auto ask(traffic::GatewayPeer const& coordinator, SlotRequest request, Instant now) -> std::uint64_t;
    /// Ends a slot request: returns its slot or withdraws it. Ignored for one that was rejected or is
    /// unknown.
    auto end(SlotRelease const& release) -> void;

    /// Handles the answers in a batch; other messages in it are ignored.
    auto on_batch(SlotBatch const& batch, Instant now) -> std::vector<SlotResult>;
    /// Handles all timers that are due.
    auto tick(Instant now) -> std::vector<SlotResult>;
    /// When to call tick() next; Instant::max() when no timer is set.
    auto next_tick() const -> Instant;

    /// The messages to send now, one batch for each coordinator.
    auto take_sends() -> std::vector<SlotSend>;

    /// The addresses of coordinators that were suspended since the last call: their connections may no longer
    /// transport data.
    auto take_silent() -> std::vector<std::string>;

    auto open() const -> std::size_t { return m_asks.size(); }
    /// Coordinators of which the incarnation or a silence is remembered.
    auto coordinators() const -> std::size_t { return m_coordinators.size(); }

private:
    struct Ask {
        RouterId coordinator;
        std::string address;
        SlotRequest request;
        Instant asked_at;
        Instant answer_due; ///< Instant::max() once granted.
        Instant wait_end; ///< By then the coordinator's rejection at the end of the hold time has arrived.
        Instant expected_grant {}; ///< Instant{} before the first answer.
        std::uint64_t answered_by = 0; ///< Incarnation of the coordinator that sent the last answer.
        bool granted = false;
        bool repeated = false; ///< Since its last answer.
        bool excused = false; ///< Its limit passed while this gateway stood still.
    };
    struct Coordinator {
        std::uint64_t incarnation = 0; ///< 0 before the first answer.
        int unanswered = 0; ///< Consecutive slot requests without an answer.
        Instant suspended_until {};
    };

    auto outgoing(std::string const& address) -> SlotBatch&;
    auto take_answer(Ask&, SlotAnswer const&, Instant now) -> SlotResult;
    /// Repeats what waits at former incarnations of a coordinator: the present one knows nothing of it.
    auto ask_again(RouterId const& coordinator, std::uint64_t incarnation, Instant now) -> void;
    /// Sends a slot request again, with the times that are left now.
    auto repeat(Ask&, Instant now) -> void;
    auto note_unanswered(Ask const&, Instant now) -> void;
    /// Removes coordinators that nothing is asked of and that are not suspended.
    auto forget_idle_coordinators(Instant now) -> void;

    RouterId const m_self;
    std::uint64_t const m_incarnation;
    std::uint64_t m_last_number = 0;
    std::map<std::uint64_t, Ask> m_asks;
    std::map<RouterId, Coordinator> m_coordinators;
    std::map<std::string, SlotBatch> m_outgoing; ///< By address.
    std::vector<std::string> m_silent;
};

} // namespace graniteseam::coordination
