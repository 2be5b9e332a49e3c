/// @file
/// Detects that a gateway is partitioned from the servers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/instance.h"
#include "src/gateway/gateway_events.h"

namespace graniteseam::gateway {

/// Decides whether this gateway reaches the servers, by rounds of trial connections.
///
/// Requests alone do not tell. During a partition kept connections may hang, or live on while new
/// ones fail; and servers that are full, crashed or slow fail requests without any partition. So
/// failed requests only raise a suspicion: several servers could not be connected to within a short
/// time, or several leave requests unanswered and none has answered anything meanwhile. A round of
/// trial connections to servers drawn at random then decides. While the gateway is partitioned,
/// rounds go on until enough servers are reached.
///
/// A process that handles its events late finds time limits passed that nobody exceeded. So a time
/// limit or a silence proves nothing when the process was late since it began, and a round needs
/// kServersMinimum results that prove something. Refused and accepted connections always do.
///
/// Not thread safe; `now` must not decrease.
class ServerReachability {
 public:
  /// Servers tried in one round. With fewer than kServersMinimum, a partition cannot be told from
  /// servers that have ended.
  static constexpr std::size_t kServersPerRound = 5;
  static constexpr std::size_t kServersMinimum = 3;

  /// Records that an attempt was sent to a server.
  /// @param expected how long the server usually takes.
  auto note_sent(RequestNumber request, traffic::InstanceId const& server, Duration expected,
                 Instant now) -> void;
  /// Records the end of an attempt.
  auto note_end(RequestNumber request, traffic::InstanceId const& server, AttemptEnd end,
                Instant now) -> void;
  /// Records that nobody waits for an attempt any more.
  auto note_abandoned(RequestNumber request) -> void { m_open.erase(request); }

  /// Records that this process handles an event so much later than it could have.
  auto note_delay(Duration delay, Instant now) -> void;
  /// Whether a failure of what began at an instant tells anything of its other side, rather than of
  /// this process.
  auto proves_failure(FailureCause cause, Instant begun) const -> bool;

  /// Whether a round is to begin now.
  auto needs_round(Instant now) -> bool;
  /// Begins a round with so many trial connections; with none, the gateway does not count as
  /// partitioned any more.
  /// @return its number.
  auto begin_round(std::size_t servers, Instant now) -> std::uint32_t;
  /// Records the result of a trial connection.
  /// @return whether is_partitioned() changed.
  auto note_trial(std::uint32_t round, bool reached, Instant now,
                  FailureCause cause = FailureCause::kConnection) -> bool;

  auto is_partitioned() const -> bool { return m_partitioned; }
  /// Whether a request is overdue and no server has answered anything since it was sent.
  auto hangs(RequestNumber request, Instant now) const -> bool;
  /// Whether failures since the newest answer may be this gateway's own, so that they tell nothing
  /// of the servers. A partition is found soon after the first of them, or there is none.
  auto is_suspected(Instant now) const -> bool;

  /// When needs_round() has to be asked again; Instant::max() when nothing is under way.
  auto next_check() const -> Instant;

 private:
  struct OpenAttempt {
    traffic::InstanceId server;
    Instant sent_at;
    Duration overdue_after;
  };

  auto is_silent(Instant now) const -> bool;
  auto is_overdue(OpenAttempt const& attempt, Instant now) const -> bool;
  /// Whether the results of a round prove that the gateway is partitioned, or is not.
  /// @return nullopt when they prove neither.
  auto verdict() const -> std::optional<bool>;

  std::map<RequestNumber, OpenAttempt> m_open;
  /// Servers to which no connection could be opened since they last answered, and when.
  std::map<traffic::InstanceId, Instant> m_unreached;
  Instant m_answered_at{};  ///< The newest answer of any server.
  /// When a connection first failed after the newest answer.
  std::optional<Instant> m_failing_since;
  bool m_partitioned = false;
  std::uint32_t m_round = 0;
  std::size_t m_trials = 0;       ///< Of the newest round.
  std::size_t m_open_trials = 0;  ///< Of these, without a result.
  std::size_t m_reached = 0;      ///< Of these, those that succeeded.
  std::size_t m_unproved = 0;     ///< Of these, those that failed without proving anything.
  Instant m_round_begun{};
  Instant m_late_until{};  ///< Up to when this process is known to have been late.
  Instant m_next_round{};  ///< No round before.
  /// While requests are under way: the next look whether servers are silent. Not moved by answers,
  /// so that the timer is not set anew with each of them.
  Instant m_check_at{};
};

}  // namespace graniteseam::gateway
