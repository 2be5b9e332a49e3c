/// @file
/// The deciding thread of a control process: owns the ControlNode, makes durable what it wants
/// durable, and carries out its effects.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "graniteseam/control/control_node.h"
#include "src/daemon/control/event_round.h"
#include "src/daemon/control/strain_watch.h"
#include "src/runtime/log.h"
#include "src/runtime/metrics.h"
#include "src/storage/consensus_storage.h"

namespace graniteseam::daemon {

/// What other threads may know of the node.
struct ControlStatus {
  consensus::Member self;
  std::optional<consensus::Member> leader;
  Term term;
  bool leading = false;
  /// While it leads: members that answered lately, so that they may take heartbeats for it.
  std::vector<consensus::Member> relays;
  bool storage_full = false;
  Instant last_step;
  consensus::Role role = consensus::Role::kFollower;
  bool ready_to_stop = false;  ///< After StopPrepared, as ControlNode::ReadyToStop() says.
  Strain strain;               ///< Of the last second or two.
};

/// How the effects leave the process. Called from the deciding thread; none may block.
struct ControlOutputs {
  std::function<void(consensus::PeerMessage message)> to_peer;
  std::function<void(control::LeaseSend send)> to_server;
  std::function<void(control::RouterSend send)> to_router;
  /// Called after the messages of a push: PushSent is to follow once they have left.
  std::function<void(PushSent push)> after_push = [](auto) {};
  std::function<void(const control::OperatorReply& reply)> to_operator;
  std::function<void(control::RangeOrder order)> to_range_owner = [](const auto&) {};
  /// This process began or ceased to lead, or follows another leader.
  std::function<void(const ControlStatus& status)> on_leadership = [](const auto&) {};
  /// A decision about key ranges.
  std::function<void(const control::RangeNote& note)> on_range_note = [](const auto&) {};
  /// A decision about a request under which instances ended.
  std::function<void(const control::SuspectNote& note)> on_suspect_note = [](const auto&) {};
  /// A step of a configuration change on its way to the routers.
  std::function<void(const control::RolloutNote& note)> on_rollout_note = [](const auto&) {};
  /// A proposed or committed change of the control group's membership.
  std::function<void(const control::MembershipNote& note)> on_membership_note = [](const auto&) {};
  /// A storage error that the process must not survive.
  std::function<void()> stop;
};

/// Lifecycle: Start() once, Stop() before destruction. Only the deciding thread touches node and
/// storage.
class ControlDriver {
 public:
  ControlDriver(control::ControlOptions options,
                std::unique_ptr<storage::ConsensusStorage> consensus_storage,
                ControlEventQueue& queue, ControlOutputs outputs,
                runtime::MetricsRegistry& metrics);
  ~ControlDriver();
  ControlDriver(const ControlDriver&) = delete;
  ControlDriver& operator=(const ControlDriver&) = delete;

  void Start();
  /// Ends the deciding thread after the step under way.
  void Stop();

  /// Thread safe.
  ControlStatus status() const;
  /// The other members that the disk knows of; before Start() only.
  std::vector<consensus::Member> recovered_peers() const;
  /// Whether a storage error ended the deciding thread. Thread safe.
  bool failed() const { return failed_; }

 private:
  struct Statistics;

  void Run();
  void Step();
  void NoteWait(const QueuedEvent& queued);
  void NoteRound(Duration length, Instant now);
  control::ControlEffects Apply(ControlEvent event);
  control::ControlEffects ApplyOperatorRequest(const OperatorRequested& asked, Instant now,
                                               std::int64_t wall_ms);
  void Settle(std::vector<control::ControlEffects> pending);
  /// Takes the requests out of `pending`.
  bool Persist(std::vector<control::ControlEffects>& pending);
  bool PersistOne(const consensus::PersistRequest& request);
  void RefuseWhileFull(const Error& error);
  void Deliver(control::ControlEffects effects);
  void PublishStatus(bool storage_full);
  void PublishStatistics(Instant now);
  void LookAtSpace();

  std::unique_ptr<storage::ConsensusStorage> storage_;
  control::ControlNode node_;
  ControlEventQueue& queue_;
  ControlOutputs outputs_;
  std::unique_ptr<Statistics> statistics_;
  Instant next_statistics_;
  StrainWatch strain_;
  Instant started_at_{};  ///< The node wants its first tick from the clock's start on.
  bool space_is_low_ = false;
  /// What happened while the disk was full and is not sent again.
  std::vector<ControlEvent> put_off_;
  std::thread thread_;
  std::atomic<bool> failed_{false};
  mutable std::mutex status_mutex_;  ///< Guards status_.
  ControlStatus status_;
  runtime::Logger log_{"control"};
};

}  // namespace graniteseam::daemon
