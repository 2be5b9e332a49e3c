/// @file
/// What servers state of the requests that they take, as a gateway knows it, and what this gateway
/// may send them by it.
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

/// A belief that began, changed or ended, for the log.
struct BackPressureChange {
  traffic::InstanceId instance;
  std::string_view what;  ///< For example "limit_named".
  std::string inputs;
};

/// Each word holds for one life of an instance: a limit until a request that ran there is answered
/// without one, whichever gateway heard that, a rest for its time, a leaving for good.
///
/// Invariant: a request to an instance that names a limit uses up a token that the leader gave, or
/// one of this gateway's own. Of those, each gateway has one at a time, at instants drawn by its
/// seed that are so far apart that all gateways together get a part of the limit; one that is not
/// used soon is lost, so that gateways which were idle do not all have one at the same moment.
///
/// Deterministic under its seed; not thread safe; `now` never goes back.
class BackPressureTable {
 public:
  using Changes = std::vector<BackPressureChange>;

  explicit BackPressureTable(std::uint64_t seed) : m_seed(seed) {}

  /// Takes how many gateways there are.
  auto set_gateways(std::uint32_t count) -> void { m_gateways = count; }

  /// Takes what an answer stated.
  /// @param ran whether the request ran. A server that turns one away may be too busy to name a
  /// limit, so that only the silence of other answers ends it.
  auto take(traffic::InstanceId const& instance, BackPressure const& pressure, bool ran,
            Instant now) -> Changes;
  /// Takes what another gateway heard.
  auto take(traffic::InstanceLimit const& limit, Instant now) -> Changes;
  auto forget(traffic::InstanceId const& instance) -> void { m_entries.erase(instance); }

  /// Adds what was heard since the last call to a poll.
  auto add_to_poll(traffic::TrafficPoll& poll, Instant now) -> void;
  /// Whether something began or ended that no poll has told of.
  auto has_unreported_changes() const -> bool { return m_has_unreported_changes; }
  /// The limit of an instance as it is known here.
  auto limit_of(traffic::InstanceId const& instance, Instant now) const -> traffic::InstanceLimit;

  /// Whether an instance ever stated anything.
  auto knows(traffic::InstanceId const& instance) const -> bool {
    return m_entries.contains(instance);
  }
  /// Until when an instance wants no request from this gateway; Instant{} where it never asked.
  auto back_off_until(traffic::InstanceId const& instance) const -> Instant;
  /// Since when an instance is known to leave; nullopt where it does not.
  auto leaving_since(traffic::InstanceId const& instance) const -> std::optional<Instant>;
  auto is_limited(traffic::InstanceId const& instance) const -> bool;
  /// Whether a token of the leader's is there.
  auto has_token(traffic::InstanceId const& instance) const -> bool;
  /// Whether one of this gateway's own is there.
  /// @param part of the limit that all gateways together take by these.
  auto has_own_token(traffic::InstanceId const& instance, double part, Instant now) const -> bool;
  /// Takes an answer of the leader. Its tokens are for requests that wait now: none are kept.
  auto give_tokens(traffic::LimitTokenGrant const& grant, Instant now) -> void;
  auto drop_tokens(traffic::InstanceId const& instance) -> void;
  /// Whether the leader has just said that there are none.
  auto is_exhausted(traffic::InstanceId const& instance, Instant now) const -> bool;
  /// A request was sent.
  auto note_sent(traffic::InstanceId const& instance, Instant now) -> void;

  /// Instances that name a limit at present.
  auto limited() const -> std::size_t;

 private:
  struct Entry {
    double limit_per_second = 0;    ///< 0 for none.
    Instant heard{};                ///< When an answer told that, here or elsewhere.
    bool unreported_limit = false;  ///< Heard here since control was told.
    std::uint32_t tokens = 0;
    Instant used_up_until{};
    Instant limited_since{};
    Instant sent{};  ///< The last request of this gateway that no token of the leader's covered.
    Instant back_off_until{};
    bool unreported_rest = false;
    std::optional<Instant> leaving_since;
  };

  static auto set_limit(traffic::InstanceId const& instance, Entry& word, double limit, Instant now,
                        Changes& changes) -> void;
  static auto take_rest(traffic::InstanceId const& instance, Entry& word, Duration rest,
                        Instant now, Changes& changes) -> void;
  auto find(traffic::InstanceId const& instance) const -> Entry const*;

  std::uint64_t const m_seed;
  std::uint32_t m_gateways = 1;
  bool m_has_unreported_changes = false;
  std::map<traffic::InstanceId, Entry> m_entries;
};

}  // namespace graniteseam::gateway
