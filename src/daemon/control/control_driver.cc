#include "src/daemon/control/control_driver.h"

#include <algorithm>
#include <array>
#include <utility>

#include "graniteseam/common/duration_text.h"
#include "src/daemon/control/persist_batch.h"
#include "src/runtime/clock.h"

namespace graniteseam::daemon {
namespace {

/// Events taken off the queue at once while the disk is full.
constexpr std::size_t kEventsWhileFull = 256;
constexpr Duration kLongestWait{100'000};
constexpr Duration kFullRetryInterval{200'000};
constexpr Duration kStatisticsInterval{1'000'000};
/// A peer that answered so lately may be given work.
constexpr Duration kResponsive{1'000'000};

/// Reads, and what instances tell: that is little and keeps them served.
bool IsTakenWithLittleSpace(const control::OperatorRequest& command) {
  return std::holds_alternative<control::ReadConfiguration>(command) ||
         std::holds_alternative<control::ReportInstance>(command) ||
         std::holds_alternative<control::DeregisterInstance>(command) ||
         std::holds_alternative<control::ReadBundles>(command) ||
         std::holds_alternative<control::ReadFleet>(command) ||
         std::holds_alternative<control::ReadShards>(command);
}

/// Members that answered the leader lately.
std::vector<consensus::Member> ResponsivePeers(const consensus::RaftConsensus& consensus,
                                               Instant now) {
  std::vector<consensus::Member> responsive;
  for (const consensus::PeerStatus& peer : consensus.peers(now)) {
    if (peer.time_since_response < kResponsive && peer.caught_up) responsive.push_back(peer.member);
  }
  return responsive;
}

/// Voters that did not answer the leader lately; 0 at other members.
std::size_t UnresponsiveVoters(const consensus::RaftConsensus& consensus, Instant now) {
  const auto peers = consensus.peers(now);
  const auto& voters = consensus.membership().voters;
  return static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [&](const auto& peer) {
    return peer.time_since_response >= kResponsive &&
           std::any_of(voters.begin(), voters.end(),
                       [&](const auto& voter) { return voter.IsSameMemberAs(peer.member); });
  }));
}

}  // namespace

struct ControlDriver::Statistics {
  explicit Statistics(runtime::MetricsRegistry& registry)
      : leading(registry.Gauge(runtime::Metric::kControlLeading)),
        term(registry.Gauge(runtime::Metric::kControlTerm)),
        commit_index(registry.Gauge(runtime::Metric::kControlCommitIndex)),
        log_bytes(registry.Gauge(runtime::Metric::kControlLogBytes)),
        snapshot_bytes(registry.Gauge(runtime::Metric::kControlSnapshotBytes)),
        bundle_version(registry.Gauge(runtime::Metric::kControlBundleVersion)),
        routers(registry.Gauge(runtime::Metric::kControlRoutersConnected)),
        servers_leased(registry.Gauge(runtime::Metric::kControlServersLeased)),
        shard_moves(registry.Gauge(runtime::Metric::kControlShardMoves)),
        queue_length(registry.Gauge(runtime::Metric::kControlEventQueueLength)),
        decision_evaluations(registry.Counter(runtime::Metric::kControlDecisionLooks)),
        drained_zones(registry.Gauge(runtime::Metric::kControlDrainedZones)),
        voters(registry.Gauge(runtime::Metric::kControlVoters)),
        learners(registry.Gauge(runtime::Metric::kControlLearners)),
        unresponsive_voters(registry.Gauge(runtime::Metric::kControlUnresponsiveVoters)),
        lanes{LaneStatistics(registry, EventLane::kConsensus),
              LaneStatistics(registry, EventLane::kOperator),
              LaneStatistics(registry, EventLane::kFleet)},
        round_seconds(registry.Histogram(runtime::Metric::kControlRoundSeconds)),
        persist_seconds(registry.Histogram(runtime::Metric::kControlPersistSeconds)) {}

  struct LaneStatistics {
    LaneStatistics(runtime::MetricsRegistry& registry, EventLane of)
        : lane(of),
          wait(registry.Histogram(runtime::Metric::kControlEventWaitSeconds, Labels(of))),
          dropped(registry.Counter(runtime::Metric::kControlEventsDropped, Labels(of))) {}
    static runtime::MetricLabels Labels(EventLane lane) {
      return {{"lane", std::string(LaneName(lane))}};
    }

    EventLane lane;
    runtime::HistogramHandle wait;
    runtime::CounterHandle dropped;
    std::uint64_t dropped_told = 0;  ///< Counted up to here.
  };

