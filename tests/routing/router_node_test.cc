// RouterNode under random events: requests, ends of attempts, maps, claims, callers that leave.
#include "graniteseam/routing/router_node.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <vector>

#include "graniteseam/routing/routing_table.h"
#include "tests/support/fixed_seed.h"

using namespace std::chrono_literals;
using namespace graniteseam;
using namespace graniteseam::routing;

namespace {

constexpr std::uint32_t kShards = 4;
const std::vector<ServiceName> kServices = {{"keyed"}, {"pooled"}, {"operations"}, {"hedged"}};

bundle::Bundle FourServices() {
  bundle::Bundle bundle;
  bundle.version = {1};
  for (const ServiceName& name : kServices) {
    bundle::Service service;
    service.name = name;
    service.repeatable = name.value != "operations";
    service.hedging = name.value == "hedged";
    service.concurrency_per_server = 2;
    if (name.value == "keyed") {
      service.kind = bundle::ServiceKind::kKeyed;
      service.shard_count = kShards;
    }
    bundle.services.push_back(service);
  }
  bundle.groups.push_back({{"a"}, kServices, "", 1.0, 4});
  bundle.groups.push_back({{"b"}, kServices, "", 2.0, 4});
  return bundle;
}

/// Drives one node and checks after each event what must always hold.
class CheckedNode {
 public:
  CheckedNode() : node_(Options(), 1, now_) {
    Take(node_.Tick(now_));
    Renew(FourServices());
    ChangeMap(0, 0);
  }

  void Request() {
    CallerRequest request;
    request.number = ++last_request_;
    request.service = kServices[*rc::gen::inRange<std::size_t>(0, kServices.size())];
    request.group = {*rc::gen::element<std::string>("a", "b")};
    if (request.service.value == "keyed") request.key = std::to_string(last_request_);
    request.operation = OperationId{std::to_string(last_request_)};
    open_.insert(request.number);
    if (request.service.value == "operations") operations_.insert(request.number);
    Take(node_.OnRequest(request, now_));
  }

  void EndAttempt() {
    if (flights_.empty()) return;
    auto flight = flights_.begin();
    std::advance(flight, *rc::gen::inRange<std::size_t>(0, flights_.size()));
    AttemptResult result;
    result.request = flight->second.request;
    result.attempt = flight->first;
    result.end = static_cast<AttemptEnd>(*rc::gen::inRange(0, 8));
    result.status = *rc::gen::element(200, 500);
    flights_.erase(flight);
    if (!ProvenNotRun(result.end)) may_have_run_.insert(result.request);
    if (result.end == AttemptEnd::kAnswered) answered_.insert(result.attempt);
    Take(node_.OnAttemptEnd(result, now_));
  }

  void AnswerJournal() {
    if (journal_.empty()) return;
    const control::JournalRequest request = journal_.back();
    journal_.pop_back();
    control::JournalAnswer answer{request.sequence, {}};
    for (const auto& claim : request.claims) {
      const auto verdict = static_cast<control::ClaimVerdict>(*rc::gen::inRange(0, 7));
      answer.results.push_back({claim.operation, claim.claim, verdict, std::nullopt});
      if (verdict == control::ClaimVerdict::kClaimed) claimed_.insert(claim.operation.value);
    }
    Take(node_.OnControlMessage(answer, now_));
  }

  /// Gives a random shard a random state, owner and the next epoch.
  void ChangeMap() {
    ChangeMap(*rc::gen::inRange<std::uint32_t>(0, kShards), *rc::gen::inRange(0, 3));
  }

  void LeaveCaller() {
    if (open_.empty()) return;
    Take(node_.OnCallerGone(*open_.begin(), now_));
  }

  void Pass(Duration time) {
    now_ += time;
    // As the driver must: attempts end by their time limit.
    for (auto flight = flights_.begin(); flight != flights_.end();) {
      const AttemptSend send = flight->second;
      if (send.give_up_at > now_) {
        ++flight;
        continue;
      }
      may_have_run_.insert(send.request);
      flight = flights_.erase(flight);
      Take(node_.OnAttemptEnd({send.request, send.attempt, AttemptEnd::kBroken, 0, {}, {}}, now_));
      flight = flights_.begin();
    }
    Take(node_.Tick(now_));
    RC_ASSERT(node_.NextTick() > now_);
  }

  void Finish() {
    for (int step = 0; step < 400 && !open_.empty(); ++step) Pass(100ms);
    RC_ASSERT(open_.empty());
    const RouterStatus status = node_.Status(now_);
    RC_ASSERT(status.requests == 0U);
    RC_ASSERT(status.held == 0U);
    RC_ASSERT(status.queued == 0U);
  }

