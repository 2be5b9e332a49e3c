/// @file
/// The back pressure that servers report, as far as a gateway has received it, and what this
/// gateway may send them under it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/update.h"
#include "src/gateway/gateway_events.h"

namespace graniteseam::gateway {

/// Back pressure of an instance that began, changed or ended, for the log.
struct BackPressureChange {
  traffic::InstanceId instance;
  std::string_view what;  ///< For example "limit_named".
  std::string inputs;
};

/// Tracks rate limits, back-off periods and announced shutdowns of instances. A report holds for
/// one incarnation of an instance: a limit until any gateway receives an answer to a request that
/// ran there without one, a back-off until its time is over, an announced shutdown for good. It
/// holds whether the instance is listed or not: one that was displaced, or left out of a complete
/// update, may be listed again.
///
/// Invariant: each request to an instance with a limit uses up a token from the leader or one of
/// this gateway's own. A gateway has at most one own token at a time. Own tokens arise at instants
/// drawn from its seed, spaced so that all gateways together use a part of the limit; one that is
/// not used soon expires, so that gateways which were idle do not all hold one at the same moment.
///
/// Deterministic under its seed; not thread safe; `now` must not decrease.
class BackPressureTable {
 public:
  using Changes = std::vector<BackPressureChange>;

  explicit BackPressureTable(std::uint64_t seed) : m_seed(seed) {}

  /// Sets the number of gateways.
  auto set_gateways(std::uint32_t count) -> void { m_gateways = count; }

  /// Applies the back pressure of an answer.
  /// @param ran whether the request ran. A server that refuses a request may be too busy to report
  /// a limit, so only an answer to a request that ran ends a limit by leaving it out.
  auto apply(traffic::InstanceId const& instance, BackPressure const& pressure, bool ran,
             Instant now) -> Changes;
  /// Applies a limit that another gateway received; ignored when not newer than the one stored
  /// here.
  auto apply(traffic::InstanceLimit const& limit, Instant now) -> Changes;
  /// Records that an instance is listed. Reports on it are kept until it is unlisted.
  auto note_listed(traffic::InstanceId const& instance) -> void;
  /// Records that an instance is not listed, and drops the reports on those that have been unlisted
  /// for so long that they must have ended.
  auto note_unlisted(traffic::InstanceId const& instance, Instant now) -> void;

  /// Adds limits and back-off periods received since the last call to a poll.
  auto add_to_poll(traffic::TrafficPoll& poll, Instant now) -> void;
  /// Whether back pressure began or ended and no poll has reported it yet.
  auto has_unreported_changes() const -> bool { return m_has_unreported_changes; }
  /// The limit of an instance as stored here; 0 requests per second for none.
  auto limit_of(traffic::InstanceId const& instance, Instant now) const -> traffic::InstanceLimit;

  /// Whether an instance ever reported back pressure.
  auto contains(traffic::InstanceId const& instance) const -> bool {
    return m_entries.contains(instance);
  }
  /// The instant until which an instance accepts no request from this gateway; Instant{} when it
  /// never asked for a back-off.
  auto back_off_until(traffic::InstanceId const& instance) const -> Instant;
  /// When an instance was first seen to announce its shutdown; nullopt when it has not.
  auto leaving_since(traffic::InstanceId const& instance) const -> std::optional<Instant>;
  auto is_limited(traffic::InstanceId const& instance) const -> bool;
  /// Whether a token from the leader is available.
  auto has_token(traffic::InstanceId const& instance) const -> bool;
  /// Whether one of this gateway's own tokens is available.
  /// @param part of the limit that all gateways together use through own tokens.
  auto has_own_token(traffic::InstanceId const& instance, double part, Instant now) const -> bool;
  /// Stores the tokens of a leader's answer. They are for requests that wait now: the caller drops
  /// the rest with drop_tokens().
  auto give_tokens(traffic::LimitTokenGrant const& grant, Instant now) -> void;
  auto drop_tokens(traffic::InstanceId const& instance) -> void;
  /// Whether the leader recently reported that the instance has no tokens left.
  auto is_exhausted(traffic::InstanceId const& instance, Instant now) const -> bool;
  /// Uses up a token for a request that was sent.
  auto note_sent(traffic::InstanceId const& instance, Instant now) -> void;

  /// Listed instances that announced their shutdown.
  auto leaving() const -> std::vector<traffic::InstanceId>;
  /// The number of listed instances with a limit.
  auto limited() const -> std::size_t;

 private:
  struct Entry {
    double limit_per_second = 0;  ///< 0 for none.
    Instant reported_at{};  ///< When an answer last reported the limit, here or at another gateway.
    bool unreported_limit = false;  ///< Received here since the last poll.
    std::uint32_t tokens = 0;
    Instant exhausted_until{};
    Instant limited_since{};
    /// The last request of this gateway that used no token from the leader.
    Instant last_own_sent{};
    Instant back_off_until{};
    bool unreported_rest = false;
    std::optional<Instant> leaving_since;
    std::optional<Instant> unlisted_since;
  };

  static auto set_limit(traffic::InstanceId const& instance, Entry& entry, double limit,
                        Instant now, Changes& changes) -> void;
  static auto apply_back_off(traffic::InstanceId const& instance, Entry& entry, Duration rest,
                             Instant now, Changes& changes) -> void;
  auto find(traffic::InstanceId const& instance) const -> Entry const*;

  std::uint64_t const m_seed;
  std::uint32_t m_gateways = 1;
  bool m_has_unreported_changes = false;
  std::map<traffic::InstanceId, Entry> m_entries;
};

}  // namespace graniteseam::gateway
