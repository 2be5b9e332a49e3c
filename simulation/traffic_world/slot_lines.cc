#include "simulation/traffic_world/slot_lines.h"

#include <algorithm>

namespace graniteseam::simulation {
namespace {

    /// Begins the name of an accepted connection, which no address does.
    constexpr auto kAcceptedPrefix = '#';

} // namespace

auto SlotLines::add(GatewayProcess& gateway) -> void
{
    m_gateways[gateway.coordination_address] = &gateway;
}

auto SlotLines::find(Number number) -> Line*
{
    auto const found = m_lines.find(number);
    if (found == m_lines.end())
        return nullptr;
    auto const& line = found->second;
    auto const ends_run = line.dialler->alive() && line.dialler->starts() == line.dialler_start
        && line.acceptor->alive() && line.acceptor->starts() == line.acceptor_start;
    if (ends_run)
        return &found->second;
    m_lines.erase(found);
    return nullptr;
}

auto SlotLines::dial(GatewayProcess& from, std::string const& address) -> Number
{
    auto& dialled = m_dialled[{from.name().number, address}];
    if (find(dialled) != nullptr)
        return dialled;
    auto const found = m_gateways.find(address);
    if (found == m_gateways.end() || !found->second->alive())
        return 0;
    auto& to = *found->second;
    // A connection needs both directions.
    if (!m_world.Connected(from.name(), to.name()) || !m_world.Connected(to.name(), from.name()))
        return 0;
    dialled = ++m_last_number;
    m_lines[dialled] = {&from, &to, from.starts(), to.starts(), 0, 0};
    return dialled;
}

auto SlotLines::send(GatewayProcess& from, std::string const& address, coordination::SlotBatch const& batch)
    -> void
{
    auto const to_dialler = address.starts_with(kAcceptedPrefix);
    auto const number = to_dialler ? std::stoull(address.substr(1)) : dial(from, address);
    if (find(number) == nullptr)
        return m_world.Count("slot message without a connection");
    carry(number, !to_dialler, batch);
}

auto SlotLines::reset(GatewayProcess const& from, std::string const& address) -> void
{
    m_world.Count("slot connection reset");
    m_lines.erase(m_dialled[{from.name().number, address}]);
}

auto SlotLines::carry(Number number, bool to_acceptor, coordination::SlotBatch const& batch) -> void
{
    auto& line = m_lines.at(number);
    auto const& from = to_acceptor ? *line.dialler : *line.acceptor;
    auto& to = to_acceptor ? *line.acceptor : *line.dialler;
    if (!m_world.Connected(from.name(), to.name()))
        return m_world.Count("slot message cut");
    if (m_world.mood.loss > 0 && m_world.random.Chance(m_world.mood.loss))
        return m_world.Count("slot message lost");
    auto& last = to_acceptor ? line.last_at_acceptor : line.last_at_dialler;
    last = std::max(last, m_world.now() + m_world.Delay().count());
    auto const name = to_acceptor ? kAcceptedPrefix + std::to_string(number) : to.coordination_address;
    m_world.queue.At(last, [this, number, &to, name, batch] {
        if (find(number) != nullptr)
            to.Deliver([&to, name, batch] { to.on_slot_batch(name, batch); });
    });
}

} // namespace graniteseam::simulation
