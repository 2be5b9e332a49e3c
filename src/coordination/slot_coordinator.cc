#include "src/coordination/slot_coordinator.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "src/coordination/server_queue.h"

namespace graniteseam::coordination {
namespace {

    /// Bounds what faulty gateways can make a coordinator store.
    constexpr std::size_t servers_maximum = 16'384;
    constexpr std::size_t gateways_maximum = 16'384;
    /// A queue without requests is kept for this long, so that its measured service time is not lost between
    /// two requests for a server that is rarely used.
    constexpr Duration idle_retention {60'000'000};
    constexpr Duration cleanup_interval {10'000'000};

} // namespace

class SlotCoordinator::Impl {
public:
    Impl(RouterId self, std::uint64_t incarnation)
        : m_self(std::move(self))
        , m_incarnation(incarnation)
    {
    }

    auto on_batch(std::string_view from, SlotBatch const& batch, Instant now) -> std::vector<SlotSend>
    {
        clean_up(now);
        if (!accept_sender(from, batch, now))
            return take_sends();
        for (auto const& released : batch.releases)
            release({batch.sender, released.number}, released, now);
        for (auto const& request : batch.requests)
            ask({batch.sender, request.number}, request, now);
        return take_sends();
    }

    auto tick(Instant now) -> std::vector<SlotSend>
    {
        for (auto& [id, server] : m_servers) {
            if (server.queue.next_tick() <= now)
                deliver(server.queue.tick(now));
        }
        clean_up(now);
        return take_sends();
    }

    auto next_tick() const -> Instant
    {
        auto next = Instant::max();
        for (auto const& [id, server] : m_servers)
            next = std::min(next, server.queue.next_tick());
        return next;
    }

    auto forget_gateway(RouterId const& gateway, Instant now) -> std::vector<SlotSend>
    {
        drop_requests_of(gateway, now);
        m_gateways.erase(gateway);
        return take_sends();
    }

    auto forget_server(traffic::InstanceId const& server) -> void
    {
        if (m_servers.erase(server) == 0)
            return;
        std::erase_if(m_open, [&](auto const& entry) { return entry.second == server; });
    }

    auto queued() const -> std::size_t
    {
        std::size_t queued = 0;
        for (auto const& [id, server] : m_servers)
            queued += server.queue.queued();
        return queued;
    }

private:
    struct Server {
        explicit Server(std::uint32_t slots)
            : queue(slots)
        {
        }

        ServerQueue queue;
        Instant last_used {};
    };
    struct Gateway {
        std::uint64_t incarnation = 0;
        std::string address;
        Instant last_heard {};
    };

    /// Records the sender's address. Another incarnation than the last one has lost what that one had open.
    /// @return false when there are too many gateways.
    auto accept_sender(std::string_view from, SlotBatch const& batch, Instant now) -> bool
    {
        auto const known = m_gateways.find(batch.sender);
        if (known == m_gateways.end()) {
            if (m_gateways.size() >= gateways_maximum)
                return false;
            m_gateways[batch.sender] = {batch.incarnation, std::string(from), now};
            return true;
        }
        auto& gateway = known->second;
        if (batch.incarnation != gateway.incarnation)
            drop_requests_of(batch.sender, now);
        gateway = {batch.incarnation, std::string(from), now};
        return true;
    }

    auto ask(SlotKey const& key, SlotRequest const& request, Instant now) -> void
    {
        if (auto const open = m_open.find(key); open != m_open.end()) {
            if (auto const state = m_servers.at(open->second).queue.state_of(key, now))
                return deliver({*state});
            m_open.erase(open);
        }
        auto found = m_servers.find(request.instance);
        if (found == m_servers.end()) {
            if (m_servers.size() >= servers_maximum)
                return;
            found = m_servers.emplace(request.instance, Server(request.slots)).first;
        }
        found->second.last_used = now;
        m_open[key] = request.instance;
        deliver({found->second.queue.ask(key, request, now)});
    }

