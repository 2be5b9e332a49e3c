#include "src/control/heartbeat_relayer.h"

#include <algorithm>

#include "src/control/commands.h"

namespace graniteseam::control {
namespace {

/// For how long heartbeats that change nothing are gathered: short beside the silence after which
/// an instance gets nothing new.
constexpr Duration kHeardInterval{400'000};
/// The same of those that change something: many come at the same moment when many drain.
constexpr Duration kReportsInterval{20'000};
/// After this a report that is not committed is told again: its leader may be lost.
constexpr Duration kReportsRepeated{250'000};
/// Callers go to another process after a second.
constexpr Duration kWait{800'000};
constexpr std::size_t kWaitingMaximum = 2'048;

}  // namespace

HeartbeatRelayer::Taken HeartbeatRelayer::Take(std::uint64_t request,
                                               const ReportInstance& heartbeat, bool leader_known,
                                               Instant now) {
  const traffic::InstanceReport& report = heartbeat.report;
  // Only the leader may renew the leases of instances that get their keys by heartbeat.
  const bool leased = state_.LeasedByHeartbeat(report.service);
  if (leased && leader_known) return Taken::kRefused;
  const bool changes = !leased && state_.instances().WouldChange(report);
  if (leader_known && !changes) {
    NoteHeard(report.id, now);
    return Taken::kAcknowledged;
  }
  if (waiting_.size() >= kWaitingMaximum) return Taken::kRefused;
  waiting_.push_back({request, heartbeat, now + kWait});
  if (changes) reports_due_ = std::min(reports_due_, now + kReportsInterval);
  unlooked_ = unlooked_ || !changes;
  return Taken::kWaits;
}

void HeartbeatRelayer::NoteHeard(const traffic::InstanceId& instance, Instant now) {
  heard_.insert(instance.value);
  heard_due_ = std::min(heard_due_, now + kHeardInterval);
}

HeartbeatRelayer::Done HeartbeatRelayer::TakeDone(Instant now) {
  Done done;
  const bool changed = looked_version_ != state_.instances().changed_at();
  if (waiting_.empty() || (!changed && !unlooked_)) return done;
  looked_version_ = state_.instances().changed_at();
  unlooked_ = false;
  std::erase_if(waiting_, [&](const Waiting& waiting) {
    const bool leased = state_.LeasedByHeartbeat(waiting.heartbeat.report.service);
    if (!leased && state_.instances().WouldChange(waiting.heartbeat.report)) return false;
    (leased ? done.refused : done.acknowledged).push_back(waiting.request);
    if (!leased) NoteHeard(waiting.heartbeat.report.id, now);
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
  if (now >= heard_due_) {
    heard_due_ = Instant::max();
    relay.instances = {heard_.begin(), heard_.end()};
    heard_.clear();
  }
  if (now >= reports_due_) {
    reports_due_ = waiting_.empty() ? Instant::max() : now + kReportsRepeated;
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
  const Instant due = leader_known ? std::min(heard_due_, reports_due_) : Instant::max();
  return waiting_.empty() ? due : std::min(due, waiting_.front().until);
}

}  // namespace graniteseam::control