 private:
  static RouterNodeOptions Options() {
    RouterNodeOptions options;
    options.router = {"router"};
    return options;
  }

  void Renew(std::optional<bundle::Bundle> bundle) {
    control::RouterRenewalAnswer answer;
    answer.sequence = renewal_;
    answer.granted = true;
    answer.lease_us = 3'600'000'000;
    answer.bundle = std::move(bundle);
    Take(node_.OnControlMessage(answer, now_));
  }

  void ChangeMap(std::uint32_t shard, int state) {
    control::RouterRenewalAnswer answer;
    answer.map.emplace();
    answer.map->base_version = map_version_;
    answer.map->version = ++map_version_;
    if (map_version_ == 1) {
      for (const ServiceName& service : kServices) {
        for (const char* id : {"1", "2", "3"}) {
          answer.map->servers.push_back(
              {{service.value + id}, service, "127.0.0.1:1", {"zone"}, true, 0.0});
        }
      }
    }
    const std::string owner = "keyed" + std::to_string(map_version_ % 3 + 1);
    answer.map->shards.push_back(
        {{kServices[0], shard}, static_cast<control::ShardState>(state), {owner}, {map_version_}});
    Take(node_.OnControlMessage(answer, now_));
  }

  void Take(const RouterEffects& effects) {
    for (const auto& message : effects.control_messages) {
      if (const auto* renewal = std::get_if<control::RouterRenewal>(&message)) {
        renewal_ = renewal->sequence;
      } else {
        journal_.push_back(std::get<control::JournalRequest>(message));
      }
    }
    for (const AttemptNumber attempt : effects.cancels) {
      const auto flight = flights_.find(attempt);
      if (flight != flights_.end()) may_have_run_.insert(flight->second.request);
      flights_.erase(attempt);
    }
    for (const AttemptSend& send : effects.sends) CheckSend(send);
    for (const RequestAnswer& answer : effects.answers) CheckAnswer(answer);
  }

  void CheckSend(const AttemptSend& send) {
    RC_ASSERT(open_.contains(send.request));
    RC_ASSERT(now_ < send.give_up_at);
    if (operations_.contains(send.request)) {
      RC_ASSERT(claimed_.contains(std::to_string(send.request)));
      RC_ASSERT(!may_have_run_.contains(send.request));
      for (const auto& [attempt, flight] : flights_) RC_ASSERT(flight.request != send.request);
    }
    RC_ASSERT(flights_.emplace(send.attempt, send).second);
  }

  void CheckAnswer(const RequestAnswer& answer) {
    RC_ASSERT(open_.erase(answer.request) == 1U);
    if (answer.outcome == RequestOutcome::kAnswered) {
      RC_ASSERT(answered_.contains(answer.attempt));
    } else if (answer.outcome == RequestOutcome::kNotRun) {
      RC_ASSERT(!may_have_run_.contains(answer.request));
    }
    // Whoever is answered has nothing in flight any more.
    for (const auto& [attempt, flight] : flights_) RC_ASSERT(flight.request != answer.request);
  }

  Instant now_ = InstantFromMicros(1'000'000);
  std::uint64_t renewal_ = 0;
  std::uint64_t map_version_ = 0;
  RequestNumber last_request_ = 0;
  std::set<RequestNumber> open_;
  std::set<RequestNumber> operations_;
  std::set<RequestNumber> may_have_run_;
  std::set<AttemptNumber> answered_;
  std::set<std::string> claimed_;
  std::map<AttemptNumber, AttemptSend> flights_;
  std::vector<control::JournalRequest> journal_;
  RouterNode node_;
};

}  // namespace

Test(router_node, keeps_its_promises_under_random_events) {
  const bool holds = rc::check("each request gets one true answer, and nothing is left", [] {
    CheckedNode node;
    const int events = *rc::gen::inRange(0, 150);
    for (int event = 0; event < events; ++event) {
      switch (*rc::gen::weightedElement<int>({{6, 0}, {6, 1}, {3, 2}, {1, 3}, {1, 4}, {2, 5}})) {
        case 0:
          node.Request();
          break;
        case 1:
          node.EndAttempt();
          break;
        case 2:
          node.AnswerJournal();
          break;
        case 3:
          node.ChangeMap();
          break;
        case 4:
          node.LeaveCaller();
          break;
        default:
          node.Pass(Duration(*rc::gen::inRange(1, 300'000)));
      }
    }
    node.Finish();
  });
  cr_assert(holds);
}
