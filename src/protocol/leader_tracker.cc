#include "src/protocol/leader_tracker.h"

#include <algorithm>
#include <utility>

namespace graniteseam::protocol {
namespace {

/// Minimum time between leader switches. During an election every process answers "not leader" at
/// once; the interval keeps a router from polling all processes in a tight loop. It doubles with
/// each switch that found no leader: 285 routers that asked every 10 ms sent 28,500 messages per
/// second to a group short of processor time, which prevented its election. Once there is a leader,
/// followers name it, so that a router finds it within the maximum interval.
constexpr Duration kSwitchIntervalMinimum{10'000};
constexpr Duration kSwitchIntervalMaximum{320'000};
/// Unanswered messages are dropped after this many answer timeouts.
constexpr int kExpiryTimeouts = 10;
constexpr std::size_t kPendingMaximum = 256;
/// An answer to a poll that is older than this many answer timeouts shows that the target is slow.
constexpr int kAnswerAgeTimeouts = 2;
constexpr std::size_t kPollsMaximum = 64;
/// Switches retained until TakeSwitches().
constexpr std::size_t kSwitchesRetainedMaximum = 16;

std::uint64_t SequenceOf(const control::RouterToControl& message) {
  return std::visit([](const auto& request) { return request.sequence; }, message);
}

bool Answers(const control::ControlToRouter& answer, const control::RouterToControl& message) {
  const std::uint64_t sequence = SequenceOf(message);
  if (const auto* renewal = std::get_if<control::RouterRenewalAnswer>(&answer)) {
    return std::holds_alternative<control::RouterRenewal>(message) && renewal->sequence == sequence;
  }
  if (const auto* journal = std::get_if<control::JournalAnswer>(&answer)) {
    return std::holds_alternative<control::JournalRequest>(message) &&
           journal->sequence == sequence;
  }
  if (const auto* update = std::get_if<control::TrafficUpdate>(&answer)) {
    return std::holds_alternative<control::TrafficPoll>(message) && update->sequence == sequence;
  }
  if (const auto* tokens = std::get_if<control::TokenAnswer>(&answer)) {
    return std::holds_alternative<control::TokenRequest>(message) && tokens->sequence == sequence;
  }
  return false;
}

/// Whether a newer message of the same kind replaces an older one.
bool Supersedes(const control::RouterToControl& newer, const control::RouterToControl& older) {
  return newer.index() == older.index() && !std::holds_alternative<control::JournalRequest>(newer);
}

}  // namespace

LeaderTracker::LeaderTracker(std::vector<std::string> addresses, Duration answer_timeout)
    : addresses_(std::move(addresses)),
      connected_(addresses_.size()),
      unresponsive_at_(addresses_.size()),
      answer_timeout_(answer_timeout),
      switch_interval_(kSwitchIntervalMinimum) {}

std::vector<LeaderSend> LeaderTracker::OnSend(control::RouterToControl message, Instant now) {
  std::erase_if(pending_,
                [&](const Pending& pending) { return Supersedes(message, pending.message); });
  if (pending_.size() >= kPendingMaximum) pending_.pop_front();
  if (const auto* const poll = std::get_if<control::TrafficPoll>(&message)) {
    if (polls_.size() >= kPollsMaximum) polls_.pop_front();
    polls_.push_back({poll->sequence, now});
  }
  pending_.push_back({std::move(message), now, now});
  if (connected_[target_]) return {SendOne(pending_.back(), now)};
  // Sent once the target is connected, or when Tick() switches the target.
  if (!unanswered_since_) unanswered_since_ = now;
  return {};
}

std::vector<LeaderSend> LeaderTracker::OnConnected(const std::string& address, Instant now) {
  const std::size_t index = IndexOf(address);
  connected_[index] = true;
  unresponsive_at_[index].reset();
  if (index == target_) {
    unanswered_since_.reset();
    return SendPending(now, Duration::zero());
  }
  return connected_[target_] ? std::vector<LeaderSend>{} : SwitchTo(index, "connected", now);
}

std::vector<LeaderSend> LeaderTracker::OnDisconnected(const std::string& address, Instant now) {
  const std::size_t index = IndexOf(address);
  connected_[index] = false;
  unresponsive_at_[index] = now;
  return index == target_ ? SwitchTo(NextConnected(), "disconnected", now)
                          : std::vector<LeaderSend>{};
}

bool LeaderTracker::IsTimely(const control::ControlToRouter& answer, Instant now) const {
  if (std::holds_alternative<control::TrafficHints>(answer)) return false;
  const auto* const update = std::get_if<control::TrafficUpdate>(&answer);
  if (update == nullptr) return true;
  const auto poll = std::find_if(polls_.begin(), polls_.end(), [&](const SentPoll& sent) {
    return sent.sequence == update->sequence;
  });
  return poll != polls_.end() && now - poll->sent <= kAnswerAgeTimeouts * answer_timeout_;
}

void LeaderTracker::OnAnswered(const std::string& address, const control::ControlToRouter& answer,
                               Instant now) {
  if (IndexOf(address) == target_ && IsTimely(answer, now)) {
    unanswered_since_.reset();
    switch_interval_ = kSwitchIntervalMinimum;
  }
  std::erase_if(pending_, [&](const Pending& pending) { return Answers(answer, pending.message); });
}

std::vector<LeaderSend> LeaderTracker::OnNotLeader(const std::string& address,
                                                   const control::NotLeaderAnswer& answer,
                                                   Instant now) {
  const std::size_t index = IndexOf(address);
  if (index != target_) return {};  // From an earlier target.
  unanswered_since_.reset();
  if (answer.leader_address.empty()) return SwitchTo(NextConnected(), "not_leader", now);
  const std::size_t hinted = IndexOf(answer.leader_address);
  // A follower may still name a leader that this router just found unresponsive.
  if (RecentlyUnresponsive(hinted, now)) return SwitchTo(NextConnected(), "not_leader", now);
  return SwitchTo(hinted, "not_leader", now);
}

std::vector<LeaderSend> LeaderTracker::Tick(Instant now) {
  DropExpired(now);
  if (wanted_target_ && now >= next_switch_) return SwitchTo(*wanted_target_, wanted_why_, now);
  if (pending_.empty()) return {};
  // Not measured from the oldest message, because newer messages replace older ones of their kind.
  const bool silent = unanswered_since_ && now - *unanswered_since_ > answer_timeout_;
  if (silent) {
    unresponsive_at_[target_] = now;
    return SwitchTo(NextConnected(), "silent", now);
  }
  return SendPending(now, answer_timeout_);
}

std::size_t LeaderTracker::IndexOf(const std::string& address) {
  const auto found = std::find(addresses_.begin(), addresses_.end(), address);
  const auto index = static_cast<std::size_t>(found - addresses_.begin());
  if (found == addresses_.end()) {
    addresses_.push_back(address);
    connected_.push_back(false);
    unresponsive_at_.emplace_back();
  }
  return index;
}

bool LeaderTracker::RecentlyUnresponsive(std::size_t index, Instant now) const {
  return unresponsive_at_[index] && now - *unresponsive_at_[index] <= 2 * answer_timeout_;
}

/// The next process after the target that is connected; the next one when none is.
std::size_t LeaderTracker::NextConnected() const {
  for (std::size_t step = 1; step < addresses_.size(); ++step) {
    const std::size_t index = (target_ + step) % addresses_.size();
    if (connected_[index]) return index;
  }
  return (target_ + 1) % addresses_.size();
}

std::vector<LeaderSend> LeaderTracker::SwitchTo(std::size_t target, std::string_view why,
                                                Instant now) {
  if (now < next_switch_) {
    wanted_target_ = target;
    wanted_why_ = why;
    return {};
  }
  wanted_target_.reset();
  next_switch_ = now + switch_interval_;
  switch_interval_ = std::min(2 * switch_interval_, kSwitchIntervalMaximum);
  if (switches_.size() < kSwitchesRetainedMaximum)
    switches_.push_back({addresses_[target_], addresses_[target], why});
  target_ = target;
  unanswered_since_.reset();
  return SendPending(now, Duration::zero());
}

/// Sends the pending messages that were last sent at least `unsent_for` ago; all of them for zero.
std::vector<LeaderSend> LeaderTracker::SendPending(Instant now, Duration unsent_for) {
  std::vector<LeaderSend> sends;
  if (!connected_[target_]) {
    if (!pending_.empty() && !unanswered_since_) unanswered_since_ = now;
    return sends;
  }
  for (Pending& pending : pending_) {
    if (now - pending.last_sent >= unsent_for) sends.push_back(SendOne(pending, now));
  }
  return sends;
}

LeaderSend LeaderTracker::SendOne(Pending& pending, Instant now) {
  pending.last_sent = now;
  if (!unanswered_since_) unanswered_since_ = now;
  return {addresses_[target_], pending.message};
}

void LeaderTracker::DropExpired(Instant now) {
  std::erase_if(pending_, [&](const Pending& pending) {
    return now - pending.first_sent > kExpiryTimeouts * answer_timeout_;
  });
  if (pending_.empty()) unanswered_since_.reset();
}

}  // namespace graniteseam::protocol
