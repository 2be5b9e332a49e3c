#include "tests/control_daemon/crowded_group.h"

#include <algorithm>
#include <utility>

namespace graniteseam::test {
namespace {

using control::OperatorAnswer;
using daemon::QueuedEvent;

const ServiceName kKeyed{"keyed"};
const ServiceName kPooled{"pooled"};

// What work takes on a whole core. Decisions were measured (a pass over 1,286 ranges and instances
// takes 0.6 to 1.5 ms); a message's share was drawn from the processor time of whole processes.
constexpr Duration kEventCost{5};
constexpr double kLookCostMicros = 0.5;
constexpr Duration kFrameCost{40};
constexpr Duration kHttpCost{100};
constexpr Duration kSyncTime{3'000};

constexpr Duration kPollInterval{500'000};
constexpr Duration kTrackerTick{10'000};
constexpr Duration kHeartbeatInterval{1'300'000};
constexpr Duration kCallLimit{1'000'000};
constexpr Duration kFirstPause{20'000};
constexpr Duration kLongestPause{500'000};
constexpr int kRedirectsMaximum = 2;
constexpr Duration kReleaseTime{50'000};
constexpr Duration kWatchInterval{10'000};
/// What the platform's template of control's settings says.
constexpr Duration kRenewalInterval{1'500'000};
constexpr Duration kHeartbeatOfLeader{100'000};
constexpr Duration kElectionMinimum{340'000};
constexpr Duration kElectionMaximum{600'000};
constexpr Duration kLeaderLease{280'000};
constexpr std::int64_t kWallMs = 1'780'000'000'000;

control::ControlOptions OptionsOfControl(std::size_t voters) {
  control::ControlOptions options;
  options.consensus.heartbeat_interval = kHeartbeatOfLeader;
  options.consensus.election_timeout_minimum = kElectionMinimum;
  options.consensus.election_timeout_maximum = kElectionMaximum;
  options.consensus.leader_lease = kLeaderLease;
  options.clock_drift_bound = 0.02;
  options.traffic.ranges.renewal_interval = kRenewalInterval;
  options.membership.enabled = true;
  options.traffic.reports_push_completion = true;
  options.membership.voters = voters;
  return options;
}

}  // namespace

/// Does its work in the order in which it came.
struct CrowdedGroup::Thread {
  Instant free{};  ///< When it will have done what came so far.
};

struct CrowdedGroup::Control {
  std::uint32_t index = 0;
  consensus::Member self;
  std::unique_ptr<control::ControlNode> node;
  daemon::ControlEventQueue queue;
  // What keeps framed connections, what keeps HTTP connections and what decides are threads of one
  // processor.
  Thread frames;
  Thread http;
  Thread deciding;
  Instant wakes_at = Instant::max();
  std::uint64_t wake = 0;  ///< Numbers what is planned; only the newest counts.
};

struct CrowdedGroup::Router {
  std::uint32_t index = 0;
  protocol::LeaderTracker tracker;
  std::uint64_t sequence = 0;
  std::uint64_t version = 0;
  std::uint64_t configuration = 0;
};

struct CrowdedGroup::Instance {
  traffic::InstanceReport report;
  std::uint32_t target = 0;
  bool open = false;  ///< A heartbeat has no answer yet.
};

struct CrowdedGroup::Question {
  control::OperatorRequest request;
  std::uint32_t target = 0;
  Instant begun;
  std::optional<Instant> ended;
  Duration pause = kFirstPause;
  int redirects = 0;
  std::uint64_t sending = 0;  ///< Numbers the calls; only the newest one's end counts.
  std::function<void()> done;
};

/// The threads that have work at an instant share the processor evenly. @return when `thread` has
/// done a piece of work that comes to it then.
Instant CrowdedGroup::Do(Control& control, Thread& thread, Instant from, Duration cost) const {
  int busy = 1;
  for (const Thread* other : {&control.frames, &control.http, &control.deciding}) {
    if (other != &thread && other->free > from) ++busy;
  }
  const double speed = options_.processor / busy;
  const auto taken = static_cast<std::int64_t>(static_cast<double>(cost.count()) / speed);
  thread.free = std::max(thread.free, from) + Duration(taken);
  return thread.free;
}

CrowdedGroup::CrowdedGroup(const CrowdOptions& options) : options_(options), random_(options.seed) {
  StartControls();
  StartRouters();
  StartInstances();
  At(now_, [this] { WatchLeader(); });
}

CrowdedGroup::~CrowdedGroup() = default;

void CrowdedGroup::At(Instant time, std::function<void()> action) {
  agenda_.emplace(std::max(time, now_), std::move(action));
}

Duration CrowdedGroup::Latency() {
  constexpr std::int64_t kShortest = 500;
  constexpr std::uint64_t kSpread = 1'000;
  return Duration(kShortest + static_cast<std::int64_t>(random_() % kSpread));
}

void CrowdedGroup::RunUntil(Instant end) {
  while (!agenda_.empty() && agenda_.begin()->first <= end) {
    const auto next = agenda_.begin();
    now_ = std::max(now_, next->first);
    const auto action = std::move(next->second);
    agenda_.erase(next);
    action();
  }
  now_ = end;
}

// --- Control processes ---

void CrowdedGroup::StartControls() {
  consensus::Membership founders;
  for (std::uint32_t index = 0; index < options_.controls; ++index) {
    auto control = std::make_unique<Control>();
    control->index = index;
    control->self = {ControlId{index + 1}, DiskIncarnation{100 + index},
                     "10.0.0." + std::to_string(index + 1) + ":7000",
                     ZoneName{"zone-" + std::to_string(index)}};
    auto& kind = index < options_.voters ? founders.voters : founders.learners;
    kind.push_back(control->self);
    controls_.push_back(std::move(control));
  }
  for (const auto& control : controls_) {
    consensus::RecoveredState recovered;
    recovered.self = control->self;
    recovered.bootstrap = founders;
    control->node = std::make_unique<control::ControlNode>(OptionsOfControl(options_.voters),
                                                           std::move(recovered), random_(), now_);
    WakeFor(*control);
  }
}

/// A message is read by the thread that keeps its connection; then it waits for the deciding one.
void CrowdedGroup::Arrive(Control& control, daemon::ControlEvent event, Kind kind) {
  const Instant read = Work(control, kind, now_);
  At(read, [this, &control, event = std::move(event)]() mutable {
    control.queue.Push(std::move(event), now_);
    WakeFor(control);
  });
}

void CrowdedGroup::WakeFor(Control& control) {
  const Instant due = control.queue.size() > 0 ? now_ : control.node->NextTick();
  const Instant when = std::max({now_, due, control.deciding.free});
  if (when >= control.wakes_at) return;
  control.wakes_at = when;
  At(when, [this, &control, number = ++control.wake] {
    if (number == control.wake) PlayRound(control);
  });
}

void CrowdedGroup::PlayRound(Control& control) {
  control.wakes_at = Instant::max();
  ++control.wake;
  control.deciding.free = std::max(control.deciding.free, now_);
  std::vector<control::ControlEffects> pending;
  const auto run = [&](const auto& step) {
    const std::uint64_t looks = control.node->decision_evaluations();
    pending.push_back(step(control.deciding.free));
    const auto looked = static_cast<double>(control.node->decision_evaluations() - looks);
    const Duration deciding(static_cast<std::int64_t>(looked * kLookCostMicros));
    Do(control, control.deciding, now_, kEventCost + deciding);
  };
  daemon::RoundHooks hooks;
  hooks.now = [&] { return control.deciding.free; };
  hooks.next_tick = [&] { return control.node->NextTick(); };
  hooks.tick = [&](Instant) { run([&](Instant now) { return control.node->Tick(now, kWallMs); }); };
  hooks.apply = [&](QueuedEvent queued) {
    run([&](Instant now) {
      if (auto* peer = std::get_if<daemon::PeerMessageArrived>(&queued.event))
        return control.node->OnPeerMessage(peer->message, now);
      if (auto* router = std::get_if<daemon::RouterMessageArrived>(&queued.event))
        return control.node->OnRouterMessage(router->connection, router->message, now, kWallMs);
      if (auto* asked = std::get_if<daemon::OperatorRequested>(&queued.event))
        return control.node->OnOperatorRequest(asked->request, asked->command, now, kWallMs);
      if (auto* push = std::get_if<daemon::PushSent>(&queued.event))
        return control.node->OnPushSent(push->push, now);
      return control.node->OnRangeOrderResult(
          std::get<daemon::RangeOrderEnded>(queued.event).result, now);
    });
  };
  daemon::PlayRound(control.queue, Duration::zero(), hooks);
  Settle(control, std::move(pending));
  WakeFor(control);
}

/// As the driver does: what a round brought is made durable together, then sent.
void CrowdedGroup::Settle(Control& control, std::vector<control::ControlEffects> pending) {
  while (!pending.empty()) {
    std::vector<std::uint64_t> durable;
    for (const auto& effects : pending) {
      if (!effects.persist.Empty()) durable.push_back(effects.persist.sequence);
    }
    // The thread waits for the disk; that takes no processor time.
    if (!durable.empty()) control.deciding.free = std::max(control.deciding.free, now_) + kSyncTime;
    for (const auto& effects : pending) CarryOut(control, effects);
    pending.clear();
    for (const std::uint64_t sequence : durable) {
      const std::uint64_t looks = control.node->decision_evaluations();
      pending.push_back(control.node->OnPersistDone(sequence, control.deciding.free));
      const auto looked = static_cast<double>(control.node->decision_evaluations() - looks);
      Do(control, control.deciding, now_,
         kEventCost + Duration(static_cast<std::int64_t>(looked * kLookCostMicros)));
    }
  }
}

/// When a message that is there at an instant was read, or has left.
Instant CrowdedGroup::Work(Control& control, Kind kind, Instant from) const {
  const bool frame = kind == Kind::kFrame;
  Thread& thread = frame ? control.frames : control.http;
  return Do(control, thread, from, frame ? kFrameCost : kHttpCost);
}

Instant CrowdedGroup::Emit(Control& control, Kind kind) const {
  return Work(control, kind, control.deciding.free);
}

void CrowdedGroup::CarryOut(Control& control, const control::ControlEffects& effects) {
  for (const auto& message : effects.peer_messages) SendToPeer(control, message);
  for (const auto& send : effects.router_sends) SendToRouter(control, send);
  if (effects.push) {
    At(control.frames.free, [this, &control, push = *effects.push] {
      control.queue.Push(daemon::PushSent{push}, now_);
      WakeFor(control);
    });
  }
  for (const auto& reply : effects.operator_replies) {
    const auto asked = asked_.find(reply.request);
    if (asked == asked_.end()) continue;
    const auto leader = control.node->consensus().leader();
    const auto index =
        leader && !leader->IsSameMemberAs(control.self) ? IndexOf(leader->address) : control.index;
    At(Emit(control, Kind::kHttp) + Latency(),
       [answer = std::move(asked->second), given = reply.answer, index] { answer(&given, index); });
    asked_.erase(asked);
  }
  for (const auto& order : effects.range_orders) SendOrder(control, order);
}

void CrowdedGroup::SendToPeer(Control& from, const consensus::PeerMessage& message) {
  const auto to = static_cast<std::size_t>(message.to.id.value) - 1;
  At(Emit(from, Kind::kFrame) + Latency(), [this, to, message] {
    Arrive(*controls_[to], daemon::PeerMessageArrived{message}, Kind::kFrame);
  });
}

void CrowdedGroup::SendToRouter(Control& from, const control::RouterSend& send) {
  At(Emit(from, Kind::kFrame) + Latency(), [this, at = from.index, send] {
    OnRouterMessage(*routers_[send.connection], at, *send.message);
  });
}

void CrowdedGroup::SendOrder(Control& from, const control::RangeOrder& order) {
  using Outcome = control::RangeOrderResult::Outcome;
  const Instant left = Emit(from, Kind::kHttp);
  const bool late = left > order.not_after;
  const bool release = order.kind == control::RangeOrder::Kind::kRelease;
  const Duration work = release ? kReleaseTime : Duration::zero();
  const control::RangeOrderResult result{
      order.number, late ? Outcome::kNotDelivered : Outcome::kDone, release ? "token" : ""};
  const Instant answered = late ? left : left + Latency() + work + Latency();
  At(answered,
     [this, &from, result] { Arrive(from, daemon::RangeOrderEnded{result}, Kind::kHttp); });
}

std::uint32_t CrowdedGroup::IndexOf(const std::string& address) const {
  const auto found = std::find_if(controls_.begin(), controls_.end(), [&](const auto& control) {
    return control->self.address == address;
  });
  return (*found)->index;
}

void CrowdedGroup::WatchLeader() {
  for (const auto& control : controls_) {
    if (!control->node->Leading(now_)) continue;
    if (leader_ && *leader_ != control->index) ++leader_changes_;
    leader_ = control->index;
    leader_seen_ = now_;
  }
  if (leader_) longest_without_leader_ = std::max(longest_without_leader_, now_ - leader_seen_);
  At(now_ + kWatchInterval, [this] { WatchLeader(); });
}

// --- Routers ---

void CrowdedGroup::StartRouters() {
  std::vector<std::string> addresses;
  for (const auto& control : controls_) addresses.push_back(control->self.address);
  for (std::uint32_t index = 0; index < options_.routers; ++index) {
    routers_.push_back(
        std::make_unique<Router>(Router{index, protocol::LeaderTracker(addresses, kPollInterval)}));
    Router& router = *routers_.back();
    for (const auto& address : addresses) router.tracker.OnConnected(address, now_);
    const auto spread = static_cast<std::uint64_t>(kPollInterval.count());
    At(now_ + Duration(static_cast<std::int64_t>(random_() % spread)),
       [this, &router] { Poll(router); });
  }
}

void CrowdedGroup::Tell(Router& router) {
  traffic::TrafficPoll poll;
  poll.router = {"router-" + std::to_string(router.index)};
  poll.sequence = ++router.sequence;
  poll.version = router.version;
  Deliver(router, router.tracker.OnSend(poll, now_));
}

void CrowdedGroup::Poll(Router& router) {
  Tell(router);
  // Between two polls the tracker is looked after as its client does.
  for (Duration after = kTrackerTick; after < kPollInterval; after += kTrackerTick) {
    At(now_ + after, [this, &router] { Deliver(router, router.tracker.Tick(now_)); });
  }
  At(now_ + kPollInterval, [this, &router] { Poll(router); });
}

void CrowdedGroup::Deliver(Router& router, const std::vector<protocol::LeaderSend>& sends) {
  for (const auto& send : sends) {
    At(now_ + Latency(), [this, to = IndexOf(send.address), from = router.index, send] {
      Arrive(*controls_[to], daemon::RouterMessageArrived{from, send.message}, Kind::kFrame);
    });
  }
}

void CrowdedGroup::OnRouterMessage(Router& router, std::uint32_t from,
                                   const control::ControlToRouter& message) {
  const std::string& address = controls_[from]->self.address;
  if (const auto* not_leader = std::get_if<control::NotLeaderAnswer>(&message)) {
    return Deliver(router, router.tracker.OnNotLeader(address, *not_leader, now_));
  }
  router.tracker.OnAnswered(address, message, now_);
  const auto* update = std::get_if<control::TrafficUpdate>(&message);
  if (update == nullptr || update->version <= router.version || update->base > router.version) {
    return;
  }
  router.version = update->version;
  const bool told = router.configuration == update->configuration.value;
  router.configuration = update->configuration.value;
  if (!told) Tell(router);
  for (CrowdChange& change : changes_) {
    if (change.version <= router.configuration) change.in_force.try_emplace(router.index, now_);
  }
}

// --- Instances and the operator ---

void CrowdedGroup::StartInstances() {
  for (std::uint32_t index = 0; index < options_.keyed + options_.pooled; ++index) {
    instances_.push_back(std::make_unique<Instance>());
    Instance& instance = *instances_.back();
    instance.report.id = {"i-" + std::to_string(index)};
    instance.report.service = index < options_.keyed ? kKeyed : kPooled;
    instance.report.address =
        "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":80";
    instance.report.slots = 3;
    instance.target = static_cast<std::uint32_t>(random_() % options_.controls);
    const auto spread = static_cast<std::uint64_t>(kHeartbeatInterval.count());
    At(now_ + Duration(static_cast<std::int64_t>(random_() % spread)),
       [this, &instance] { Beat(instance); });
  }
}

void CrowdedGroup::Beat(Instance& instance) {
  if (instance.open) return;
  instance.open = true;
  ++instance.report.sequence;
  auto question = std::make_shared<Question>();
  question->request = control::ReportInstance{instance.report};
  question->target = instance.target;
  question->done = [this, &instance, raw = question.get()] {
    instance.open = false;
    instance.target = raw->target;
    At(now_ + kHeartbeatInterval, [this, &instance] { Beat(instance); });
  };
  Pursue(question);
}

/// Asks as the platform's callers do: follows two redirects, moves on after a failure or a second
/// of silence, with a pause that grows.
void CrowdedGroup::Pursue(const std::shared_ptr<Question>& question) {
  if (question->begun == Instant{}) question->begun = now_;
  const std::uint64_t sending = ++question->sending;
  const auto move_on = [this, question] {
    question->target = (question->target + 1) % options_.controls;
    question->redirects = 0;
    const Duration pause = question->pause;
    question->pause = std::min(2 * pause, kLongestPause);
    ++question->sending;
    At(now_ + pause, [this, question] { Pursue(question); });
  };
  Ask(question->target, question->request,
      [this, question, sending, move_on](const OperatorAnswer* answer, std::uint32_t leader) {
        if (question->ended || sending != question->sending) return;
        const auto* error = std::get_if<Error>(answer);
        if (error == nullptr) {
          question->ended = now_;
          return question->done();
        }
        const bool led_on = error->kind == ErrorKind::kNotLeader && leader != question->target;
        if (!led_on || question->redirects == kRedirectsMaximum) return move_on();
        ++question->redirects;
        question->target = leader;
        Pursue(question);
      });
  At(now_ + kCallLimit, [question, sending, move_on] {
    if (!question->ended && sending == question->sending) move_on();
  });
}

void CrowdedGroup::Ask(std::uint32_t control, const control::OperatorRequest& request,
                       Answer answer) {
  const control::RequestId number = ++last_request_;
  asked_[number] = std::move(answer);
  At(now_ + Latency(), [this, control, number, request] {
    Arrive(*controls_[control], daemon::OperatorRequested{number, request}, Kind::kHttp);
  });
}

void CrowdedGroup::ScaleIn(double part) {
  const auto leaving = static_cast<std::size_t>(part * static_cast<double>(instances_.size()));
  // Spread over both services.
  for (std::size_t number = 0; number < leaving; ++number) {
    Instance& instance = *instances_[number * instances_.size() / leaving];
    instance.report.draining = true;
    Beat(instance);
  }
}

void CrowdedGroup::Change() {
  CrowdChange& change = changes_.emplace_back();
  const std::size_t place = changes_.size() - 1;
  change.version = changes_.size();
  change.sent = now_;
  control::ChangeConfiguration command;
  command.change.base = {change.version - 1};
  command.change.version = {change.version};
  command.change.whole = true;
  command.change.digest = "digest-" + std::to_string(change.version);
  traffic::Service keyed;
  keyed.name = kKeyed;
  keyed.keyed = true;
  traffic::Service pooled;
  pooled.name = kPooled;
  command.change.services = {keyed, pooled};
  auto question = std::make_shared<Question>();
  question->request = command;
  question->target = static_cast<std::uint32_t>(random_() % options_.controls);
  question->done = [this, place] { changes_[place].acknowledged = now_; };
  Pursue(question);
}

void CrowdedGroup::Read() {
  auto question = std::make_shared<Question>();
  question->request = control::ReadConfiguration{};
  question->target = static_cast<std::uint32_t>(random_() % options_.controls);
  question->done = [] {};
  reads_.push_back(question);
  Pursue(question);
}

std::vector<Duration> CrowdedGroup::Reads() const {
  std::vector<Duration> taken;
  for (const auto& read : reads_) taken.push_back(read->ended.value_or(now_) - read->begun);
  return taken;
}

}  // namespace graniteseam::test
