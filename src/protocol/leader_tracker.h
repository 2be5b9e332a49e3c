/// @file
/// Decides to which control process a router sends, and what it sends again. A deterministic state
/// machine; RouterControlClient drives it.
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

/// Where to send what.
struct LeaderSend {
  std::string address;
  control::RouterToControl message;
};

/// The tracker turned to another process.
struct LeaderSwitch {
  std::string from;
  std::string to;
  std::string_view why;  ///< "connected", "disconnected", "silent", "not_leader".
};

/// Not thread safe; `now` never goes back.
class LeaderTracker {
 public:
  /// @param answer_timeout how long a message may stay unanswered before the next process is tried.
  LeaderTracker(std::vector<std::string> addresses, Duration answer_timeout);

  /// All addresses to keep a connection to; grows with hints.
  const std::vector<std::string>& addresses() const { return addresses_; }
  void AddAddress(const std::string& address) { IndexOf(address); }
  /// The process believed to lead.
  const std::string& target() const { return addresses_[target_]; }

  std::vector<LeaderSend> OnSend(control::RouterToControl message, Instant now);
  std::vector<LeaderSend> OnConnected(const std::string& address, Instant now);
  std::vector<LeaderSend> OnDisconnected(const std::string& address, Instant now);
  /// Takes a renewal's or a journal batch's answer.
  void OnAnswered(const std::string& address, const control::ControlToRouter& answer);
  std::vector<LeaderSend> OnNotLeader(const std::string& address,
                                      const control::NotLeaderAnswer& answer, Instant now);
  /// Turns away from a silent process; forgets what is too old. Call it a few times a silence
  /// limit.
  std::vector<LeaderSend> Tick(Instant now);

  /// The turns since the last call.
  std::vector<LeaderSwitch> TakeSwitches() { return std::exchange(switches_, {}); }

 private:
  struct Pending {
    control::RouterToControl message;
    Instant first_sent;
    Instant last_sent;
  };

  std::size_t IndexOf(const std::string& address);
  bool RecentlyUnresponsive(std::size_t index, Instant now) const;
  std::size_t NextConnected() const;
  /// Makes `target` the one to send to, now or at the next tick that allows a turn.
  std::vector<LeaderSend> SwitchTo(std::size_t target, std::string_view why, Instant now);
  std::vector<LeaderSend> SendPending(Instant now, Duration unsent_for);
  LeaderSend SendOne(Pending& pending, Instant now);
  void DropExpired(Instant now);

  std::vector<std::string> addresses_;
  std::vector<bool> connected_;
  std::vector<std::optional<Instant>>
      unresponsive_at_;  ///< When each was last found silent, or lost.
  Duration answer_timeout_;
  std::size_t target_ = 0;
  std::optional<std::size_t> wanted_target_;  ///< A turn that waits for `next_switch_`.
  std::string_view wanted_why_;
  Instant next_switch_;       ///< Bounds how often targets change.
  Duration switch_interval_;  ///< Grows until a leader answers.
  /// Since when the target left everything unanswered, also for want of a connection.
  std::optional<Instant> unanswered_since_;
  std::deque<Pending> pending_;
  std::vector<LeaderSwitch> switches_;  ///< Since they were taken, the first ones.
};

}  // namespace graniteseam::protocol
