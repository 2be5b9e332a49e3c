#include "simulation/traffic_world/retry_account.h"

#include <algorithm>
#include <set>

namespace graniteseam::simulation {
namespace {

    /// Of ordered times, those after `after` and not after `until`.
    auto count_between(std::vector<std::int64_t> const& times, std::int64_t after, std::int64_t until)
        -> std::size_t
    {
        auto const first = std::upper_bound(times.begin(), times.end(), after);
        return static_cast<std::size_t>(std::upper_bound(first, times.end(), until) - first);
    }

} // namespace

auto RetryAccount::on_repeat(std::string const& life, std::int64_t now) -> void
{
    m_repeats.push_back(now);
    m_lives.push_back(life);
}

auto RetryAccount::lives(std::int64_t now) const -> std::size_t
{
    auto const count = static_cast<std::ptrdiff_t>(repeats(now));
    return std::set<std::string>(m_lives.end() - count, m_lives.end()).size();
}

auto RetryAccount::repeats(std::int64_t now) const -> std::size_t
{
    return count_between(m_repeats, now - m_bound.window, now);
}

auto RetryAccount::requests(std::int64_t now) const -> std::size_t
{
    auto const ended = [&](std::int64_t end) { return count_between(m_requests, end - m_bound.window, end); };
    return std::max({ended(now), ended(now - m_bound.window), ended(now - m_bound.window / 2)});
}

auto RetryAccount::allowed(std::int64_t now) const -> double
{
    return m_bound.ratio * static_cast<double>(requests(now)) + m_bound.extra;
}

} // namespace graniteseam::simulation
