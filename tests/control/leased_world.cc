#include "tests/control/leased_world.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <utility>

namespace graniteseam::test {
namespace {

using control::ReportInstance;
using traffic::KeySpan;

const ServiceName kService{"s"};
constexpr Duration kStep{10'000};
constexpr Duration kBeatInterval{870'000};
constexpr Duration kBeatWhileLeaving{100'000};
/// Within this an instance takes an answer.
constexpr Duration kAnswerLimit{1'000'000};
constexpr Duration kLoadsInterval{250'000};
constexpr double kStepsPerSecond = 100.0;

}  // namespace

LeasedWorld::LeasedWorld(std::uint64_t seed, int instances, LeasedWorldFaults faults)
    : random_(seed), faults_(faults) {
  traffic::ConfigurationChange change;
  change.version = {1};
  change.whole = true;
  traffic::Service service;
  service.name = kService;
  service.keyed = true;
  service.lease_form = traffic::LeaseForm::kHeartbeat;
  change.services = {service};
  const auto applied = Attempt([&] { return state_.Apply(change, ++log_index_); });
  cr_assert(ErrorOf(applied) == nullptr);
  for (int i = 0; i < instances; ++i) AddServer();
  LeadOn();
}

Duration LeasedWorld::Millis(std::int64_t least, std::int64_t most) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<std::int64_t>(least, most)(random_));
}

LeasedWorld::Server& LeasedWorld::AddServer() {
  Server server;
  server.name = "i-" + std::to_string(++named_);
  server.address = "10.0.0." + std::to_string(named_) + ":80";
  server.clock = std::uniform_real_distribution<double>(0.98, 1.02)(random_);
  server.next_beat = now_ + Millis(0, 870);
  const std::string name = server.name;
  return servers_.emplace(name, std::move(server)).first->second;
}

void LeasedWorld::Drain(const std::string& name) { servers_.at(name).draining = true; }

void LeasedWorld::Crash(const std::string& name) { servers_.at(name).up = false; }

std::string LeasedWorld::Replace(const std::string& name, Duration gap) {
  Crash(name);
  const std::string address = servers_.at(name).address;
  Server& next = AddServer();
  next.address = address;
  next.next_beat = now_ + gap;
  return next.name;
}

void LeasedWorld::DelayHeartbeats(const std::string& name, Duration delay) {
  servers_.at(name).heartbeat_delay = delay;
}

void LeasedWorld::ChangeLeader(Duration gap) {
  leader_.reset();
  // What was proposed may have reached a quorum, or not.
  if (Chance(0.5)) committed_at_ = now_, ApplyProposed();
  proposed_.clear();
  leaderless_until_ = now_ + gap;
}

std::uint32_t LeasedWorld::KeysHeldBy(const std::string& name) const {
  std::uint32_t keys = 0;
  const Server& server = servers_.at(name);
  if (!server.up) return 0;
  for (const auto& [first, hold] : server.holds) {
    if (!hold.second.leaving) keys += hold.first - first + 1;
  }
  return keys;
}

std::uint32_t LeasedWorld::KeysHeld() const {
  std::uint32_t keys = 0;
  for (const auto& [name, server] : servers_) keys += KeysHeldBy(name);
  return keys;
}

std::optional<std::string> LeasedWorld::Run(Duration time) {
  for (const Instant end = now_ + time; now_ < end; now_ += kStep) {
    Trouble();
    if (!leader_ && now_ >= leaderless_until_) LeadOn();
    for (auto& [name, server] : servers_) {
      if (!server.up) continue;
      Expire(server);
      if (now_ >= server.next_beat) Beat(server);
    }
    for (std::size_t i = 0; i < messages_.size();) {
      if (messages_[i].due > now_) {
        ++i;
        continue;
      }
      const Message message = std::move(messages_[i]);
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(i));
      Arrive(message);
    }
    for (std::size_t i = 0; i < answers_.size();) {
      if (answers_[i].due > now_) {
        ++i;
        continue;
      }
      const Answer answer = std::move(answers_[i]);
      answers_.erase(answers_.begin() + static_cast<std::ptrdiff_t>(i));
      Server& server = servers_.at(answer.server);
      if (server.up) Take(server, answer);
    }
    if (leader_) {
      TellLoads();
      ApplyProposed();
      if (proposed_.empty()) Propose(leader_->Decide(now_));
      cr_assert(leader_->Orders(now_).empty(), "an order went out for a service without orders");
    }
    if (auto violation = TwoHolders()) return violation;
  }
  return std::nullopt;
}

void LeasedWorld::Trouble() {
  const auto strikes = [&](double a_second) { return Chance(a_second / kStepsPerSecond); };
  if (leader_ && strikes(faults_.leader_change)) ChangeLeader(Millis(10, 900));
  if (strikes(faults_.move)) {
    hot_key_ = std::uniform_int_distribution<std::uint32_t>(0, traffic::kLastKey)(random_);
  }
  const bool crash = strikes(faults_.crash);
  const bool drain = strikes(faults_.drain);
  const bool replace = strikes(faults_.replace);
  if (!crash && !drain && !replace) return;
  std::vector<std::string> up;
  for (const auto& [name, server] : servers_) {
    if (server.up && !server.draining) up.push_back(name);
  }
  const std::string& name =
      up[std::uniform_int_distribution<std::size_t>(0, up.size() - 1)(random_)];
  if (replace) {
    Replace(name, Chance(0.5) ? Duration{} : Millis(0, 1'000));
    return;
  }
  if (crash) Crash(name);
  if (drain) Drain(name);
  AddServer();
}

void LeasedWorld::TellLoads() {
  if (faults_.move == 0 || now_ < loads_due_) return;
  loads_due_ = now_ + kLoadsInterval;
  traffic::TrafficPoll poll;
  traffic::ServiceLoads& loads = poll.loads.emplace_back();
  loads.service = kService;
  for (std::uint32_t key = 0; key < 64; ++key) loads.keys.push_back({key * 1024, 1});
  loads.keys.push_back({hot_key_, 30});
  leader_->TakeLoads(poll, now_);
}

void LeasedWorld::LeadOn() {
  liveness_.emplace(std::chrono::seconds(4), now_);
  leader_ = std::make_unique<control::RangeController>(control::RangeOptions{}, state_, *liveness_,
                                                       limits_, control::OrderNumber{}, now_);
}

void LeasedWorld::Propose(std::vector<control::CommandBody> commands) {
  proposed_ = std::move(commands);
  committed_at_ = now_ + (Chance(faults_.slow_commit) ? Millis(50, 1'000) : Duration{});
  ApplyProposed();
}

void LeasedWorld::ApplyProposed() {
  if (now_ < committed_at_) return;
  for (const auto& command : std::exchange(proposed_, {})) Apply(command);
}

void LeasedWorld::Apply(const control::CommandBody& command) {
  ++log_index_;
  if (const auto* assign = std::get_if<control::AssignRangesCommand>(&command)) {
    state_.Assign(assign->assignments, log_index_);
  } else if (const auto* release = std::get_if<control::ReleaseRangesCommand>(&command)) {
    state_.BeginReleases(release->releases, log_index_);
  } else {
    state_.Confirm(std::get<control::ConfirmRangesCommand>(command).confirmations, log_index_);
  }
}

void LeasedWorld::Beat(Server& server) {
  ReportInstance heartbeat;
  heartbeat.report.id = {server.name};
  heartbeat.report.service = kService;
  heartbeat.report.address = server.address;
  heartbeat.report.slots = 2;
  heartbeat.report.sequence = ++server.sequence;
  heartbeat.report.draining = server.draining;
  for (const auto& [first, hold] : server.holds) {
    heartbeat.keys.held.push_back({{first, hold.first}, hold.second.fence});
  }
  heartbeat.keys.released = server.released;
  server.awaited = server.sequence;
  server.awaited_since = now_;
  server.next_beat = now_ + (HasWorkOn(server) ? kBeatWhileLeaving : kBeatInterval);
  if (Chance(faults_.heartbeat_late)) {
    messages_.push_back({now_ + Millis(500, 4'000), server.name, heartbeat});
    if (Chance(0.5)) return;
  }
  if (!Chance(faults_.heartbeat_lost)) {
    const Instant due = now_ + server.heartbeat_delay + Millis(1, 20);
    messages_.push_back({due, server.name, std::move(heartbeat)});
  }
}

bool LeasedWorld::HasWorkOn(const Server& server) const {
  return std::any_of(server.holds.begin(), server.holds.end(),
                     [](const auto& entry) { return entry.second.second.leaving; });
}

void LeasedWorld::Arrive(const Message& message) {
  if (!leader_) return;
  const ReportInstance& heartbeat = message.heartbeat;
  liveness_->RecordHeartbeat(heartbeat.report.id, now_);
  if (state_.instances().WouldChange(heartbeat.report)) {
    state_.Report({heartbeat.report}, ++log_index_);
  }
  Answer answer{now_ + Millis(1, 20), message.server, heartbeat.report.sequence,
                leader_->TakeHeartbeat(heartbeat, now_)};
  if (Chance(faults_.answer_late)) answer.due += Millis(200, 1'500);
  if (!Chance(faults_.answer_lost)) answers_.push_back(std::move(answer));
}

/// An instance takes an answer to its newest heartbeat only, and only in time.
void LeasedWorld::Take(Server& server, const Answer& answer) {
  if (answer.sequence != server.awaited || now_ - server.awaited_since > kAnswerLimit) return;
  server.awaited = 0;
  server.released.clear();
  if (!answer.leases) return;
  TakeRows(server, *answer.leases);
}

void LeasedWorld::TakeRows(Server& server, const traffic::KeyLeases& leases) {
  const auto length =
      static_cast<std::int64_t>(static_cast<double>(leases.length_ms) * 1'000 / server.clock);
  const Instant end = server.awaited_since + Duration(length);
  std::map<std::uint32_t, std::pair<std::uint32_t, Holding>> next;
  std::vector<std::pair<KeySpan, Holding>> left;
  for (const auto& [first, hold] : server.holds) {
    const KeySpan span{first, hold.first};
    // Cut what stays from what is to be let go.
    std::uint32_t at = span.first;
    for (const auto& row : leases.spans) {
      if (!row.span.Overlaps(span)) continue;
      if (at < row.span.first) left.push_back({{at, row.span.first - 1}, hold.second});
      at = std::max(at, row.span.last + 1);
    }
    if (at <= span.last) left.push_back({{at, span.last}, hold.second});
  }
  for (const auto& row : leases.spans) {
    const bool higher_seen =
        std::any_of(server.seen.begin(), server.seen.end(), [&](const auto& seen) {
          return KeySpan{seen.first, seen.second.first}.Overlaps(row.span) &&
                 seen.second.second > row.fence;
        });
    if (higher_seen) {
      ++refused_;
      continue;
    }
    next[row.span.first] = {row.span.last, {row.fence, end, false, {}}};
    server.seen[row.span.first] = {row.span.last, row.fence};
    if (!row.handover.empty()) ++handovers_;
  }
  for (auto& [span, hold] : left) {
    // Half of what is let go has work that runs on for a while.
    if (!hold.leaving) {
      hold.leaving = true;
      hold.work_ends = now_ + (Chance(0.5) ? Millis(0, 400) : Duration{});
    }
    next[span.first] = {span.last, hold};
  }
  server.holds = std::move(next);
  if (HasWorkOn(server)) server.next_beat = std::min(server.next_beat, now_ + kBeatWhileLeaving);
}

void LeasedWorld::Expire(Server& server) {
  for (auto it = server.holds.begin(); it != server.holds.end();) {
    const auto& [last, hold] = it->second;
    const bool over = now_ > hold.end;
    const bool let_go = hold.leaving && now_ >= hold.work_ends;
    if (let_go && !over) {
      server.released.push_back({{it->first, last}, "h" + std::to_string(hold.fence.value)});
    }
    it = over || let_go ? server.holds.erase(it) : std::next(it);
  }
}

std::optional<std::string> LeasedWorld::TwoHolders() const {
  struct Held {
    KeySpan span;
    const Server* server;
  };
  std::vector<Held> all;
  for (const auto& [name, server] : servers_) {
    if (!server.up) continue;
    for (const auto& [first, hold] : server.holds) {
      if (now_ <= hold.second.end) all.push_back({{first, hold.first}, &server});
    }
  }
  std::sort(all.begin(), all.end(),
            [](const Held& a, const Held& b) { return a.span.first < b.span.first; });
  for (std::size_t i = 1; i < all.size(); ++i) {
    if (!all[i].span.Overlaps(all[i - 1].span) || all[i].server == all[i - 1].server) continue;
    return "keys from " + std::to_string(all[i].span.first) + " are held by " +
           all[i].server->name + " and " + all[i - 1].server->name;
  }
  return std::nullopt;
}

}  // namespace graniteseam::test
