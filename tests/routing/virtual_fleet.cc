#include "tests/routing/virtual_fleet.h"

#include <algorithm>
#include <utility>

namespace graniteseam::test {

namespace {

using routing::AttemptEnd;

constexpr Duration kNetwork{500};
constexpr int kShed = 429;
constexpr int kServerError = 500;

}  // namespace

Duration GroupTally::Percentile(double part) const {
  if (latencies.empty()) return Duration{0};
  std::vector<Duration> sorted = latencies;
  std::sort(sorted.begin(), sorted.end());
  return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
}

VirtualFleet::VirtualFleet(bundle::Bundle bundle, std::size_t routers,
                           std::vector<VirtualServer> servers)
    : bundle_(std::move(bundle)), servers_(std::move(servers)) {
  for (const bundle::Service& service : bundle_.services) {
    std::vector<admission::GroupWeight> weights;
    for (const bundle::Group& group : bundle_.groups) weights.push_back({group.name, group.share});
    allotter_.SetGroups(service.name, weights);
  }
  for (std::size_t i = 0; i < routers; ++i) {
    routing::RouterNodeOptions options;
    options.router = {"router-" + std::to_string(i)};
    routers_.push_back({std::make_unique<routing::RouterNode>(options, i + 1, now_), now_});
  }
}

void VirtualFleet::At(Duration after, std::function<void()> action) {
  events_.push({now_ + after, ++order_, std::move(action)});
}

void VirtualFleet::Run(Duration length) {
  const Instant end = now_ + length;
  for (;;) {
    std::size_t ticking = 0;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      if (routers_[i].next_tick < routers_[ticking].next_tick) ticking = i;
    }
    const bool tick = events_.empty() || routers_[ticking].next_tick <= events_.top().at;
    const Instant next = tick ? routers_[ticking].next_tick : events_.top().at;
    if (next > end) break;
    now_ = std::max(now_, next);
    if (tick) {
      Apply(ticking, routers_[ticking].node->Tick(now_));
    } else {
      const std::function<void()> action = events_.top().action;
      events_.pop();
      action();
    }
  }
  now_ = end;
}

void VirtualFleet::Load(const GroupName& group, double per_second, Duration length) {
  const Duration interval(static_cast<std::int64_t>(1e6 / per_second));
  std::size_t router = 0;
  for (Duration at{0}; at < length; at += interval) {
    At(at, [this, router, group] { Request(router, group); });
    router = (router + 1) % routers_.size();
  }
}

void VirtualFleet::Request(std::size_t router, const GroupName& group) {
  routing::CallerRequest request;
  request.number = ++last_request_;
  request.service = bundle_.services.front().name;
  request.group = group;
  waiting_[request.number] = {group, now_};
  ++tallies_[group.value].sent;
  Apply(router, routers_[router].node->OnRequest(request, now_));
}

void VirtualFleet::Apply(std::size_t router, const routing::RouterEffects& effects) {
  for (const auto& message : effects.control_messages) {
    At(kNetwork, [this, router, message] { Control(router, message); });
  }
  for (const auto& send : effects.sends) {
    At(kNetwork, [this, router, send] { Arrive(router, send); });
  }
  for (const auto& answer : effects.answers) {
    const Waiting waiting = waiting_.at(answer.request);
    waiting_.erase(answer.request);
    GroupTally& tally = tallies_[waiting.group.value];
    if (answer.outcome == routing::RequestOutcome::kAnswered) {
      ++tally.answered;
      tally.latencies.push_back(now_ - waiting.sent_at);
    } else if (answer.outcome == routing::RequestOutcome::kNotRun) {
      ++tally.not_run;
    } else {
      ++tally.unknown;
    }
  }
  routers_[router].next_tick = routers_[router].node->NextTick();
}

