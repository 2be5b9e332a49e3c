/// @file
/// The judge of a run of the traffic world: an account of what workers, callers and operators saw, in
/// true time and in plain values. It shares no code with the product and takes nothing from it on trust.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "simulation/traffic_world/retry_account.h"
#include "simulation/traffic_world/span_map.h"

namespace graniteseam::simulation {

/// What requests ask for, as the callers of this world number it: one of a few that many callers ask
/// for alike, one that ends each worker that runs it, or one that only one call asks for.
inline constexpr std::uint64_t kPopularDigests = 4;
inline constexpr std::uint64_t kCrashingDigests = 16;
constexpr auto is_crashing(std::uint64_t digest) -> bool
{
    return digest > kPopularDigests && digest <= kPopularDigests + kCrashingDigests;
}

/// Keys that a worker holds, or still works on.
struct HeldKeysFact {
    Keys keys;
    std::uint64_t fence = 0;
    std::int64_t until = 0; ///< When its lease is over at the latest.
    /// Given by an order that was carried out after its sender had stopped waiting for it. Nobody but
    /// the worker can know of it, so the users' rules do not count it.
    bool late = false;
};

/// Checks each fact against all earlier ones when it is told, and keeps what it finds; of each kind the
/// first few. Times are true time in microseconds. Workers are told apart by their lives' ids, requests
/// by their senders' numbers. Not thread safe.
class TrafficOracle {
public:
    explicit TrafficOracle(RetryBound const& retries = {})
        : m_retry_bound(retries)
    {
    }

    // Keys.
    /// All that a worker holds of a service from now on.
    auto on_holdings(std::string const& worker, std::string const& service, std::vector<HeldKeysFact> held,
        std::int64_t now) -> void;
    /// A worker took keys under a fence, for the first time or again.
    auto on_keys_taken(std::string const& worker, std::string const& service, HeldKeysFact const& taken,
        std::int64_t now) -> void;
    auto on_worker_over(std::string const& worker) -> void;

    // Requests.
    auto on_sent(std::uint64_t request, bool repeatable, std::int64_t now = 0) -> void;
    /// A worker began to work on a request.
    auto on_run(std::uint64_t request, std::string const& worker, std::int64_t now) -> void;
    /// A caller was told that its request did not run and never will.
    auto on_refused(std::uint64_t request, int status, std::int64_t now) -> void;
    /// A caller got a worker's answer. @param answered the request that the answer says it belongs to.
    auto on_answer(std::uint64_t request, std::uint64_t answered, std::int64_t now) -> void;

    // Retries.
    /// A caller sends a request on a route to a service. A caller's retry is a request of its own.
    auto on_requested(std::string const& service, std::int64_t now) -> void;
    /// A request reaches a worker of a service, from whatever gateway, whether or not the worker takes it.
    /// @param life of the gateway, from one start to the next.
    auto on_arrived(std::uint64_t request, std::string const& service, std::int64_t now,
        std::string const& life = {}) -> void;
    /// The most of a service's bound on retries that was used in any window; more than 1 is a breach.
    auto retry_bound_used() const -> double { return m_retry_bound_used; }

    // Requests that end their workers.
    /// A worker ended under what it ran.
    auto on_crashed(std::uint64_t digest, std::string const& worker, std::int64_t now) -> void;
    /// A request that would end its worker reaches one. @param in_touch whether its gateway was in touch.
    auto on_crashing_reached(std::uint64_t digest, bool in_touch, std::int64_t now) -> void;
    /// A caller was told that what it asks for ended workers.
    auto on_quarantined(std::uint64_t request, std::uint64_t digest, std::int64_t now) -> void;

    // Drains.
    /// A worker's word that it leaves was acknowledged.
    auto on_drain_acknowledged(std::string const& worker, std::int64_t now) -> void;
    /// A request reaches a worker. @param in_touch whether its gateway was in touch when it sent it.
    auto on_request_reached(std::string const& worker, bool in_touch, std::int64_t now) -> void;

    // What workers state of the requests that they take. Gateways are told apart by their lives.
    /// A worker names this limit in its answers from now on, in requests a second; 0 for none.
    auto on_limit(std::string const& worker, double limit, std::int64_t now) -> void;
    /// A gateway passed on an answer that names the worker's limit.
    auto on_limit_relayed(std::string const& worker, std::string const& gateway, std::int64_t now) -> void;
    /// A gateway passed on an answer by which the worker leaves.
    auto on_leaving_relayed(std::string const& worker, std::string const& gateway, std::int64_t now) -> void;
    /// A worker turned a gateway's request away, and wants nothing from that gateway for so long.
    auto on_rest_asked(
        std::string const& worker, std::string const& gateway, std::int64_t rest, std::int64_t now) -> void;
    /// A gateway's request reaches a worker. @param sent when the gateway sent it: a network that loses
    /// packets may bring it after an answer that the gateway read later.
    auto on_request_from(std::string const& worker, std::string const& gateway, std::uint64_t request,
        std::int64_t sent, std::int64_t now) -> void;

