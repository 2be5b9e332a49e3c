#include "src/coordination/coordinator_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

namespace graniteseam::coordination {
namespace {

    /// Servers that are gone stay in the cache until the list changes.
    constexpr std::size_t cached_maximum = 65'536;
    constexpr double weight_minimum = 1e-6;
    /// Bounds the connections of a gateway: with nine zones it has one to each of 288 gateways at most.
    constexpr std::size_t coordinators_per_zone = 32;

    /// The score of a gateway for a server; the highest one wins, with a probability in proportion to the
    /// weight.
    auto score_of(traffic::GatewayPeer const& peer, std::uint64_t server_digest) -> double
    {
        auto const digest = XXH3_64bits_withSeed(peer.id.value.data(), peer.id.value.size(), server_digest);
        constexpr int discarded_bits = 11;
        constexpr double values = 9007199254740992.0; // 2^53, the integers that a double holds exactly.
        auto const uniform = (static_cast<double>(digest >> discarded_bits) + 0.5) / values;
        // The order of the arguments makes NaN the minimum.
        return -std::max(weight_minimum, peer.weight) / std::log(uniform);
    }

} // namespace

auto CoordinatorSelector::apply(traffic::PeerUpdate const& update) -> std::vector<RouterId>
{
    std::vector<RouterId> gone;
    if (update.version.number == 0)
        return gone;
    auto const whole = update.base.number == 0;
    if (!whole && update.base != m_version)
        return gone;
    auto before = whole ? std::exchange(m_peers, {}) : std::map<RouterId, traffic::GatewayPeer> {};
    for (auto const& id : update.removed) {
        if (m_peers.erase(id) > 0)
            gone.push_back(id);
    }
    for (auto const& peer : update.changed)
        m_peers[peer.id] = peer;
    for (auto const& [id, peer] : before) {
        if (!m_peers.contains(id))
            gone.push_back(id);
    }
    m_version = update.version;
    m_chosen.clear();
    select_coordinators();
    return gone;
}

auto CoordinatorSelector::coordinator_of(traffic::InstanceId const& server, ZoneName const& zone)
    -> traffic::GatewayPeer const*
{
    if (m_peers.empty())
        return nullptr;
    if (m_chosen.size() >= cached_maximum)
        m_chosen.clear();
    auto found = m_chosen.find(server);
    if (found == m_chosen.end())
        found = m_chosen.emplace(server, choose(server, zone)).first;
    return &m_peers.at(found->second);
}

auto CoordinatorSelector::select_coordinators() -> void
{
    std::map<ZoneName, std::vector<std::pair<double, RouterId>>> by_score;
    for (auto const& [id, peer] : m_peers)
        by_score[peer.zone].emplace_back(score_of(peer, 0), id);
    m_coordinators.clear();
    for (auto& [zone, scored] : by_score) {
        std::sort(scored.begin(), scored.end(), std::greater<> {});
        scored.resize(std::min(scored.size(), coordinators_per_zone));
        for (auto const& [score, id] : scored)
            m_coordinators[zone].push_back(id);
    }
}

auto CoordinatorSelector::choose(traffic::InstanceId const& server, ZoneName const& zone) const -> RouterId
{
    auto const digest = XXH3_64bits(server.value.data(), server.value.size());
    auto best = m_coordinators.begin()->second.front();
    auto best_score = -std::numeric_limits<double>::infinity();
    auto const consider = [&](std::vector<RouterId> const& candidates) {
        for (auto const& id : candidates) {
            auto const score = score_of(m_peers.at(id), digest);
            if (best_score >= score)
                continue;
            best = id;
            best_score = score;
        }
    };
    if (auto const near = m_coordinators.find(zone); near != m_coordinators.end()) {
        consider(near->second);
        return best;
    }
    for (auto const& [other, candidates] : m_coordinators)
        consider(candidates);
    return best;
}

} // namespace graniteseam::coordination