void VirtualFleet::Control(std::size_t router, const control::RouterToControl& message) {
  const auto* renewal = std::get_if<control::RouterRenewal>(&message);
  if (renewal == nullptr) return;
  std::vector<admission::DemandReport> demand;
  for (const auto& entry : renewal->demand) {
    demand.push_back({entry.group, entry.service, entry.concurrency_wanted});
  }
  std::vector<admission::CapacityReport> capacity;
  for (const auto& entry : renewal->capacity) {
    capacity.push_back({entry.service, entry.concurrency});
  }
  allotter_.Report(renewal->router, demand, now_, capacity);
  control::RouterRenewalAnswer answer;
  answer.sequence = renewal->sequence;
  answer.granted = renewal->bundle_version == bundle_.version;
  answer.lease_us = 1'000'000;
  if (!answer.granted) answer.bundle = bundle_;
  control::MapUpdate map;
  map.version = static_cast<std::uint64_t>(ToMicros(now_));
  for (const VirtualServer& server : servers_) {
    map.servers.push_back(
        {{server.id}, bundle_.services.front().name, server.id, {"z"}, true, server.load_hint});
  }
  answer.map = map;
  for (const auto& allotment : allotter_.AllotmentsFor(renewal->router, now_)) {
    answer.allotments.push_back({allotment.group, allotment.service, allotment.concurrency});
  }
  At(kNetwork, [this, router, answer] {
    Apply(router, routers_[router].node->OnControlMessage(answer, now_));
  });
}

std::size_t VirtualFleet::IndexOf(const ServerId& server) const {
  const auto found =
      std::find_if(servers_.begin(), servers_.end(),
                   [&](const VirtualServer& candidate) { return candidate.id == server.value; });
  return static_cast<std::size_t>(found - servers_.begin());
}

void VirtualFleet::Arrive(std::size_t router, const routing::AttemptSend& send) {
  const std::size_t index = IndexOf(send.server);
  VirtualServer& server = servers_[index];
  ++server.offered;
  if (server.frozen) {
    At(send.give_up_at - now_, [this, router, send] { End(router, send, AttemptEnd::kBroken, 0); });
  } else if (server.failing) {
    End(router, send, AttemptEnd::kAnswered, kServerError);
  } else if (server.shedding ||
             (server.busy >= server.slots &&
              server.waiting.size() >= static_cast<std::size_t>(server.queue_maximum))) {
    End(router, send, AttemptEnd::kShed, kShed);
  } else if (server.busy >= server.slots) {
    server.waiting.push_back(send);
    server.waiting_routers.push_back(router);
  } else {
    StartWork(index, router, send);
  }
}

void VirtualFleet::StartWork(std::size_t index, std::size_t router,
                             const routing::AttemptSend& send) {
  ++servers_[index].busy;
  At(servers_[index].work, [this, index, router, send] {
    VirtualServer& server = servers_[index];
    --server.busy;
    ++server.served;
    End(router, send, AttemptEnd::kAnswered, 200);
    if (server.waiting.empty()) return;
    const routing::AttemptSend next = server.waiting.front();
    const std::size_t next_router = server.waiting_routers.front();
    server.waiting.erase(server.waiting.begin());
    server.waiting_routers.erase(server.waiting_routers.begin());
    StartWork(index, next_router, next);
  });
}

void VirtualFleet::End(std::size_t router, const routing::AttemptSend& send, AttemptEnd end,
                       int status) {
  routing::AttemptResult result;
  result.request = send.request;
  result.attempt = send.attempt;
  result.end = end;
  result.status = status;
  At(kNetwork,
     [this, router, result] { Apply(router, routers_[router].node->OnAttemptEnd(result, now_)); });
}

std::uint64_t VirtualFleet::Offered() const {
  std::uint64_t sum = 0;
  for (const VirtualServer& server : servers_) sum += server.offered;
  return sum;
}

std::uint64_t VirtualFleet::Served() const {
  std::uint64_t sum = 0;
  for (const VirtualServer& server : servers_) sum += server.served;
  return sum;
}

}  // namespace graniteseam::test