  runtime::GaugeHandle leading;
  runtime::GaugeHandle term;
  runtime::GaugeHandle commit_index;
  runtime::GaugeHandle log_bytes;
  runtime::GaugeHandle snapshot_bytes;
  runtime::GaugeHandle bundle_version;
  runtime::GaugeHandle routers;
  runtime::GaugeHandle servers_leased;
  runtime::GaugeHandle shard_moves;
  runtime::GaugeHandle queue_length;
  runtime::CounterHandle decision_evaluations;
  runtime::GaugeHandle drained_zones;
  runtime::GaugeHandle voters;
  runtime::GaugeHandle learners;
  runtime::GaugeHandle unresponsive_voters;
  std::uint64_t looks_told = 0;                   ///< Counted up to here.
  std::array<LaneStatistics, kEventLanes> lanes;  ///< In the order of EventLane.
  runtime::HistogramHandle round_seconds;
  runtime::HistogramHandle persist_seconds;
};

ControlDriver::ControlDriver(control::ControlOptions options,
                             std::unique_ptr<storage::ConsensusStorage> consensus_storage,
                             ControlEventQueue& queue, ControlOutputs outputs,
                             runtime::MetricsRegistry& metrics)
    : storage_(std::move(consensus_storage)),
      node_(std::move(options), storage_->TakeRecovered(), runtime::RandomBits(),
            runtime::BootTimeNow()),
      queue_(queue),
      outputs_(std::move(outputs)),
      statistics_(std::make_unique<Statistics>(metrics)) {
  PublishStatus(false);
}

ControlDriver::~ControlDriver() { Stop(); }

void ControlDriver::Start() {
  thread_ = std::thread([this] { Run(); });
}

void ControlDriver::Stop() {
  queue_.Close();
  if (thread_.joinable()) thread_.join();
}

std::vector<consensus::Member> ControlDriver::recovered_peers() const {
  const consensus::RaftConsensus& consensus = node_.consensus();
  std::vector<consensus::Member> peers = consensus.membership().voters;
  const auto& learners = consensus.membership().learners;
  peers.insert(peers.end(), learners.begin(), learners.end());
  std::erase_if(peers, [&](const auto& peer) { return peer.id == consensus.self().id; });
  return peers;
}

ControlStatus ControlDriver::status() const {
  const std::lock_guard lock(status_mutex_);
  return status_;
}

void ControlDriver::Run() {
  started_at_ = runtime::BootTimeNow();
  while (!queue_.closed() && !failed_) Step();
}

void ControlDriver::Step() {
  std::vector<control::ControlEffects> pending;
  for (ControlEvent& event : std::exchange(put_off_, {})) {
    pending.push_back(Apply(std::move(event)));
  }
  std::optional<Instant> begun;
  RoundHooks hooks;
  hooks.now = runtime::BootTimeNow;
  hooks.next_tick = [this] { return node_.NextTick(); };
  hooks.apply = [&](QueuedEvent queued) {
    if (!begun) begun = runtime::BootTimeNow();
    NoteWait(queued);
    pending.push_back(Apply(std::move(queued.event)));
  };
  hooks.tick = [&](Instant now) {
    if (!begun) begun = now;
    strain_.NoteTickLate(now - std::max(node_.NextTick(), started_at_), now);
    pending.push_back(node_.Tick(now, runtime::WallMillis()));
  };
  PlayRound(queue_, kLongestWait, hooks);
  Settle(std::move(pending));
  const Instant now = runtime::BootTimeNow();
  if (begun) NoteRound(now - *begun, now);
  PublishStatus(false);
  PublishStatistics(now);
}

void ControlDriver::NoteWait(const QueuedEvent& queued) {
  const Instant now = runtime::BootTimeNow();
  const Duration wait = now - queued.arrived;
  const EventLane lane = LaneOf(queued.event);
  if (lane == EventLane::kConsensus) strain_.NoteConsensusWait(wait, now);
  statistics_->lanes[static_cast<std::size_t>(lane)].wait.Observe(ToSeconds(wait));
}

void ControlDriver::NoteRound(Duration length, Instant now) {
  strain_.NoteRound(length, now);
  statistics_->round_seconds.Observe(ToSeconds(length));
}

control::ControlEffects ControlDriver::Apply(ControlEvent event) {
  const Instant now = runtime::BootTimeNow();
  const std::int64_t wall_ms = runtime::WallMillis();
  return std::visit(
      [&](auto& happened) {
        using Event = std::decay_t<decltype(happened)>;
        if constexpr (std::is_same_v<Event, PeerMessageArrived>) {
          return node_.OnPeerMessage(happened.message, now);
        } else if constexpr (std::is_same_v<Event, ServerAnswered>) {
          return node_.OnServerAnswer(happened.answer, now);
        } else if constexpr (std::is_same_v<Event, RouterMessageArrived>) {
          return node_.OnRouterMessage(happened.connection, happened.message, now, wall_ms);
        } else if constexpr (std::is_same_v<Event, RouterDisconnected>) {
          return node_.OnRouterDisconnected(happened.connection, now);
        } else if constexpr (std::is_same_v<Event, OperatorRequested>) {
          return ApplyOperatorRequest(happened, now, wall_ms);
        } else if constexpr (std::is_same_v<Event, PlatformListed>) {
          return node_.OnPlatformList(happened.list, now);
        } else if constexpr (std::is_same_v<Event, RangeOrderEnded>) {
          return node_.OnRangeOrderResult(happened.result, now);
        } else if constexpr (std::is_same_v<Event, PushSent>) {
          return happened.of_feed ? node_.OnFeedPushSent(happened.push, now)
                                  : node_.OnPushSent(happened.push, now);
        } else if constexpr (std::is_same_v<Event, SeedsChanged>) {
          node_.SetSeeds(std::move(happened.seeds));
          return control::ControlEffects{};
        } else {
          static_assert(std::is_same_v<Event, StopPrepared>);
          return node_.PrepareStop(now);
        }
      },
      event);
}

/// While space runs low, operators' changes are refused so that what is left is kept for elections
/// and the journal; what they read is still answered.
control::ControlEffects ControlDriver::ApplyOperatorRequest(const OperatorRequested& asked,
                                                            Instant now, std::int64_t wall_ms) {
  if (!space_is_low_ || IsTakenWithLittleSpace(asked.command)) {
    return node_.OnOperatorRequest(asked.request, asked.command, now, wall_ms);
  }
  control::ControlEffects refused;
  refused.operator_replies.push_back(
      {asked.request, Error{ErrorKind::kStorageFull, "The data folder's disk is nearly full.",
                            "Free space below data_folder; nothing was lost."}});
  return refused;
}

/// Invariant: nothing leaves before what it rests on is durable. All steps of one round are made
/// durable together; only then their effects go out, and the node is told, which may bring more.
void ControlDriver::Settle(std::vector<control::ControlEffects> pending) {
  while (!pending.empty()) {
    std::vector<std::uint64_t> durable;
    for (const control::ControlEffects& effects : pending) {
      if (!effects.persist.Empty()) durable.push_back(effects.persist.sequence);
    }
    if (!Persist(pending)) return;
    for (control::ControlEffects& effects : pending) Deliver(std::move(effects));
    pending.clear();
    for (const std::uint64_t sequence : durable) {
      pending.push_back(node_.OnPersistDone(sequence, runtime::BootTimeNow()));
    }
  }
}

bool ControlDriver::Persist(std::vector<control::ControlEffects>& pending) {
  std::vector<consensus::PersistRequest> requests;
  for (control::ControlEffects& effects : pending) {
    if (!effects.persist.Empty()) requests.push_back(std::move(effects.persist));
  }
  for (const consensus::PersistRequest& request : JoinRequests(std::move(requests))) {
    if (!PersistOne(request)) return false;
  }
  return true;
}

/// Tries again while the disk is full: the node is not stepped meanwhile, so it promises nothing
/// that is not on disk, and its leader lease runs out by itself.
bool ControlDriver::PersistOne(const consensus::PersistRequest& request) {
  for (;;) {
    const Instant begun = runtime::BootTimeNow();
    const auto outcome = Attempt([&] { return storage_->Persist(request); });
    const Error* const error = ErrorOf(outcome);
    if (error == nullptr) {
      const Instant now = runtime::BootTimeNow();
      const Duration taken = now - begun;
      strain_.NotePersist(taken, now);
      statistics_->persist_seconds.Observe(ToSeconds(taken));
      return true;
    }
    if (error->kind != ErrorKind::kStorageFull || queue_.closed()) {
      log_.Error(*error);
      failed_ = true;
      outputs_.stop();
      return false;
    }
    RefuseWhileFull(*error);
  }
}

/// Answers operators that wait, so that they learn why nothing is accepted, and drops what is sent
/// again. The rest is put off: the node waits for an order's result, for example, until it comes.
void ControlDriver::RefuseWhileFull(const Error& error) {
  if (!status().storage_full) log_.Error(error);
  PublishStatus(true);
  const Instant end = runtime::BootTimeNow() + kFullRetryInterval;
  for (Instant now = end - kFullRetryInterval; now < end && !queue_.closed();
       now = runtime::BootTimeNow()) {
    for (auto& [event, arrived] : queue_.Take(kEventsWhileFull, end - now)) {
      if (const auto* request = std::get_if<OperatorRequested>(&event)) {
        outputs_.to_operator({request->request, error});
      } else if (!IsSentAgain(event)) {
        put_off_.push_back(std::move(event));
      }
    }
  }
}

void ControlDriver::Deliver(control::ControlEffects effects) {
  for (auto& message : effects.peer_messages) outputs_.to_peer(std::move(message));
  for (auto& send : effects.lease_sends) outputs_.to_server(std::move(send));
  for (auto& send : effects.router_sends) outputs_.to_router(std::move(send));
  if (effects.push) outputs_.after_push({*effects.push, false});
  if (effects.feed_push) outputs_.after_push({*effects.feed_push, true});
  for (const auto& reply : effects.operator_replies) outputs_.to_operator(reply);
  for (auto& order : effects.range_orders) outputs_.to_range_owner(std::move(order));
  for (const auto& note : effects.range_notes) outputs_.on_range_note(note);
  for (const auto& note : effects.suspect_notes) outputs_.on_suspect_note(note);
  for (const auto& note : effects.rollout_notes) outputs_.on_rollout_note(note);
  for (const auto& note : effects.membership_notes) outputs_.on_membership_note(note);
  for (const Error& fault : effects.faults) log_.Error(fault);
}

void ControlDriver::PublishStatus(bool storage_full) {
  const Instant now = runtime::BootTimeNow();
  ControlStatus status;
  status.self = node_.consensus().self();
  status.leader = node_.consensus().leader();
  status.leading = !storage_full && node_.Leading(now);
  status.storage_full = storage_full;
  status.last_step = now;
  status.term = node_.consensus().term();
  status.role = node_.consensus().role();
  status.ready_to_stop = node_.ReadyToStop(now);
  status.strain = strain_.Worst(now);
  if (status.leading) status.relays = ResponsivePeers(node_.consensus(), now);
  const bool changed = status.leading != status_.leading || status.leader != status_.leader;
  if (changed) outputs_.on_leadership(status);
  const std::lock_guard lock(status_mutex_);
  if (status.leading != status_.leading) {
    log_.Info("{}", status.leading ? "Leads." : "Does not lead any more.");
  }
  status_ = std::move(status);
}

void ControlDriver::LookAtSpace() {
  const bool low = storage_->SpaceIsLow();
  if (low && !space_is_low_) log_.Warning("The data folder's disk is nearly full.");
  space_is_low_ = low;
}

void ControlDriver::PublishStatistics(Instant now) {
  if (now < next_statistics_) return;
  next_statistics_ = now + kStatisticsInterval;
  LookAtSpace();
  const control::FleetView fleet = node_.Fleet(now);
  const auto leased = std::count_if(fleet.servers.begin(), fleet.servers.end(),
                                    [](const auto& server) { return server.leased; });
  statistics_->leading.Set(node_.Leading(now) ? 1 : 0);
  statistics_->term.Set(static_cast<double>(fleet.term.value));
  statistics_->commit_index.Set(static_cast<double>(fleet.commit_index.value));
  const auto snapshot = node_.consensus().snapshot();
  statistics_->log_bytes.Set(static_cast<double>(node_.consensus().log_bytes()));
  statistics_->snapshot_bytes.Set(static_cast<double>(snapshot ? snapshot->data.size() : 0));
  statistics_->bundle_version.Set(static_cast<double>(fleet.bundle_version.value));
  statistics_->routers.Set(static_cast<double>(fleet.routers.size()));
  statistics_->servers_leased.Set(static_cast<double>(leased));
  statistics_->shard_moves.Set(static_cast<double>(fleet.shard_moves));
  statistics_->drained_zones.Set(static_cast<double>(fleet.drained_zones.size()));
  statistics_->voters.Set(static_cast<double>(fleet.membership.voters.size()));
  statistics_->learners.Set(static_cast<double>(fleet.membership.learners.size()));
  statistics_->unresponsive_voters.Set(
      static_cast<double>(UnresponsiveVoters(node_.consensus(), now)));
  statistics_->queue_length.Set(static_cast<double>(queue_.size()));
  const auto count = [](runtime::CounterHandle& counter, std::uint64_t& told, std::uint64_t total) {
    counter.Increment(static_cast<double>(total - told));
    told = total;
  };
  count(statistics_->decision_evaluations, statistics_->looks_told, node_.decision_evaluations());
  for (auto& of : statistics_->lanes) {
    count(of.dropped, of.dropped_told, queue_.dropped(of.lane));
  }
}

}  // namespace graniteseam::daemon