    auto release(SlotKey const& key, SlotRelease const& released, Instant now) -> void
    {
        auto const open = m_open.find(key);
        if (open == m_open.end())
            return;
        auto& server = m_servers.at(open->second);
        m_open.erase(open);
        server.last_used = now;
        deliver(server.queue.release(key, released, now));
    }

    auto drop_requests_of(RouterId const& gateway, Instant now) -> void
    {
        std::erase_if(m_open, [&](auto const& entry) { return entry.first.gateway == gateway; });
        for (auto& [id, server] : m_servers)
            deliver(server.queue.forget(gateway, now));
    }

    /// Adds the decisions to the answers for their gateways.
    auto deliver(std::vector<SlotDecision> const& decisions) -> void
    {
        for (auto const& decision : decisions) {
            if (decision.answer.verdict == SlotVerdict::kRejected)
                m_open.erase(decision.key);
            m_answers[decision.key.gateway].push_back(decision.answer);
        }
    }

    auto take_sends() -> std::vector<SlotSend>
    {
        std::vector<SlotSend> sends;
        for (auto const& [id, answers] : std::exchange(m_answers, {})) {
            auto const gateway = m_gateways.find(id);
            if (gateway == m_gateways.end())
                continue;
            auto& send = sends.emplace_back();
            send.address = gateway->second.address;
            send.batch.sender = m_self;
            send.batch.incarnation = m_incarnation;
            send.batch.answers = answers;
        }
        return sends;
    }

    /// Removes what has not been used for long.
    auto clean_up(Instant now) -> void
    {
        if (now < m_clean_up_due)
            return;
        m_clean_up_due = now + cleanup_interval;
        std::erase_if(m_servers, [&](auto const& entry) {
            auto const& queue = entry.second.queue;
            return queue.granted() == 0 && queue.queued() == 0
                && now - entry.second.last_used > idle_retention;
        });
        std::erase_if(m_open, [&](auto const& entry) { return !is_open(entry.first, entry.second, now); });
        std::erase_if(m_gateways, [&](auto const& entry) {
            return now - entry.second.last_heard > idle_retention && !has_open(entry.first);
        });
    }

    auto has_open(RouterId const& gateway) const -> bool
    {
        auto const found = m_open.lower_bound({gateway, 0});
        return found != m_open.end() && found->first.gateway == gateway;
    }

    /// Grants end without a message when their release was lost.
    auto is_open(SlotKey const& key, traffic::InstanceId const& instance, Instant now) const -> bool
    {
        auto const server = m_servers.find(instance);
        return server != m_servers.end() && server->second.queue.state_of(key, now).has_value();
    }

    RouterId const m_self;
    std::uint64_t const m_incarnation;
    std::map<traffic::InstanceId, Server> m_servers;
    std::map<RouterId, Gateway> m_gateways;
    /// The server of each request that waits or has a grant.
    std::map<SlotKey, traffic::InstanceId> m_open;
    std::map<RouterId, std::vector<SlotAnswer>> m_answers; ///< Of the current event.
    Instant m_clean_up_due {};
};

SlotCoordinator::SlotCoordinator(RouterId self, std::uint64_t incarnation)
    : m_impl(std::make_unique<Impl>(std::move(self), incarnation))
{
}

SlotCoordinator::~SlotCoordinator() = default;

auto SlotCoordinator::on_batch(std::string_view from, SlotBatch const& batch, Instant now)
    -> std::vector<SlotSend>
{
    return m_impl->on_batch(from, batch, now);
}

auto SlotCoordinator::tick(Instant now) -> std::vector<SlotSend>
{
    return m_impl->tick(now);
}

auto SlotCoordinator::next_tick() const -> Instant
{
    return m_impl->next_tick();
}

auto SlotCoordinator::forget_gateway(RouterId const& gateway, Instant now) -> std::vector<SlotSend>
{
    return m_impl->forget_gateway(gateway, now);
}

auto SlotCoordinator::forget_server(traffic::InstanceId const& server) -> void
{
    m_impl->forget_server(server);
}

auto SlotCoordinator::queued() const -> std::size_t
{
    return m_impl->queued();
}

} // namespace graniteseam::coordination
