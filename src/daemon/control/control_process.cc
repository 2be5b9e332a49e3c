#include "src/daemon/control/control_process.h"

#include <unistd.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "src/control/order_names.h"
#include "src/runtime/clock.h"

namespace graniteseam::daemon {
namespace {

/// Longer than the node takes to hand over its leadership and its vote; a stop is not held up
/// beyond it.
constexpr Duration kHandOverLimit{2'500'000};
constexpr Duration kHandOverPoll{5'000};
/// Longer than a heartbeat is held until a leader is known, and than an election takes.
constexpr Duration kAnswersLimit{1'000'000};
/// Members bring the state to the routers of their zones: what they apply late is late there. One
/// empty message a member, with all that was committed meanwhile.
constexpr Duration kCommitToldWithin{5'000};
/// A deciding thread that stood still for longer is taken for stuck.
constexpr Duration kLiveLimit{10'000'000};
/// Longer than elections take: a group that lost its leader has the next one sooner.
constexpr Duration kLeaderlessAfter{2'000'000};

std::string AddressesOf(const std::vector<consensus::Member>& members) {
  std::string text;
  for (const consensus::Member& member : members) {
    text += (text.empty() ? "" : " ") + member.address;
  }
  return text;
}

std::string_view RoleName(consensus::Role role) {
  switch (role) {
    case consensus::Role::kLearner:
      return "learner";
    case consensus::Role::kFollower:
      return "follower";
    case consensus::Role::kPreCandidate:
      return "pre_candidate";
    case consensus::Role::kCandidate:
      return "candidate";
    case consensus::Role::kLeader:
      return "leader";
  }
  return "";
}

std::int64_t InMillis(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace

ControlProcess::ControlProcess(ControlSettings settings, runtime::StopSignals& stop_signals,
                               OwnerCallNames owner_names)
    : settings_(std::move(settings)),
      stop_signals_(stop_signals),
      owner_names_(std::move(owner_names)),
      events_("control-" + std::to_string(settings_.EffectiveId().value), STDOUT_FILENO),
      seeds_(settings_.first_voters) {}

ControlProcess::~ControlProcess() {
  // Nothing may run any more when the members go.
  if (operator_server_) operator_server_->Stop();
  if (driver_) driver_->Stop();
  loop_.Stop();
  server_loop_.Stop();
}

Result<void> ControlProcess::Start() {
  BOOST_LEAF_CHECK(LoadTls());
  BOOST_LEAF_CHECK(OpenStorage());
  CreateTransport();
  BOOST_LEAF_CHECK(peers_->Load());
  CreateDriver();
  CreateClients();
  CreateOperatorServer();
  CreateRegistry();
  for (const consensus::Member& peer : driver_->recovered_peers()) peers_->Connect(peer.address);
  driver_->Start();
  BOOST_LEAF_CHECK(internal_server_->Start());
  BOOST_LEAF_CHECK(operator_server_->Start());
  if (registry_) BOOST_LEAF_CHECK(registry_->Start());
  metrics_port_ =
      event_http::OpenMetricsPort(server_loop_.context(), settings_.metrics_address, metrics_);
  log_.Info("Listens for peers and routers on {}.", ToString(settings_.peer_address));
  events_.Write(
      runtime::EventWeight::kVital,
      runtime::EventLine("started")
          .Add("zone", settings_.zone)
          .Add("peers", ToString(settings_.peer_address))
          .Add("initialise", static_cast<std::int64_t>(settings_.initialise))
          .Add("trusted_network", static_cast<std::int64_t>(settings_.security.trusted_network)));
  log_.Info("Listens for operators on {}.", ToString(settings_.http_address));
  const Duration replace_after = settings_.ReplaceAfter();
  if (settings_.node.membership.enabled && settings_.replacement_time < replace_after) {
    log_.Warning(
        "replacement_time_ms is {} ms, but a silent voter is replaced after {} ms at the earliest; "
        "raise it, or lower election_timeout_maximum_ms.",
        InMillis(settings_.replacement_time), InMillis(replace_after));
  }
  return {};
}

Result<void> ControlProcess::LoadTls() {
  using http::TlsContext;
  if (!settings_.operator_tls.Empty()) {
    BOOST_LEAF_ASSIGN(operator_tls_,
                      TlsContext::Load(TlsContext::Side::kServer, settings_.operator_tls));
  }
  if (!settings_.server_tls.Empty()) {
    BOOST_LEAF_ASSIGN(server_tls_,
                      TlsContext::Load(TlsContext::Side::kClient, settings_.server_tls));
  }
  return {};
}

Result<void> ControlProcess::OpenStorage() {
  storage::StorageOptions options;
  options.folder = settings_.data_folder;
  options.id = settings_.EffectiveId();
  options.address = ToString(settings_.KnownPeerAddress());
  options.zone.value = settings_.zone;
  options.seeds = settings_.first_voters;
  const bool founder =
      std::any_of(settings_.first_voters.begin(), settings_.first_voters.end(),
                  [&](const consensus::Member& voter) { return voter.id == options.id; });
  if (founder) options.configured_voters = consensus::Membership{settings_.first_voters, {}};
  if (settings_.initialise) options.bootstrap = options.configured_voters;
  BOOST_LEAF_ASSIGN(storage_, storage::ConsensusStorage::Open(files_, options));
  if (storage_->torn_bytes() > 0) {
    log_.Warning("Cut {} bytes of a write that a crash tore.", storage_->torn_bytes());
  }
  WriteRecovered();
  return {};
}

void ControlProcess::WriteRecovered() {
  const consensus::RecoveredState& recovered = storage_->recovered();
  std::uint64_t bytes = 0;
  for (const consensus::LogEntry& entry : recovered.entries) bytes += entry.payload.size();
  events_.Write(
      runtime::EventWeight::kVital,
      runtime::EventLine("recovered")
          .Add("entries", static_cast<std::uint64_t>(recovered.entries.size()))
          .Add("bytes", bytes)
          .Add("snapshot_bytes",
               static_cast<std::uint64_t>(recovered.snapshot ? recovered.snapshot->data.size() : 0))
          .Add("snapshot_index", recovered.snapshot ? recovered.snapshot->last_index.value : 0));
}

void ControlProcess::CreateTransport() {
  const std::string name = std::to_string(settings_.EffectiveId().value);
  protocol::ServedAddresses served;
  served.http = ToString(settings_.KnownHttpAddress());
  if (!settings_.registry_address.ip.empty()) {
    served.registry = ToString(settings_.registry_address);
  }
  peers_ = std::make_unique<protocol::PeerTransport>(
      protocol::PeerTransportOptions{name, served, settings_.security}, loop_, metrics_);
  protocol::InternalServerOptions options;
  options.address = settings_.peer_address;
  options.name = name;
  options.security = settings_.security;
  internal_server_ = std::make_unique<protocol::InternalServer>(std::move(options), loop_, metrics_,
                                                                InternalHandlers());
}

protocol::InternalServer::Handlers ControlProcess::InternalHandlers() {
  protocol::InternalServer::Handlers handlers;
  handlers.on_peer_connected = [this](const std::string& name,
                                      const protocol::ServedAddresses& served) {
    NotePeer(name, served);
  };
  handlers.on_peer_message = [this](consensus::PeerMessage message) {
    if (std::holds_alternative<consensus::Announcement>(message.payload) &&
        driver_->status().leading) {
      const auto note = announcements_.OnReceived(message, runtime::BootTimeNow());
      if (note) WriteNote(*note);
    }
    queue_.Push(PeerMessageArrived{std::move(message)});
  };
  handlers.on_router_message = [this](protocol::RouterConnectionId connection,
                                      control::RouterToControl message) {
    queue_.Push(RouterMessageArrived{connection, std::move(message)});
  };
  handlers.on_router_disconnected = [this](protocol::RouterConnectionId connection) {
    queue_.Push(RouterDisconnected{connection});
  };
  return handlers;
}

void ControlProcess::CreateClients() {
  http::LeaseClientOptions lease_options;
  lease_options.tls = server_tls_;
  lease_client_ = std::make_unique<http::LeaseClient>(
      std::move(lease_options), server_loop_, metrics_,
      [this](const lease::LeaseAnswer& answer) { queue_.Push(ServerAnswered{answer}); });
  http::PlatformPollerOptions options;
  options.addresses = settings_.platform;
  options.tls = server_tls_;
  platform_poller_ = std::make_unique<http::PlatformPoller>(
      std::move(options), server_loop_, metrics_, [this] { return driver_->status().leading; },
      [this](const control::PlatformList& list) { queue_.Push(PlatformListed{list}); });
}

void ControlProcess::CreateDriver() {
  settings_.node.configuration_bytes_maximum = settings_.ConfigurationBytes();
  ControlOutputs outputs;
  outputs.to_peer = [this](const consensus::PeerMessage& message) { SendToPeer(message); };
  outputs.to_server = [this](control::LeaseSend send) {
    lease_client_->Send(std::move(send.address), std::move(send.request));
  };
  outputs.to_router = [this](control::RouterSend send) {
    internal_server_->SendToRouter(send.connection, std::move(send.message));
  };
  outputs.after_push = [this](PushSent push) {
    internal_server_->AfterSent([this, push] { queue_.Push(push); });
  };
  outputs.to_operator = [this](const control::OperatorReply& reply) {
    if (registry_ && (reply.request & RegistryServer::kRequestBit) != 0) {
      registry_->Answer(reply);
    } else {
      desk_.Answer(reply);
    }
  };
  if (!owner_names_.grant_path.empty()) {
    owner_client_ = std::make_unique<OwnerClient>(
        owner_names_, server_loop_, events_, [this](const control::RangeOrderResult& result) {
          metrics_
              .Counter(runtime::Metric::kControlRangeOrderEnds,
                       {{"result", control::OrderOutcomeName(result.outcome)}})
              .Increment();
          queue_.Push(RangeOrderEnded{result});
        });
    outputs.to_range_owner = [this](control::RangeOrder order) {
      metrics_
          .Counter(runtime::Metric::kControlRangeOrders,
                   {{"kind", control::OrderKindName(order.kind)}})
          .Increment();
      owner_client_->Send(std::move(order));
    };
  }
  outputs.on_leadership = [this](const ControlStatus& status) {
    const std::string leader = status.leader ? status.leader->address : "";
    metrics_
        .Counter(runtime::Metric::kControlLeaderChanges,
                 {{"role", status.leading ? "leads" : "follows"}})
        .Increment();
    events_.Write(runtime::EventWeight::kVital,
                  runtime::EventLine(status.leading ? "leads" : "follows")
                      .Add("term", status.term.value)
                      .Add("leader", leader)
                      .Add("role", RoleName(status.role))
                      .Add("consensus_wait_ms", InMillis(status.strain.consensus_wait))
                      .Add("tick_late_ms", InMillis(status.strain.tick_late))
                      .Add("round_ms", InMillis(status.strain.round))
                      .Add("persist_ms", InMillis(status.strain.persist)));
  };
  outputs.on_range_note = [this](const control::RangeNote& note) {
    events_.Write(runtime::EventWeight::kNotable, runtime::EventLine(note.what)
                                                      .Add("service", note.service.value)
                                                      .Add("first", std::uint64_t{note.span.first})
                                                      .Add("last", std::uint64_t{note.span.last})
                                                      .Add("fence", note.fence.value)
                                                      .Add("instance", note.instance.value)
                                                      .Add("inputs", note.inputs));
  };
  outputs.on_suspect_note = [this](const control::SuspectNote& note) {
    events_.Write(
        runtime::EventWeight::kNotable,
        runtime::EventLine(note.what).Add("digest", note.digest.value).Add("inputs", note.inputs));
  };
  outputs.on_rollout_note = [this](const control::RolloutNote& note) {
    events_.Write(runtime::EventWeight::kNotable,
                  runtime::EventLine(note.what)
                      .Add("configuration", note.configuration.value)
                      .Add("version", note.version)
                      .Add("router", note.router.value)
                      .Add("inputs", note.inputs));
  };
  outputs.on_membership_note = [this](const control::MembershipNote& note) { WriteNote(note); };
  outputs.stop = [this] { stop_signals_.RequestStop(); };
  control::ControlOptions options = settings_.node;
  options.traffic.reports_push_completion = true;
  options.consensus.commit_notification_delay = kCommitToldWithin;
  options.reviewer_keys = settings_.reviewers;
  options.membership.voters = settings_.WantedVoters();
  driver_ = std::make_unique<ControlDriver>(std::move(options), std::move(storage_), queue_,
                                            std::move(outputs), metrics_);
}

void ControlProcess::WriteNote(const control::MembershipNote& note) {
  metrics_
      .Counter(runtime::Metric::kControlMembershipChanges,
               {{"event", std::string(note.what)}, {"change", std::string(note.change)}})
      .Increment();
  events_.Write(runtime::EventWeight::kVital,
                runtime::EventLine(note.what)
                    .Add("change", note.change)
                    .Add("member", note.member.address)
                    .Add("term", note.term.value)
                    .Add("voters", static_cast<std::uint64_t>(note.voters))
                    .Add("learners", static_cast<std::uint64_t>(note.learners))
                    .Add("inputs", note.inputs));
}

void ControlProcess::WriteNote(const AnnouncementNote& note) {
  runtime::EventLine line(note.what);
  line.Add("process", note.process);
  if (!note.to.empty()) line.Add("to", note.to);
  events_.Write(runtime::EventWeight::kVital, line);
}

void ControlProcess::SendToPeer(const consensus::PeerMessage& message) {
  if (std::holds_alternative<consensus::Announcement>(message.payload)) {
    if (const auto note = announcements_.OnSent(message, runtime::BootTimeNow())) WriteNote(*note);
  }
  peers_->Send(message);
}

void ControlProcess::Reload(const ControlSettings& changed) {
  if (changed.first_voters == seeds_) return;
  events_.Write(runtime::EventWeight::kVital, runtime::EventLine("seeds_changed")
                                                  .Add("from", AddressesOf(seeds_))
                                                  .Add("to", AddressesOf(changed.first_voters)));
  seeds_ = changed.first_voters;
  queue_.Push(SeedsChanged{seeds_});
}

bool ControlProcess::LacksLeader() {
  const Instant now = runtime::BootTimeNow();
  if (driver_->status().leader) {
    leaderless_since_.reset();
    return false;
  }
  if (!leaderless_since_) leaderless_since_ = now;
  return now - *leaderless_since_ >= kLeaderlessAfter;
}

void ControlProcess::CreateOperatorServer() {
  http::OperatorServerOptions options;
  options.address = settings_.http_address;
  options.operators = settings_.operators;
  options.tls = operator_tls_;
  http::OperatorServerHooks hooks;
  hooks.execute = [this](control::OperatorRequest request) {
    return desk_.Execute(std::move(request));
  };
  hooks.leader_address = [this] { return LeaderAddresses().http; };
  hooks.self = [this] { return driver_->status().self; };
  hooks.live = [this] { return runtime::BootTimeNow() - driver_->status().last_step < kLiveLimit; };
  hooks.ready = [this] {
    const ControlStatus status = driver_->status();
    return status.leader.has_value() && !status.storage_full && !stopping_;
  };
  operator_server_ =
      std::make_unique<http::OperatorServer>(std::move(options), metrics_, std::move(hooks));
}

void ControlProcess::NotePeer(const std::string& name, const protocol::ServedAddresses& served) {
  const std::lock_guard lock(peers_mutex_);
  peer_addresses_[name] = served;
}

/// Known from the leader's own hello: it connects to every member to send appends.
protocol::ServedAddresses ControlProcess::LeaderAddresses() const {
  const ControlStatus status = driver_->status();
  if (!status.leader) return {};
  const std::lock_guard lock(peers_mutex_);
  const auto found = peer_addresses_.find(std::to_string(status.leader->id.value));
  return found == peer_addresses_.end() ? protocol::ServedAddresses{} : found->second;
}

/// A member of the instance's own zone where there is one, so that its heartbeats stay there; the
/// instances of a zone are spread over its members. Followers keep those that came to them.
std::string ControlProcess::HeartbeatAddress(const traffic::InstanceReport& report) const {
  const ControlStatus status = driver_->status();
  std::string own = ToString(settings_.registry_address);
  if (!status.leading) return own;
  std::vector<std::string> in_zone;
  std::vector<std::string> all{own};
  if (settings_.zone == report.zone.value) in_zone.push_back(own);
  const std::lock_guard lock(peers_mutex_);
  for (const consensus::Member& member : status.relays) {
    const auto found = peer_addresses_.find(std::to_string(member.id.value));
    if (found == peer_addresses_.end() || found->second.registry.empty()) continue;
    all.push_back(found->second.registry);
    if (member.zone == report.zone) in_zone.push_back(found->second.registry);
  }
  const std::vector<std::string>& choices = in_zone.empty() ? all : in_zone;
  return choices[std::hash<std::string>{}(report.id.value) % choices.size()];
}

void ControlProcess::CreateRegistry() {
  if (settings_.registry_address.ip.empty()) return;
  RegistryServerHooks hooks;
  hooks.execute = [this](control::RequestId request, control::OperatorRequest command) {
    queue_.Push(OperatorRequested{request, std::move(command)});
  };
  hooks.leader_address = [this] { return LeaderAddresses().registry; };
  hooks.metrics = [this] { return metrics_.Text(); };
  hooks.on_answered = [this](std::string_view call, std::string_view result, Duration taken) {
    metrics_
        .Histogram(runtime::Metric::kControlRegistrySeconds,
                   {{"call", std::string(call)}, {"result", std::string(result)}})
        .Observe(std::chrono::duration<double>(taken).count());
  };
  hooks.heartbeat_address = [this](const auto& report) { return HeartbeatAddress(report); };
  registry_ =
      std::make_unique<RegistryServer>(settings_.registry_address, settings_.RegistryConnections(),
                                       server_loop_, events_, std::move(hooks));
}

void ControlProcess::Stop() {
  log_.Info("Stops.");
  stopping_ = true;
  events_.Write(runtime::EventWeight::kVital, runtime::EventLine("stopping"));
  if (registry_) registry_->BeginDrain();
  if (!driver_->failed()) PrepareStop();
  // While the deciding thread runs: it answers what it was given.
  if (registry_) registry_->Close(driver_->failed() ? Duration{} : kAnswersLimit);
  operator_server_->Stop();
  internal_server_->Disconnect();
  driver_->Stop();
  loop_.Stop();
  server_loop_.Stop();
  log_.Info("Stopped.");
}

void ControlProcess::PrepareStop() {
  queue_.Push(StopPrepared{});
  const Instant end = runtime::BootTimeNow() + kHandOverLimit;
  while (!driver_->status().ready_to_stop && !driver_->failed() && runtime::BootTimeNow() < end) {
    std::this_thread::sleep_for(kHandOverPoll);
  }
}

}  // namespace graniteseam::daemon
