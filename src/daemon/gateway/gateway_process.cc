#include "src/daemon/gateway/gateway_process.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "graniteseam/codec/codec.h"
#include "src/runtime/clock.h"
#include "src/runtime/wait_until_none.h"

namespace graniteseam::daemon {
namespace {

namespace asio = boost::asio;

constexpr Duration kUrgentPollInterval{100'000};
/// Of servers' answers, one in so many is searched for fields that mean nothing here; so many names
/// of such fields are told.
constexpr std::uint64_t kAnswersPerLook = 16;
constexpr std::size_t kUnknownFieldsMaximum = 16;
/// A server that is reached accepts within milliseconds. A lost opening packet is sent again after
/// a second at the earliest: by then another server would have answered.
constexpr Duration kConnectLimit{300'000};
/// From a request's sending until it is handed to the kernel, or not at all: a connection's opening
/// and its watch, and some time for a process that is short of processor time.
constexpr Duration kHandedOverWithin{450'000};
/// Bounds of the time for which a new connection to a server is watched for a reset.
constexpr Duration kWatchMinimum{1'000};
constexpr Duration kWatchMaximum{10'000};
/// After which a probe's connection is taken for broken. Much longer than its answer is waited for,
/// since a connection that is given up must be made anew.
constexpr Duration kProbeLimit{1'000'000};
/// Connections that rested for so long are used for probes still: one that its server closes under
/// a probe costs nothing but that, and a new one costs more than the probe.
constexpr Duration kProbeRested{8'000'000};
/// Part of the link that downloads may use together: the rest is left to small messages, which then
/// find the link free for at least a quarter of the time.
constexpr double kBulkPartOfLink = 0.75;
constexpr double kBytesPerMegabit = 125'000;
constexpr std::size_t kAnswerBytesMaximum = std::size_t{32} << 20;

gateway::GatewayOptions NodeOptions(const GatewaySettings& settings) {
  gateway::GatewayOptions options;
  options.id = {settings.id};
  options.backends.zone = {settings.zone};
  options.backends.warm_up_requests_per_second = settings.warm_up_requests_per_second;
  options.budget = settings.budget;
  if (!settings.coordination_address.ip.empty()) {
    const runtime::SocketAddress& advertised = settings.advertised_coordination_address;
    options.coordination_address =
        runtime::ToString(advertised.ip.empty() ? settings.coordination_address : advertised);
  }
  options.machine_weight = settings.machine_weight;
  const runtime::SocketAddress& callers = settings.advertised_caller_address;
  options.caller_address =
      runtime::ToString(callers.ip.empty() ? settings.caller_address : callers);
  options.started_at = runtime::BootTimeNow();
  return options;
}

}  // namespace

GatewayProcess::GatewayProcess(GatewaySettings settings, ExchangeNames names, int event_descriptor)
    : settings_(std::move(settings)),
      translator_(std::move(names)),
      events_(settings_.id, event_descriptor),
      request_log_(events_),
      metrics_(metrics_registry_),
      account_(std::make_shared<event_http::ByteAccount>(HeldBytesMaximum(settings_))),
      loop_delay_(loop_.context()),
      node_(NodeOptions(settings_), runtime::RandomBits()),
      control_addresses_(settings_.control),
      timer_(loop_.context()),
      poll_timer_(loop_.context()) {}

GatewayProcess::~GatewayProcess() {
  control_.reset();
  loop_.Stop();
  // The server that closes its connections is destroyed after what their handlers use.
  for (const auto& [number, live] : live_) live.exchange->OnGone(nullptr);
}

Result<void> GatewayProcess::Start() {
  event_http::ServerOptions callers;
  callers.address = settings_.caller_address;
  callers.connections_maximum = static_cast<std::size_t>(settings_.connections_maximum);
  callers.account = account_;
  callers.on_eviction = [this](const event_http::Eviction& eviction) { LogEviction(eviction); };
  callers.bulk_bytes_per_second = kBulkPartOfLink * settings_.link_mbps * kBytesPerMegabit;
  callers.may_run_beside = [this](const event_http::Request& request) {
    const std::string* const host = request.fields.Find("Host");
    return host != nullptr && node_.MayRunBeside(*host, request.Path(), request.method);
  };
  callers_ = std::make_unique<event_http::Server>(
      loop_.context(), callers, [this](const auto& exchange) { OnExchange(exchange); });
  event_http::ServerOptions status;
  status.address = settings_.status_address;
  status.connections_maximum = 64;
  status_ = std::make_unique<event_http::Server>(
      loop_.context(), status, [this](const auto& exchange) { OnStatus(exchange); });
  event_http::ClientPoolOptions pool;
  pool.answer_bytes_maximum = kAnswerBytesMaximum;
  pool.account = account_;
  pool.connect_limit = kConnectLimit;
  pool.watch_minimum = kWatchMinimum;
  pool.watch_maximum = kWatchMaximum;
  servers_ = std::make_unique<event_http::ClientPool>(loop_.context(), pool);
  BOOST_LEAF_CHECK(callers_->Start());
  BOOST_LEAF_CHECK(status_->Start());
  BOOST_LEAF_CHECK(StartCoordination());
  metrics_port_ =
      event_http::OpenMetricsPort(loop_.context(), settings_.metrics_address, metrics_registry_);
  protocol::RouterControlClientOptions control;
  control.router = {settings_.id};
  control.control = settings_.control;
  control.security = settings_.security;
  control.answer_timeout = settings_.poll_interval;
  control_ = std::make_unique<protocol::RouterControlClient>(
      control, metrics_registry_,
      [this](const control::ControlToRouter& answer, const std::string& from) {
        OnControlMessage(answer, from);
      },
      [this](bool connected) {
        connected_to_control_ = connected;
        events_.Write(runtime::EventWeight::kNotable,
                      runtime::EventLine(connected ? "control_connected" : "control_lost"));
        if (connected) asio::post(loop_.context(), [this] { Poll(); });
      },
      [this](const protocol::LeaderSwitch& turn) {
        events_.Write(runtime::EventWeight::kNotable, runtime::EventLine("control_turn")
                                                          .Add("from", turn.from)
                                                          .Add("to", turn.to)
                                                          .Add("why", turn.why));
      },
      [this] { asio::post(loop_.context(), [this] { OnFeedLost(); }); });
  asio::post(loop_.context(), [this] {
    loop_delay_.start([this](Duration delay) {
      metrics_.OnLoopDelay(delay);
      node_.OnLoopDelay({delay, loop_delay_.record().longest(runtime::BootTimeNow())},
                        runtime::BootTimeNow());
    });
    Poll();
  });
  events_.Write(runtime::EventWeight::kVital,
                runtime::EventLine("started")
                    .Add("zone", settings_.zone)
                    .Add("callers", runtime::ToString(settings_.caller_address)));
  return {};
}

Result<void> GatewayProcess::StartCoordination() {
  if (settings_.coordination_address.ip.empty()) return {};
  protocol::GatewayTransportOptions options;
  options.address = settings_.coordination_address;
  options.name = settings_.id;
  options.security = settings_.security;
  coordination_ = std::make_unique<protocol::GatewayTransport>(
      options, loop_, metrics_registry_,
      [this](const std::string& from, const std::string& payload) {
        return OnSlotMessages(from, payload);
      });
  return coordination_->Start();
}

void GatewayProcess::Reload(const GatewaySettings& changed) {
  const auto addresses_of = [](const std::vector<runtime::SocketAddress>& addresses) {
    std::vector<std::string> texts;
    texts.reserve(addresses.size());
    for (const auto& address : addresses) texts.push_back(runtime::ToString(address));
    return texts;
  };
  const auto joined = [](const std::vector<std::string>& texts) {
    std::string all;
    for (const std::string& text : texts) all += (all.empty() ? "" : " ") + text;
    return all;
  };
  const std::vector<std::string> before = addresses_of(control_addresses_);
  const std::vector<std::string> after = addresses_of(changed.control);
  control_addresses_ = changed.control;
  control_->SetControl(after);
  events_.Write(runtime::EventWeight::kNotable,
                runtime::EventLine("reloaded")
                    .Add("control", static_cast<std::uint64_t>(changed.control.size()))
                    .Add("from", joined(before))
                    .Add("to", joined(after)));
}

void GatewayProcess::Stop() {
  events_.Write(runtime::EventWeight::kVital, runtime::EventLine("stopping"));
  stop_began_ = runtime::BootTimeNow();
  stopping_ = true;
  const StopSchedule schedule = ScheduleStop(settings_.stop_limit);
  const auto at = [this](Duration after) { return stop_began_ + after; };
  const auto connections = [this] { return callers_->connections(); };
  const auto busy = [this] { return callers_->busy(); };
  const gateway::PlannedStop stop{at(schedule.begin_only_what_ends), at(schedule.answer_rest)};
  BeginStopStep("drain", [this, stop] {
    node_.BeginStop(stop);
    callers_->BeginDrain();
    callers_->WriteBulkBy(stop.ends);
  });
  runtime::WaitUntilNone(loop_.context(), connections, at(schedule.leave_earliest),
                         at(schedule.close));
  BeginStopStep("close", [this, begin_latest = at(schedule.begin_latest)] {
    const bool in_time = runtime::BootTimeNow() <= begin_latest;
    callers_->Close(in_time ? event_http::ArrivedRequests::kServe
                            : event_http::ArrivedRequests::kRefuse);
  });
  runtime::WaitUntilNone(loop_.context(), busy, stop_began_, at(schedule.answer_rest));
  BeginStopStep("answer_rest", [this] { AnswerTheRest(); });
  const auto unfinished =
      runtime::WaitUntilNone(loop_.context(), busy, stop_began_, at(schedule.end));
  events_.Write(runtime::EventWeight::kVital,
                runtime::EventLine("stopped").Add(
                    "unfinished", unfinished ? std::to_string(*unfinished) : "unknown"));
}

void GatewayProcess::BeginStopStep(std::string_view name, std::function<void()> step) {
  asio::post(loop_.context(), [this, name, step = std::move(step), due = runtime::BootTimeNow()] {
    const Instant now = runtime::BootTimeNow();
    step();
    const event_http::CloseCounts counts = callers_->close_counts();
    events_.Write(
        runtime::EventWeight::kVital,
        runtime::EventLine("stop_step")
            .Add("step", name)
            .Add("after_us", static_cast<std::int64_t>((now - stop_began_).count()))
            .Add("loop_delay_us", static_cast<std::int64_t>((now - due).count()))
            .Add("connections", static_cast<std::uint64_t>(callers_->connections()))
            .Add("busy", static_cast<std::uint64_t>(callers_->busy()))
            .Add("unwritten_bytes", static_cast<std::uint64_t>(callers_->unwritten_bytes()))
            .Add("accepted", static_cast<std::uint64_t>(counts.accepted))
            .Add("unread", static_cast<std::uint64_t>(counts.unread))
            .Add("refused", static_cast<std::uint64_t>(counts.refused)));
  });
}

// --- Requests ---

void GatewayProcess::OnExchange(const std::shared_ptr<event_http::Exchange>& exchange) {
  const gateway::RequestNumber number = last_number_ = last_number_.Next();
  LiveExchange& live = live_[number];
  live.exchange = exchange;
  exchange->OnGone([this, number] {
    metrics_.OnCallerGone();
    Run(node_.OnCallerGone(number, runtime::BootTimeNow()));
    live_.erase(number);
  });
  const gateway::ArrivedRequest arrived = translator_.Read(exchange->request(), number);
  live.digest = arrived.digest;
  Run(node_.OnRequest(arrived, runtime::BootTimeNow()));
  const bool due = runtime::BootTimeNow() - last_poll_ >= kUrgentPollInterval;
  if (node_.PollIsUrgent() && due) Poll();
}

void GatewayProcess::OnStatus(const std::shared_ptr<event_http::Exchange>& exchange) const {
  event_http::Response response;
  const std::string_view path = exchange->request().Path();
  if (path == "/metrics") {
    response.fields.Add("Content-Type", runtime::kMetricsContentType);
    response.body = metrics_registry_.Text();
  } else if (path == "/ready") {
    const bool ready = node_.Ready() && !stopping_;
    response.status = ready ? 200 : 503;
    response.body = ready ? "ready\n" : "not ready\n";
  } else {
    response.status = 404;
  }
  exchange->Respond(std::move(response));
}

void GatewayProcess::Run(gateway::GatewayEffects effects) {
  TakeNotes(std::move(effects.notes));
  for (const gateway::RequestSummary& summary : effects.ended) {
    const auto found = live_.find(summary.request);
    if (found != live_.end()) found->second.summary = summary;
  }
  for (const coordination::SlotResult& result : effects.slot_results) {
    metrics_.OnSlotResult(result);
  }
  metrics_.OnSlotGrantsUnused(effects.slot_grants_unused);
  for (const gateway::GatewayEffect& action : effects.actions) {
    std::visit([this](const auto& one) { Do(one); }, action);
  }
  ArmTimer();
}

void GatewayProcess::Do(const gateway::SendAttempt& send) {
  // It would be cut off at once.
  if (rest_answered_) return;
  event_http::Call call;
  call.bytes = translator_.ForServer(live_.at(send.request).exchange->request(), send);
  metrics_.OnSend(send.server_warms_up);
  StartCall(send, std::move(call));
}

template <class Effect>
void GatewayProcess::StartCall(const Effect& effect, event_http::Call call) {
  LiveExchange& live = live_.at(effect.request);
  if (!live.first_sent) live.first_sent = runtime::BootTimeNow();
  call.address = effect.address;
  // Shared with the exchange: a request that is sent again is held once.
  if (const std::string& body = live.exchange->request().body; !body.empty()) {
    call.body = std::shared_ptr<const std::string>(live.exchange, &body);
  }
  call.head = live.exchange->request().method == "HEAD";
  call.limit = effect.time_left;
  call.avoided_connections = live.connections;
  // The request tells how much time is left now; with a later hand-over the server would work on
  // for longer than its caller waits.
  call.not_after = runtime::BootTimeNow() + kHandedOverWithin;
  live.call = servers_->Start(std::move(call), [this, effect](event_http::CallResult result) {
    OnCallEnd(effect, std::move(result));
  });
}

void GatewayProcess::Do(const gateway::ProbeInstance& probe) {
  if (rest_answered_) return;
  const Instant sent = runtime::BootTimeNow();
  event_http::Call call;
  call.address = probe.address;
  call.bytes = translator_.ForProbe(probe);
  call.limit = kProbeLimit;
  call.not_after = sent + probe.useful_for;
  call.rested_maximum = kProbeRested;
  // It may be lost without harm.
  call.watches_new_connection = false;
  metrics_.OnProbe();
  servers_->Start(std::move(call), [this, probe, sent](const event_http::CallResult& result) {
    gateway::ProbeReport report = translator_.Read(result, probe);
    report.taken = runtime::BootTimeNow() - sent;
    Run(node_.OnProbeEnd(report, runtime::BootTimeNow()));
  });
}

void GatewayProcess::Do(const gateway::TryConnection& trial) {
  if (rest_answered_) return;
  event_http::Call call;
  call.address = trial.address;
  call.limit = kConnectLimit;
  call.needs_new_connection = true;
  call.only_connects = true;
  metrics_.OnTrialConnection();
  servers_->Start(std::move(call), [this, trial](const event_http::CallResult& result) {
    const bool reached = result.end == event_http::CallEnd::kAnswered;
    NoteLoopDelay();
    const gateway::FailureCause cause = CauseOf(result.fault);
    Run(node_.OnConnectionTried({trial.round, trial.instance, reached, cause},
                                runtime::BootTimeNow()));
    metrics_.OnPartitioned(node_.is_partitioned());
  });
}

void GatewayProcess::Do(const gateway::ForwardRequest& forward) {
  if (rest_answered_) return;
  event_http::Call call;
  call.bytes = translator_.ForPeer(live_.at(forward.request).exchange->request(), forward);
  metrics_.OnForward();
  StartCall(forward, std::move(call));
}

template <class Effect>
void GatewayProcess::OnCallEnd(const Effect& effect, event_http::CallResult result) {
  const auto found = live_.find(effect.request);
  if (found == live_.end()) return;
  LiveExchange& live = found->second;
  const gateway::AttemptReport report = translator_.Read(result, live.exchange->request(), effect);
  metrics_.OnAttemptEnd(report.end);
  if (report.load_unreadable) metrics_.OnUnreadableLoad();
  if (report.end == gateway::AttemptEnd::kUnusable && live.call) servers_->Distrust(*live.call);
  live.call.reset();
  live.connections.push_back(result.connection);
  LogUnknownField(result.response);
  live.answer = std::move(result.response);
  NoteLoopDelay();
  Run(node_.OnAttemptEnd(report, runtime::BootTimeNow()));
  metrics_.OnBackPressure(report.pressure);
}

void GatewayProcess::Do(const gateway::AbandonAttempt& abandon) {
  const auto found = live_.find(abandon.request);
  if (found == live_.end() || !found->second.call) return;
  servers_->Abandon(*found->second.call);
  found->second.call.reset();
}

void GatewayProcess::Do(const gateway::RelayAnswer& relay) {
  LiveExchange& live = live_.at(relay.request);
  event_http::Response answer = translator_.ForCaller(std::move(*live.answer), relay.hop);
  answer.bulk = relay.bulk;
  answer.deliver_by = relay.deliver_by;
  Finish(relay.request, std::move(answer), "relayed");
}

void GatewayProcess::Do(const gateway::Refuse& refusal) {
  // What was abandoned with it comes after it among the effects, and may need the entry.
  const auto found = live_.find(refusal.request);
  if (found == live_.end()) return;
  if (found->second.call) {
    servers_->Abandon(*found->second.call);
    found->second.call.reset();
  }
  Finish(refusal.request, translator_.ForCaller(refusal, found->second.exchange->request()),
         gateway::ReasonName(refusal.reason));
}

void GatewayProcess::Do(const gateway::AskTokens& ask) {
  if (control_) control_->Send(ask.request);
}

void GatewayProcess::Do(const gateway::SendSlots& slots) {
  if (coordination_) coordination_->Send(slots.send.address, codec::Encode(slots.send.batch));
}

void GatewayProcess::Do(const gateway::ResetPeer& peer) {
  if (coordination_) coordination_->Reset(peer.address);
}

std::optional<Error> GatewayProcess::OnSlotMessages(const std::string& from,
                                                    const std::string& payload) {
  const auto batch = Attempt([&] { return codec::Decode<coordination::SlotBatch>(payload); });
  if (const Error* const error = ErrorOf(batch)) return *error;
  Run(node_.OnSlotBatch(from, std::get<coordination::SlotBatch>(batch), runtime::BootTimeNow()));
  return std::nullopt;
}

void GatewayProcess::Finish(gateway::RequestNumber number, event_http::Response response,
                            std::string_view outcome) {
  const auto found = live_.find(number);
  const LiveExchange live = std::move(found->second);
  live_.erase(found);
  const Duration taken = runtime::BootTimeNow() - live.exchange->received_at();
  metrics_.OnRequest(outcome, taken);
  const event_http::Exchange& exchange = *live.exchange;
  EndedRequest ended;
  ended.id = translator_.AttemptId(exchange.request());
  ended.target = exchange.request().target;
  ended.digest = live.digest;
  ended.version = node_.version();
  ended.status = response.status;
  ended.outcome = outcome;
  ended.received = exchange.received_at();
  ended.taken = taken;
  ended.connection_wait = exchange.connection_wait();
  ended.first_sent = live.first_sent;
  ended.summary = live.summary;
  request_log_.Write(ended, live.notes);
  live.exchange->Respond(std::move(response));
}

/// What has no answer at the end of a stop gets one.
void GatewayProcess::AnswerTheRest() {
  rest_answered_ = true;
  Run(node_.EndAll(runtime::BootTimeNow()));
}

// --- Log ---

void GatewayProcess::TakeNotes(std::vector<gateway::DecisionNote> notes) {
  for (gateway::DecisionNote& note : notes) {
    const auto found = live_.find(note.request);
    if (found != live_.end()) {
      found->second.notes.push_back({std::move(note), runtime::BootTimeNow()});
      continue;
    }
    events_.Write(runtime::EventWeight::kNotable, runtime::EventLine(note.what)
                                                      .Add("instance", note.instance.value)
                                                      .Add("inputs", note.inputs));
  }
}

/// A field that this gateway has no meaning for may be a word that it should heed.
void GatewayProcess::LogUnknownField(const event_http::Response& answer) {
  if (answers_looked_at_++ % kAnswersPerLook != 0) return;
  const std::string* const name = translator_.UnknownField(answer);
  if (name == nullptr || unknown_fields_.size() >= kUnknownFieldsMaximum) return;
  if (!unknown_fields_.insert(*name).second) return;
  events_.Write(runtime::EventWeight::kNotable,
                runtime::EventLine("unknown_field").Add("name", *name));
}

void GatewayProcess::LogEviction(const event_http::Eviction& eviction) {
  events_.Write(runtime::EventWeight::kNotable,
                runtime::EventLine("evicted")
                    .Add("peer", eviction.peer)
                    .Add("bytes", static_cast<std::uint64_t>(eviction.bytes))
                    .Add("bytes_per_second", static_cast<std::uint64_t>(eviction.bytes_per_second))
                    .Add("for", eviction.upload ? "request" : "answer"));
}

// --- Control and time ---

void GatewayProcess::OnControlMessage(const control::ControlToRouter& message,
                                      const std::string& from) {
  if (const auto* update = std::get_if<control::TrafficUpdate>(&message)) {
    const Receipt receipt{runtime::BootTimeNow(), from};
    asio::post(loop_.context(), [this, update = *update, receipt] { OnUpdate(update, receipt); });
  } else if (const auto* report = std::get_if<control::NotLeaderAnswer>(&message)) {
    const gateway::FollowerReport follower{from, report->version, report->configuration};
    asio::post(loop_.context(), [this, follower] { OnFollowerReport(follower); });
  } else if (const auto* hints = std::get_if<control::TrafficHints>(&message)) {
    asio::post(loop_.context(),
               [this, hints = *hints] { Run(node_.OnHints(hints, runtime::BootTimeNow())); });
  } else if (const auto* tokens = std::get_if<control::TokenAnswer>(&message)) {
    asio::post(loop_.context(),
               [this, tokens = *tokens] { Run(node_.OnTokens(tokens, runtime::BootTimeNow())); });
  }
}

void GatewayProcess::OnUpdate(const traffic::TrafficUpdate& update, const Receipt& receipt) {
  const bool was_ready = node_.Ready();
  const traffic::ConfigurationVersion before = node_.configuration();
  Run(node_.OnUpdate(update, runtime::BootTimeNow()));
  if (update.limits) ApplyLimits();
  metrics_.OnVersion(node_.version(), node_.configuration().value);
  if (node_.configuration() != before) LogConfiguration(update, receipt);
  control_->SetStateVersion(node_.version());
  if (node_.feed() != feed_) FollowFeed();
  if (node_.HasUnreportedConfiguration()) Poll();
  if (!was_ready && node_.Ready()) {
    events_.Write(runtime::EventWeight::kNotable,
                  runtime::EventLine("ready").Add("version", node_.version()));
  }
}

void GatewayProcess::OnFollowerReport(const gateway::FollowerReport& report) {
  Run(node_.OnFollowerReport(report, runtime::BootTimeNow()));
  if (node_.feed() != feed_) FollowFeed();
}

void GatewayProcess::FollowFeed() {
  events_.Write(runtime::EventWeight::kNotable, runtime::EventLine("feed")
                                                    .Add("from", feed_)
                                                    .Add("to", node_.feed())
                                                    .Add("version", node_.version()));
  feed_ = node_.feed();
  control_->SubscribeToState(feed_);
}

void GatewayProcess::OnFeedLost() {
  events_.Write(runtime::EventWeight::kNotable,
                runtime::EventLine("feed_lost").Add("feed", node_.feed()));
  node_.OnFeedLost(runtime::BootTimeNow());
  // The leader names another one at once: changes must not wait for the next poll.
  Poll();
}

void GatewayProcess::LogConfiguration(const traffic::TrafficUpdate& update,
                                      const Receipt& receipt) {
  const Duration waited = runtime::BootTimeNow() - receipt.at;
  events_.Write(runtime::EventWeight::kNotable,
                runtime::EventLine("configuration_applied")
                    .Add("configuration", node_.configuration().value)
                    .Add("version", node_.version())
                    .Add("base", update.base)
                    .Add("from", receipt.from)
                    .Add("received_us_ago", static_cast<std::int64_t>(waited.count())));
}

void GatewayProcess::ApplyLimits() {
  const traffic::CallerLimits& limits = node_.limits();
  event_http::ServerLimits server;
  server.header_bytes = static_cast<std::size_t>(limits.header_bytes_maximum);
  server.body_bytes = static_cast<std::size_t>(limits.body_bytes_maximum);
  server.header_timeout = std::chrono::milliseconds(limits.header_timeout_ms);
  server.idle_timeout = std::chrono::milliseconds(limits.idle_timeout_ms);
  callers_->SetLimits(server);
}

void GatewayProcess::Poll() {
  last_poll_ = runtime::BootTimeNow();
  metrics_.OnLimitedInstances(node_.limited_instances());
  metrics_.OnCoordinatedQueue(node_.coordinated_queue());
  metrics_.OnHeldBytes(account_->held(), account_->evictions(), callers_->refusals_for_room());
  for (const auto& [service, budget] : node_.retry_budgets()) {
    metrics_.OnRetryBudget(service, budget.counts());
  }
  metrics_.OnRetryBudgetGateways(node_.gateway_count());
  if (control_) control_->Send(node_.TakePoll(last_poll_));
  poll_timer_.expires_after(settings_.poll_interval);
  poll_timer_.async_wait([this](auto error) {
    if (!error) Poll();
  });
}

void GatewayProcess::NoteLoopDelay() {
  const Instant now = runtime::BootTimeNow();
  const runtime::DelayRecord& record = loop_delay_.record();
  node_.OnLoopDelay({record.current(now), record.longest(now)}, now);
}

void GatewayProcess::ArmTimer() {
  const Instant next = node_.NextTick();
  const bool woke = wake_watch_.Woke();
  if (woke) events_.Write(runtime::EventWeight::kNotable, runtime::EventLine("woke"));
  if (next == timer_at_ && !woke) return;
  timer_at_ = next;
  if (next == Instant::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(std::max(Duration{0}, next - runtime::BootTimeNow()));
  timer_.async_wait([this](auto error) {
    if (error) return;
    timer_at_ = Instant::max();
    NoteLoopDelay();
    Run(node_.Tick(runtime::BootTimeNow()));
  });
}

}  // namespace graniteseam::daemon
