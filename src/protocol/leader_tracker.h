/// @file
/// Selects the control process to which a router sends, and the messages to resend. A deterministic
/// state machine, driven by RouterControlClient.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/control/router_messages.h"

namespace graniteseam::protocol {

/// A message and the address to send it to.
struct LeaderSend {
  std::string address;
  control::RouterToControl message;
};

/// A switch of the target to another control process.
struct LeaderSwitch {
  std::string from;
  std::string to;
  std::string_view why;  ///< "connected", "disconnected", "silent", "not_leader".
};

/// Tracks the presumed leader and the unanswered messages. Not thread safe; `now` must never
/// decrease.
class LeaderTracker {
 public:
  /// @param addresses from the settings; at least one.
  /// @param answer_timeout time without an answer after which the next process is tried.
  /// @param spread the member to begin with when members are added, so that routers that lost the
  ///     same process do not all add the same member.
  LeaderTracker(std::vector<std::string> addresses, Duration answer_timeout,
                std::size_t spread = 0);

  /// All addresses to stay connected to. Leader hints and Tick() add some; Tick() removes those
  /// that are not in use any more.
  const std::vector<std::string>& addresses() const { return addresses_; }
  void AddAddress(const std::string& address) { IndexOf(address); }
  /// Replaces the addresses from the settings; Tick() does not remove these.
  void SetConfigured(const std::vector<std::string>& addresses);
  /// The group's members as a leader last told them. Those that are not in addresses() are added as
  /// others are lost.
  const std::vector<std::string>& members() const { return members_; }
  /// The presumed leader.
  const std::string& target() const { return addresses_[target_]; }

  std::vector<LeaderSend> OnSend(control::RouterToControl message, Instant now);
  std::vector<LeaderSend> OnConnected(const std::string& address, Instant now);
  std::vector<LeaderSend> OnDisconnected(const std::string& address, Instant now);
  /// Processes an answer and drops the message that it answers. Messages that answer nothing, and
  /// answers to polls of long ago, do not keep the target: over a slow link they arrive for as long
  /// as they are queued there.
  void OnAnswered(const std::string& address, const control::ControlToRouter& answer, Instant now);
  std::vector<LeaderSend> OnNotLeader(const std::string& address,
                                      const control::NotLeaderAnswer& answer, Instant now);
  /// Switches away from an unresponsive process, drops expired messages, and adds and removes
  /// addresses. Must be called several times per answer timeout.
  std::vector<LeaderSend> Tick(Instant now);

  /// Returns the switches since the last call.
  std::vector<LeaderSwitch> TakeSwitches() { return std::exchange(switches_, {}); }

 private:
  struct Pending {
    control::RouterToControl message;
    Instant first_sent;
    Instant last_sent;
  };

  struct SentPoll {
    std::uint64_t sequence = 0;
    Instant sent;
  };

  std::size_t IndexOf(const std::string& address);
  /// Members to connect to in addition.
  std::size_t MissingConnections(Instant now) const;
  /// Adds members in place of connections that are missing.
  void AddMembers(Instant now);
  /// Removes an address that is neither in the settings nor a member's and was not connected for
  /// long.
  void RemoveUnused(Instant now);
  void Remove(std::size_t index);
  /// Whether the answer shows that the target answers within a reasonable time.
  bool IsTimely(const control::ControlToRouter& answer, Instant now) const;
  bool RecentlyUnresponsive(std::size_t index, Instant now) const;
  std::size_t NextConnected() const;
  /// Makes `target` the target, now or at the first tick after `next_switch_`.
  std::vector<LeaderSend> SwitchTo(std::size_t target, std::string_view why, Instant now);
  std::vector<LeaderSend> SendPending(Instant now, Duration unsent_for);
  LeaderSend SendOne(Pending& pending, Instant now);
  void DropExpired(Instant now);

  std::vector<std::string> addresses_;
  std::vector<bool> connected_;
  std::vector<std::optional<Instant>> disconnected_since_;  ///< As Tick() found it.
  std::vector<std::optional<Instant>>
      unresponsive_at_;  ///< When each last timed out or was disconnected.
  std::vector<std::string> configured_;
  std::vector<std::string> members_;
  std::optional<Instant> short_since_;  ///< Since when connections are missing.
  Instant led_at_{};                    ///< When the target last answered as a leader does.
  Duration answer_timeout_;
  std::size_t spread_;
  std::size_t target_ = 0;
  std::optional<std::size_t> wanted_target_;  ///< A switch that waits for `next_switch_`.
  std::string_view wanted_why_;
  Instant next_switch_;       ///< Earliest time of the next switch.
  Duration switch_interval_;  ///< Grows until a leader answers.
  /// Since when the target has not answered, including for lack of a connection.
  std::optional<Instant> unanswered_since_;
  std::deque<Pending> pending_;
  std::deque<SentPoll> polls_;          ///< The newest ones, answered or not.
  std::vector<LeaderSwitch> switches_;  ///< The first ones since the last TakeSwitches().
};

}  // namespace graniteseam::protocol
