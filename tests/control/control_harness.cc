#include "tests/control/control_harness.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "graniteseam/bundle/bundle.h"
#include "graniteseam/bundle/signature.h"

namespace graniteseam::test {

namespace {

constexpr Duration kPlatformInterval{200'000};
constexpr Duration kLateDelay{700'000};
const char* const kReviewer = "reviewer";
/// Fixed, so that each run is the same.
const char* const kReviewerPrivateKey = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=";

template <class T>
T Value(Outcome<T> outcome) {
  if (const Error* error = ErrorOf(outcome)) throw std::runtime_error(ToString(*error));
  return std::get<T>(std::move(outcome));
}

std::string PublicKey() {
  return Value(Attempt([] { return bundle::PublicKeyOf(kReviewerPrivateKey); }));
}

bundle::Bundle MakeBundle(std::uint64_t version, std::uint32_t shard_count, std::int64_t lease_ms) {
  bundle::Bundle bundle;
  bundle.version = BundleVersion{version};
  bundle.author = "author";
  bundle::Service keyed;
  keyed.name = kKeyed;
  keyed.kind = bundle::ServiceKind::kKeyed;
  keyed.shard_count = shard_count;
  keyed.lease_ms = lease_ms;
  bundle::Service pooled;
  pooled.name = kPooled;
  pooled.lease_ms = lease_ms;
  bundle.services = {keyed, pooled};
  bundle.groups = {bundle::Group{GroupName{"carrier-a"}, {kKeyed, kPooled}, "", 1.0, 256}};
  return bundle;
}

}  // namespace

void Disk::Write(const consensus::PersistRequest& request) {
  if (request.snapshot) {
    snapshot = *request.snapshot;
    std::erase_if(entries, [&](const consensus::LogEntry& entry) {
      return entry.index <= snapshot->last_index;
    });
  }
  if (request.truncate_from) {
    std::erase_if(entries, [&](const consensus::LogEntry& entry) {
      return entry.index >= *request.truncate_from;
    });
  }
  entries.insert(entries.end(), request.entries.begin(), request.entries.end());
  if (request.hard_state) hard_state = *request.hard_state;
}

ControlHarness::ControlHarness(HarnessOptions options) : options_(options), random_(options.seed) {
  for (std::uint32_t number = 0; number < options.control_count; ++number) {
    ControlProcess& process = controls_.emplace_back();
    process.self = {ControlId{number + 1}, DiskIncarnation{100 + number},
                    "127.0.0.1:" + std::to_string(7000 + number),
                    ZoneName{"zone-" + std::to_string(number % 3)}};
  }
  for (std::size_t index = 0; index < controls_.size(); ++index) StartControl(index);
}

void ControlHarness::StartControl(std::size_t index) {
  ControlProcess& process = controls_[index];
  consensus::RecoveredState recovered;
  recovered.self = process.self;
  recovered.hard_state = process.disk.hard_state;
  recovered.snapshot = process.disk.snapshot;
  recovered.entries = process.disk.entries;
  if (process.starts++ == 0) {
    consensus::Membership membership;
    for (const auto& other : controls_) membership.voters.push_back(other.self);
    recovered.bootstrap = membership;
  }
  control::ControlOptions control;
  control.compact_after_entries = 200;
  control.reviewer_keys[kReviewer] = PublicKey();
  process.node = std::make_unique<control::ControlNode>(
      control, std::move(recovered), options_.seed * 31 + index + 1000 * process.starts, now_);
}

void ControlHarness::AddServer(const std::string& name, const ServiceName& service) {
  Server& server = servers_[name];
  server.id = ServerId{name};
  server.service = service;
  server.address = "127.0.0.1:" + std::to_string(8000 + servers_.size());
  server.clock_offset = Duration(1'000'000'000LL * static_cast<std::int64_t>(servers_.size()));
  StartServer(name);
}

void ControlHarness::StartServer(const std::string& name) {
  Server& server = servers_.at(name);
  ++server.incarnations;
  server.owner =
      std::make_unique<lease::FencedOwner>(server.id, Incarnation{1000 + server.incarnations});
  server.frozen = false;
  server.inbox.clear();
  // A new process never had a lease to lose.
  was_leased_[name] = false;
}

void ControlHarness::KillServer(const std::string& name) {
  Server& server = servers_.at(name);
  server.owner.reset();
  server.frozen = false;
  server.inbox.clear();
}

void ControlHarness::SetPlatformLeaving(const std::string& name, bool leaving) {
  if (leaving) {
    leaving_.insert(name);
  } else {
    leaving_.erase(name);
  }
}

void ControlHarness::RollBundle(std::uint64_t version, std::int64_t lease_ms) {
  const auto bundle = MakeBundle(version, options_.shard_count, lease_ms);
  const std::string digest = bundle::Digest(bundle);
  const std::string signature = Value(
      Attempt([&] { return bundle::SignDigest(kReviewerPrivateKey, bundle.version, digest); }));
  const std::vector<control::OperatorRequest> requests = {
      control::SubmitBundle{bundle, digest, "text"},
      control::SignBundle{bundle.version, digest, kReviewer, signature},
      control::RollBundle{bundle.version, digest}};
  for (const auto& request : requests) {
    const auto answer = Ask(request);
    if (const auto* error = std::get_if<Error>(&answer)) throw std::runtime_error(ToString(*error));
  }
}

void ControlHarness::At(Instant when, std::function<void()> run) {
  events_.emplace(when, Event{std::move(run)});
}

Duration ControlHarness::Delay() {
  const auto spread =
      static_cast<std::uint64_t>((options_.delay_maximum - options_.delay_minimum).count() + 1);
  return options_.delay_minimum + Duration(static_cast<std::int64_t>(random_() % spread));
}

void ControlHarness::RunFor(Duration length) {
  const Instant limit = now_ + length;
  while (Step(limit)) {
  }
}

bool ControlHarness::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const Instant end = now_ + limit;
  while (!condition()) {
    if (!Step(end)) return condition();
  }
  return true;
}

bool ControlHarness::Step(Instant limit) {
  Instant next = platform_due_;
  if (!events_.empty()) next = std::min(next, events_.begin()->first);
  for (std::size_t index = 0; index < controls_.size(); ++index) {
    if (controls_[index].node && !paused_.contains(index)) {
      next = std::min(next, controls_[index].node->NextTick());
    }
  }
  if (next > limit) {
    now_ = limit;
    return false;
  }
  now_ = std::max(now_, next);
  while (!events_.empty() && events_.begin()->first <= now_) {
    const auto run = std::move(events_.begin()->second.run);
    events_.erase(events_.begin());
    run();
  }
  TickAll();
  Observe();
  return true;
}

void ControlHarness::TickAll() {
  const bool platform = now_ >= platform_due_;
  if (platform) platform_due_ = now_ + kPlatformInterval;
  control::PlatformList list;
  for (const auto& [name, server] : servers_) {
    if (hidden_.contains(name)) continue;
    list.machines.push_back(
        {server.id, server.service, server.address, ZoneName{"zone-0"}, leaving_.contains(name)});
  }
  for (std::size_t index = 0; index < controls_.size(); ++index) {
    if (!controls_[index].node || paused_.contains(index)) continue;
    if (platform) {
      Call(index, [=, this](auto& node) { return node.OnPlatformList(list, now_); });
    }
    if (controls_[index].node->NextTick() <= now_) {
      Call(index, [=, this](auto& node) { return node.Tick(now_, WallMs()); });
    }
  }
}

void ControlHarness::Call(
    std::size_t index, const std::function<control::ControlEffects(control::ControlNode&)>& call) {
  if (!controls_[index].node) return;
  if (paused_.contains(index)) {
    // What arrives at a paused process waits in its sockets.
    At(now_ + Duration(10'000), [this, index, call] { Call(index, call); });
    return;
  }
  Carry(index, call(*controls_[index].node));
}

bool ControlHarness::Connected(std::size_t from, std::size_t to) const {
  return !cut_peers_.contains(from) && !cut_peers_.contains(to);
}

void ControlHarness::Carry(std::size_t index, control::ControlEffects effects) {
  ControlProcess& process = controls_[index];
  if (!effects.persist.Empty()) {
    process.disk.Write(effects.persist);
    const std::uint64_t sequence = effects.persist.sequence;
    const std::uint64_t start = process.starts;
    At(now_ + Duration(200), [this, index, sequence, start] {
      if (controls_[index].starts != start) return;
      Call(index, [=, this](auto& node) { return node.OnPersistDone(sequence, now_); });
    });
  }
  for (auto& message : effects.peer_messages) {
    const auto to = static_cast<std::size_t>(message.to.id.value - 1);
    // A learner that no process stands behind hears nothing.
    if (to >= controls_.size() || !Connected(index, to)) continue;
    At(now_ + Delay(), [this, to, message] {
      Call(to, [=, this](auto& node) { return node.OnPeerMessage(message, now_); });
    });
  }
  for (const auto& send : effects.lease_sends) CarryLease(index, send);
  for (auto& send : effects.router_sends) {
    if (!cut_servers_.contains(index)) {
      router_inbox_[send.connection].push_back(*send.message);
    }
  }
  for (auto& reply : effects.operator_replies) answers_[reply.request] = std::move(reply.answer);
  if (!on_range_order) return;
  for (const auto& order : effects.range_orders) on_range_order(index, order);
}

void ControlHarness::GiveRangeResult(std::size_t index, const control::RangeOrderResult& result) {
  Call(index, [&, this](auto& node) { return node.OnRangeOrderResult(result, now_); });
}

void ControlHarness::CarryLease(std::size_t index, const control::LeaseSend& send) {
  Trace(send.request.order.sequence);
  lease_history_.emplace_back(index, send.request);
  if (cut_servers_.contains(index)) return;
  const auto chance = [&] { return static_cast<double>(random_() % 10'000) / 10'000.0; };
  const auto deliver = [this, index, request = send.request] { Deliver(index, request); };
  const bool late = chance() < options_.late_chance;
  At(now_ + Delay() + (late ? kLateDelay : Duration::zero()), deliver);
  if (chance() < options_.duplicate_chance) At(now_ + Delay() + kLateDelay / 2, deliver);
}

void ControlHarness::Deliver(std::size_t index, const lease::LeaseRequest& request) {
  const auto found = servers_.find(request.server.value);
  if (found == servers_.end() || !found->second.owner) return;
  Server& server = found->second;
  if (server.frozen) {
    server.inbox.push_back(request);
    return;
  }
  Take(index, server, request);
}

void ControlHarness::Take(std::size_t index, Server& server, const lease::LeaseRequest& request) {
  const auto answer = server.owner->Take(request, ServerNow(server));
  Trace(answer.shard_set_version);
  if (cut_servers_.contains(index)) return;
  At(now_ + Delay(), [this, index, answer] {
    Call(index, [=, this](auto& node) { return node.OnServerAnswer(answer, now_); });
  });
}

void ControlHarness::WakeServer(const std::string& name) {
  Server& server = servers_.at(name);
  server.frozen = false;
  const auto inbox = std::exchange(server.inbox, {});
  const auto leader = Leader();
  for (const auto& request : inbox) Take(leader.value_or(0), server, request);
}

void ControlHarness::ReplayLeaseMessages() {
  const auto history = lease_history_;
  for (const auto& [index, request] : history) Deliver(index, request);
}

void ControlHarness::CutOff(std::size_t index, bool from_servers) {
  cut_peers_.insert(index);
  if (from_servers) cut_servers_.insert(index);
}

void ControlHarness::Reconnect(std::size_t index) {
  cut_peers_.erase(index);
  cut_servers_.erase(index);
}

std::optional<std::size_t> ControlHarness::Leader() const {
  for (std::size_t index = 0; index < controls_.size(); ++index) {
    if (controls_[index].node && !paused_.contains(index) && controls_[index].node->Leading(now_)) {
      return index;
    }
  }
  return std::nullopt;
}

bool ControlHarness::Owns(const std::string& name, std::uint32_t shard) const {
  const Server& server = servers_.at(name);
  if (!server.owner || !server.owner->LeaseValid(ServerNow(server))) return false;
  const auto held = server.owner->Held();
  return std::any_of(held.begin(), held.end(), [&](const lease::ShardGrant& grant) {
    return grant.shard == ShardId{kKeyed, shard};
  });
}

std::vector<std::string> ControlHarness::OwnersOf(std::uint32_t shard) const {
  std::vector<std::string> owners;
  for (const auto& [name, server] : servers_) {
    if (Owns(name, shard)) owners.push_back(name);
  }
  return owners;
}

bool ControlHarness::AllOwned() const {
  for (std::uint32_t shard = 0; shard < options_.shard_count; ++shard) {
    if (OwnersOf(shard).size() != 1) return false;
  }
  return true;
}

std::size_t ControlHarness::OwnedBy(const std::string& name) const {
  std::size_t owned = 0;
  for (std::uint32_t shard = 0; shard < options_.shard_count; ++shard) {
    if (Owns(name, shard)) ++owned;
  }
  return owned;
}

void ControlHarness::Observe() {
  std::map<ShardId, std::size_t> owners;
  for (const auto& [name, server] : servers_) {
    const bool leased = server.owner && server.owner->LeaseValid(ServerNow(server));
    bool& before = was_leased_[name];
    if (before && !leased && server.owner) ++leases_lost_;
    before = leased;
    if (!leased) continue;
    for (const auto& grant : server.owner->Held()) ++owners[grant.shard];
  }
  for (const auto& [shard, count] : owners) most_owners_ = std::max(most_owners_, count);
}

void ControlHarness::Submit(std::size_t index, const control::OperatorRequest& request) {
  const control::RequestId id = ++last_request_;
  Call(index,
       [=, this](auto& node) { return node.OnOperatorRequest(id, request, now_, WallMs()); });
}

control::OperatorAnswer ControlHarness::Ask(const control::OperatorRequest& request) {
  const control::RequestId id = ++last_request_;
  if (!RunUntil([&] { return Leader().has_value(); }, Duration(10'000'000))) {
    throw std::runtime_error("no leader");
  }
  Call(*Leader(),
       [=, this](auto& node) { return node.OnOperatorRequest(id, request, now_, WallMs()); });
  if (!RunUntil([&] { return answers_.contains(id); }, Duration(10'000'000))) {
    throw std::runtime_error("no answer");
  }
  return answers_.at(id);
}

control::OperatorAnswer ControlHarness::AskAt(std::size_t index,
                                              const control::OperatorRequest& request) {
  Submit(index, request);
  const control::RequestId id = last_request_;
  if (!RunUntil([&] { return answers_.contains(id); }, Duration(10'000'000))) {
    throw std::runtime_error("no answer");
  }
  return answers_.at(id);
}

void ControlHarness::StopLeaderAsPlanned() {
  Call(*Leader(), [=, this](auto& node) { return node.PrepareStop(now_); });
}

void ControlHarness::SendAsRouter(std::size_t index, std::uint64_t connection,
                                  const control::RouterToControl& message) {
  Call(index,
       [=, this](auto& node) { return node.OnRouterMessage(connection, message, now_, WallMs()); });
}

void ControlHarness::Trace(std::uint64_t value) {
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  trace_hash_ = (trace_hash_ ^ value) * kPrime;
  trace_hash_ = (trace_hash_ ^ static_cast<std::uint64_t>(ToMicros(now_))) * kPrime;
}

}  // namespace graniteseam::test