    // Warm-ups.
    /// A worker warms up from now on, until `warm_at`.
    auto on_warm_up(std::string const& worker, std::int64_t warm_at, std::int64_t now) -> void;
    /// A request reaches the worker that it is meant for, from whatever gateway.
    auto on_request_taken(std::string const& worker, std::int64_t sent, std::int64_t now) -> void;

    // Configuration.
    /// An operator was told that a change is accepted.
    auto on_change_accepted(
        std::uint64_t version, std::uint64_t base, std::string const& content, std::int64_t now) -> void;
    /// An operator was told for certain that a change is not accepted.
    auto on_change_refused(std::uint64_t version, std::string const& content, std::int64_t now) -> void;
    /// A read of the configuration, asked for at `asked`, was answered.
    auto on_configuration_read(
        std::uint64_t version, std::string const& content, std::int64_t asked, std::int64_t now) -> void;
    /// What is in force at one life of a gateway. @param in_touch whether it was all the while in which
    /// it must have heard of the newest.
    auto on_gateway_configuration(
        std::string const& gateway, std::uint64_t version, bool in_touch, std::int64_t now) -> void;

    /// Notes a breach of a promise; `promise` is one of the names in the pages.
    auto violate(std::string_view promise, std::string const& what, std::int64_t now) -> void;

    auto violations() const -> std::vector<std::string> const& { return m_violations; }
    /// Whether a breach of this promise was found.
    auto found(std::string_view promise) const -> bool { return m_found.contains(promise); }
    auto checks() const -> std::uint64_t { return m_checks; }
    auto newest_accepted() const -> std::uint64_t
    {
        return m_accepted.empty() ? 0 : m_accepted.rbegin()->first;
    }
    auto unsafe_runs() const -> std::uint64_t { return m_unsafe_runs; }

private:
    struct Request {
        std::int64_t sent = 0;
        bool repeatable = false;
        bool refused = false;
        bool arrived = false;
        std::uint32_t runs = 0;
    };
    struct Crashing {
        std::set<std::string> ended; ///< Workers.
        std::int64_t third_at = 0; ///< When it ended the third one.
        std::uint32_t reached_after = 0; ///< Workers, by gateways in touch, later than allowed.
    };
    struct Accepted {
        std::string content;
        std::int64_t at = 0;
    };
    /// A worker's limit as long as it names the same one.
    struct Limit {
        double per_second = 0;
        std::int64_t since = 0;
        std::map<std::string, std::int64_t> told; ///< When gateways first passed it on.
        std::deque<std::int64_t> arrived; ///< From gateways that were told, within the last window.
    };
    /// A rest that a worker asked a gateway for.
    struct Rest {
        std::int64_t from = 0;
        std::int64_t until = 0;
        std::uint32_t reached = 0;
    };
    struct WarmUp {
        std::int64_t from = 0;
        std::int64_t until = 0;
        /// When requests were sent that arrived within the last second, by their arrivals.
        std::deque<std::pair<std::int64_t, std::int64_t>> taken;
    };
    using WorkerAndGateway = std::pair<std::string, std::string>;

    auto check_retries(std::string const& service, std::int64_t now) -> void;
    auto check_limit(std::string const& worker, std::string const& gateway, std::int64_t now) -> void;
    auto check_rests(WorkerAndGateway const&, std::int64_t sent, std::int64_t now) -> void;

    using ServiceOf = std::pair<std::string, std::string>; ///< Worker and service.

    auto find_second_holder(ServiceOf const& holder, std::int64_t now) -> void;

    std::map<ServiceOf, std::vector<HeldKeysFact>> m_held;
    /// The highest fence under which each worker ever held a key, by service and worker.
    std::map<std::string, std::map<std::string, SpanMap<std::uint64_t>>> m_fences;
    std::map<std::uint64_t, Request> m_requests;
    RetryBound m_retry_bound;
    std::map<std::string, RetryAccount> m_retries; ///< By service.
    double m_retry_bound_used = 0;
    std::map<std::uint64_t, Crashing> m_crashing; ///< By digest.
    std::map<std::string, std::int64_t> m_drained_since;
    std::map<std::string, Limit> m_limits;
    std::map<std::string, WarmUp> m_warm_ups;
    std::map<WorkerAndGateway, std::int64_t> m_leaving; ///< When the gateway first passed it on.
    std::map<WorkerAndGateway, std::vector<Rest>> m_rests;
    std::map<std::uint64_t, Accepted> m_accepted; ///< By version.
    std::map<std::uint64_t, std::string> m_accepted_on; ///< Contents by base.
    std::set<std::string> m_refused_contents;
    std::map<std::string, std::uint64_t> m_gateway_versions;
    std::vector<std::string> m_violations;
    std::map<std::string, std::uint32_t, std::less<>> m_found;
    std::uint64_t m_checks = 0;
    std::uint64_t m_unsafe_runs = 0;
};

} // namespace graniteseam::simulation
