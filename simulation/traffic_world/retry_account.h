/// @file
/// What all gateways together send to one service beyond the first arrival of each request, against the
/// users' bound.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace graniteseam::simulation {

/// The users' bound: in every window, repeats are at most `ratio` times the requests, plus `extra`.
struct RetryBound {
    double ratio = 0.2;
    double extra = 20;
    std::int64_t window = 10'000'000; ///< Microseconds.
};

/// Repeats and requests of one service in the window that ends now. Requests are counted in that window, in
/// the one before it or in the one half a window before it, whichever has the most. Times are true time in
/// microseconds and never decrease. Not thread safe.
class RetryAccount {
public:
    explicit RetryAccount(RetryBound const& bound)
        : m_bound(bound)
    {
    }

    /// A client sends a request on a route to the service, whether or not it arrives anywhere.
    auto on_request(std::int64_t now) -> void { m_requests.push_back(now); }
    /// A request that has reached some worker before reaches one of the service.
    /// @param life of the gateway that sent it, from one start to the next.
    auto on_repeat(std::string const& life, std::int64_t now) -> void;

    auto repeats(std::int64_t now) const -> std::size_t;
    auto requests(std::int64_t now) const -> std::size_t;
    auto allowed(std::int64_t now) const -> double;
    /// How many lives of gateways sent the repeats.
    auto lives(std::int64_t now) const -> std::size_t;

private:
    RetryBound m_bound;
    std::vector<std::int64_t> m_requests;
    std::vector<std::int64_t> m_repeats;
    std::vector<std::string> m_lives; ///< Of the senders of m_repeats.
};

} // namespace graniteseam::simulation
