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
/// Bounds what is kept of a list of members.
constexpr std::size_t kMembersMaximum = 32;
/// Time after which members are added while fewer connections than configured addresses are ready:
/// longer than a process's restart takes to be noticed and dialled again. Without any connection,
/// the answer timeout.
constexpr Duration kMemberAddedAfter{2'000'000};
/// Time without a connection after which an address that is neither configured nor a member's is
/// removed: its machine is gone, or was given to another purpose.
constexpr Duration kRemovedAfter{60'000'000};
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

bool Contains(const std::vector<std::string>& addresses, const std::string& address) {
  return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

/// Whether a newer message of the same kind replaces an older one.
bool Supersedes(const control::RouterToControl& newer, const control::RouterToControl& older) {
  return newer.index() == older.index() && !std::holds_alternative<control::JournalRequest>(newer);
}

}  // namespace

LeaderTracker::LeaderTracker(std::vector<std::string> addresses, Duration answer_timeout,
                             std::size_t spread)
    : addresses_(std::move(addresses)),
      connected_(addresses_.size()),
      disconnected_since_(addresses_.size()),
      unresponsive_at_(addresses_.size()),
      configured_(addresses_),
      answer_timeout_(answer_timeout),
      spread_(spread),
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
  if (std::holds_alternative<control::GroupMembers>(answer)) return false;
  const auto* const update = std::get_if<control::TrafficUpdate>(&answer);
  if (update == nullptr) return true;
  const auto poll = std::find_if(polls_.begin(), polls_.end(), [&](const SentPoll& sent) {
    return sent.sequence == update->sequence;
  });
  return poll != polls_.end() && now - poll->sent <= kAnswerAgeTimeouts * answer_timeout_;
}

void LeaderTracker::OnAnswered(const std::string& address, const control::ControlToRouter& answer,
                               Instant now) {
  const auto* const members = std::get_if<control::GroupMembers>(&answer);
  if (members != nullptr && !members->addresses.empty()) {
    members_ = members->addresses;
    if (members_.size() > kMembersMaximum) members_.resize(kMembersMaximum);
  }
  if (IndexOf(address) == target_ && IsTimely(answer, now)) {
    unanswered_since_.reset();
    switch_interval_ = kSwitchIntervalMinimum;
    led_at_ = now;
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
  AddMembers(now);
  RemoveUnused(now);
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
    disconnected_since_.emplace_back();
    unresponsive_at_.emplace_back();
  }
  return index;
}

void LeaderTracker::SetConfigured(const std::vector<std::string>& addresses) {
  configured_ = addresses;
  for (const std::string& address : addresses) IndexOf(address);
}

std::size_t LeaderTracker::MissingConnections(Instant now) const {
  const auto ready =
      static_cast<std::size_t>(std::count(connected_.begin(), connected_.end(), true));
  if (ready == 0) return members_.size();
  const std::size_t wanted = std::min(configured_.size(), members_.size());
  if (ready < wanted) return wanted - ready;
  // Processes that answer without a leader may be outside the group.
  const bool leaderless = !pending_.empty() && now - led_at_ >= kMemberAddedAfter;
  return leaderless ? 1 : 0;
}

void LeaderTracker::AddMembers(Instant now) {
  std::size_t missing = MissingConnections(now);
  if (missing == 0) {
    short_since_.reset();
    return;
  }
  if (!short_since_) short_since_ = now;
  const bool unled = now - led_at_ >= kMemberAddedAfter || missing == members_.size();
  if (now - *short_since_ < (unled ? answer_timeout_ : kMemberAddedAfter)) return;
  short_since_ = now;
  for (std::size_t step = 0; step < members_.size() && missing > 0; ++step) {
    const std::string& member = members_[(spread_ + step) % members_.size()];
    if (Contains(addresses_, member)) continue;
    IndexOf(member);
    --missing;
  }
}

void LeaderTracker::RemoveUnused(Instant now) {
  for (std::size_t index = 0; index < addresses_.size(); ++index) {
    if (connected_[index]) {
      disconnected_since_[index].reset();
    } else if (!disconnected_since_[index]) {
      disconnected_since_[index] = now;
    } else if (now - *disconnected_since_[index] >= kRemovedAfter && index != target_ &&
               index != wanted_target_ && !Contains(configured_, addresses_[index]) &&
               !Contains(members_, addresses_[index])) {
      return Remove(index);  // One a call: indexes after it change.
    }
  }
}

void LeaderTracker::Remove(std::size_t index) {
  const auto at = static_cast<std::ptrdiff_t>(index);
  addresses_.erase(addresses_.begin() + at);
  connected_.erase(connected_.begin() + at);
  disconnected_since_.erase(disconnected_since_.begin() + at);
  unresponsive_at_.erase(unresponsive_at_.begin() + at);
  if (target_ > index) --target_;
  if (wanted_target_ && *wanted_target_ > index) --*wanted_target_;
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
