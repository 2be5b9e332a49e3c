/// @file
/// The coordinator's side of coordinated admission: decides for its servers which request is sent next.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "graniteseam/common/time.h"
#include "src/coordination/slot_messages.h"

namespace graniteseam::coordination {

/// Grants the slots of all servers that this gateway coordinates. Which servers these are follows from the
/// slot requests that arrive. All state is volatile: a coordinator starts empty and learns from requests and
/// releases.
///
/// Deterministic; not thread safe; `now` must not decrease.
class SlotCoordinator {
public:
    /// @param self this gateway, named as the sender of answers.
    SlotCoordinator(RouterId self, std::uint64_t incarnation);
    ~SlotCoordinator();

    /// Handles requests and releases; answers in the batch are ignored.
    /// @param from where answers are sent.
    /// @return answers to this sender, and grants to others for which a release made room.
    auto on_batch(std::string_view from, SlotBatch const& batch, Instant now) -> std::vector<SlotSend>;

    /// Handles all timers that are due: waits that end, grants that expire.
    auto tick(Instant now) -> std::vector<SlotSend>;
    /// When to call tick() next; Instant::max() when no timer is set.
    auto next_tick() const -> Instant;

    /// Drops the grants and queued requests of a gateway that no longer exists.
    auto forget_gateway(RouterId const& gateway, Instant now) -> std::vector<SlotSend>;
    /// Drops the state of a server that no longer exists.
    auto forget_server(traffic::InstanceId const& server) -> void;

    /// Requests that wait for a slot, at all servers.
    auto queued() const -> std::size_t;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace graniteseam::coordination
