#include "src/control/heartbeat_relayer.h"

#include <algorithm>

#include "src/control/commands.h"

namespace graniteseam::control {
namespace {

/// Batching interval of heartbeats that change nothing: short compared with the time without a
/// heartbeat after which an instance gets no new work.
constexpr Duration kUnchangedInterval{400'000};
/// Batching interval of heartbeats with changes: many arrive at the same time when many instances
/// drain.
constexpr Duration kReportsInterval{20'000};
/// Resend interval of reports that are not committed, since their leader may be lost.
constexpr Duration kReportsResendInterval{250'000};
/// Callers fail over to another process after one second.
constexpr Duration kWaitMaximum{800'000};
constexpr std::size_t kWaitingMaximum = 2'048;

}  // namespace

HeartbeatRelayer::Disposition HeartbeatRelayer::Take(std::uint64_t request,
                                                     const ReportInstance& heartbeat,
                                                     bool leader_known, Instant now) {
  const traffic::InstanceReport& report = heartbeat.report;
  // Only the leader may renew leases by heartbeat.
  const bool leased = state_.LeasedByHeartbeat(report.service);
  if (leased && leader_known) return Disposition::kRefused;
  const bool changes = !leased && state_.instances().WouldChange(report);
  if (leader_known && !changes) {
    QueueUnchanged(report.id, now);
    return Disposition::kAcknowledged;
  }
  if (waiting_.size() >= kWaitingMaximum) return Disposition::kRefused;
  waiting_.push_back({request, heartbeat, now + kWaitMaximum});
  if (changes) reports_due_ = std::min(reports_due_, now + kReportsInterval);
  has_unchecked_ = has_unchecked_ || !changes;
  return Disposition::kPending;
}

void HeartbeatRelayer::QueueUnchanged(const traffic::InstanceId& instance, Instant now) {
  unchanged_instances_.insert(instance.value);
  unchanged_due_ = std::min(unchanged_due_, now + kUnchangedInterval);
}

HeartbeatRelayer::Completed HeartbeatRelayer::TakeCompleted(Instant now) {
  Completed done;
  const bool changed = checked_version_ != state_.instances().changed_at();
  if (waiting_.empty() || (!changed && !has_unchecked_)) return done;
  checked_version_ = state_.instances().changed_at();
  has_unchecked_ = false;
  std::erase_if(waiting_, [&](const Waiting& waiting) {
    const bool leased = state_.LeasedByHeartbeat(waiting.heartbeat.report.service);
    if (!leased && state_.instances().WouldChange(waiting.heartbeat.report)) return false;
    (leased ? done.refused : done.acknowledged).push_back(waiting.request);
    if (!leased) QueueUnchanged(waiting.heartbeat.report.id, now);
    return true;
  });
  return done;
}

std::vector<std::uint64_t> HeartbeatRelayer::TakeExpired(Instant now) {
  std::vector<std::uint64_t> requests;
  const auto live = std::find_if(waiting_.begin(), waiting_.end(),
                                 [&](const Waiting& waiting) { return waiting.until > now; });
  std::transform(waiting_.begin(), live, std::back_inserter(requests),
                 [](const Waiting& waiting) { return waiting.request; });
  waiting_.erase(waiting_.begin(), live);
  return requests;
}

std::optional<consensus::HeartbeatRelay> HeartbeatRelayer::Flush(Instant now) {
  consensus::HeartbeatRelay relay;
  if (now >= unchanged_due_) {
    unchanged_due_ = Instant::max();
    relay.instances = {unchanged_instances_.begin(), unchanged_instances_.end()};
    unchanged_instances_.clear();
  }
  if (now >= reports_due_) {
    reports_due_ = waiting_.empty() ? Instant::max() : now + kReportsResendInterval;
    ReportInstancesCommand command;
    for (const Waiting& waiting : waiting_) {
      if (state_.instances().WouldChange(waiting.heartbeat.report))
        command.reports.push_back(waiting.heartbeat.report);
    }
    if (!command.reports.empty()) relay.changes = EncodeCommand(command);
  }
  if (relay.instances.empty() && relay.changes.empty()) return std::nullopt;
  return relay;
}

Instant HeartbeatRelayer::NextDue(bool leader_known) const {
  const Instant due = leader_known ? std::min(unchanged_due_, reports_due_) : Instant::max();
  return waiting_.empty() ? due : std::min(due, waiting_.front().until);
}

}  // namespace graniteseam::control
