#include "simulation/pool_world/noisy_pool.h"

#include <algorithm>
#include <cmath>

namespace graniteseam::simulation {
namespace {

using gateway::ArrivedRequest;
using gateway::AttemptEnd;
using gateway::AttemptReport;
using gateway::GatewayEffect;
using gateway::GatewayEffects;
using gateway::GatewayNode;
using gateway::GatewayOptions;
using gateway::ProbeInstance;
using gateway::ProbeReport;
using gateway::ReportedLoad;
using gateway::RequestNumber;
using gateway::SendAttempt;

constexpr Instant kBegin = InstantFromMicros(1'000'000'000);
constexpr Duration kNotCounted{1'000'000};
const ServiceName kPool{"pool"};

class World {
 public:
  World(const NoisyPool& pool, std::uint64_t seed) : pool_(pool), random_(seed) {
    const traffic::TrafficUpdate state = State();
    for (std::uint32_t number = 0; number < pool_.gateways; ++number) {
      GatewayOptions options;
      options.id = {"g-" + std::to_string(number)};
      options.backends.zone = {"z"};
      options.probes.per_request = pool_.probes_per_request;
      options.gateways_assumed = pool_.gateways;
      gateways_.push_back(std::make_unique<GatewayNode>(options, seed + number));
      CarryOut(number, gateways_.back()->OnUpdate(state, now_));
    }
    servers_.resize(pool_.servers);
  }

  PoolOutcome Play(Duration length) {
    const Instant end = kBegin + length;
    At(kBegin, [this, end] { Arrive(end); });
    At(kBegin, [this, end] { ChangeNoise(end); });
    while (!events_.empty()) {
      const auto first = events_.begin();
      now_ = first->first;
      const auto run = std::move(first->second);
      events_.erase(first);
      run();
    }
    return outcome_;
  }

 private:
  struct Work {
    std::uint32_t gateway = 0;
    RequestNumber request;
    std::uint32_t attempt = 0;
  };
  struct Server {
    bool noisy = false;
    std::int64_t running = 0;
    std::deque<Work> waiting;
  };

  traffic::TrafficUpdate State() const {
    traffic::TrafficUpdate update;
    update.version = 1;
    update.configuration = {1};
    traffic::Route route;
    route.name = {"r"};
    route.host = "a.example";
    route.path_prefix = "/";
    route.timeout_ms = 5'000;
    route.target_latency_ms = pool_.target_ms;
    route.attempts_maximum = 2;
    route.split = {{kPool, 100}};
    update.routes = {route};
    traffic::Service service;
    service.name = kPool;
    service.health_path = "/health";
    update.services = {service};
    for (std::uint32_t number = 0; number < pool_.servers; ++number) {
      traffic::Instance& instance = update.instances.emplace_back();
      instance.report.id = {std::to_string(number)};
      instance.report.service = kPool;
      instance.report.zone = {"z"};
      instance.report.slots = pool_.slots;
    }
    return update;
  }

  void At(Instant when, std::function<void()> run) { events_.emplace(when, std::move(run)); }

  double WorkOf(std::size_t server) const {
    return pool_.speeds[server % pool_.speeds.size()] *
           (servers_[server].noisy ? pool_.noise : 1.0);
  }

  ReportedLoad LoadOf(std::size_t server) const {
    ReportedLoad load;
    load.running = static_cast<double>(servers_[server].running);
    load.waiting = static_cast<double>(servers_[server].waiting.size());
    load.slots = static_cast<double>(pool_.slots);
    if (pool_.tells_work) load.work_percent = 100 * WorkOf(server);
    return load;
  }

  void ChangeNoise(Instant end) {
    std::bernoulli_distribution noisy(pool_.noisy_part);
    for (Server& server : servers_) server.noisy = noisy(random_);
    const Instant next = now_ + pool_.noise_stands;
    if (next < end) At(next, [this, end] { ChangeNoise(end); });
  }

  void Arrive(Instant end) {
    std::exponential_distribution<double> gap(pool_.requests_per_second);
    const Instant next = now_ + Duration(std::llround(1e6 * gap(random_)));
    if (next < end) At(next, [this, end] { Arrive(end); });
    const auto gateway = static_cast<std::uint32_t>(random_() % pool_.gateways);
    ArrivedRequest arrived;
    arrived.number = {++numbers_};
    arrived.host = "a.example";
    arrived.path = "/x";
    arrived.time_left = std::chrono::seconds(3);
    arrived_[arrived.number] = now_;
    if (now_ - kBegin >= kNotCounted) ++outcome_.requests;
    CarryOut(gateway, gateways_[gateway]->OnRequest(arrived, now_));
  }

  void CarryOut(std::uint32_t gateway, const GatewayEffects& effects) {
    for (const GatewayEffect& action : effects.actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        const std::size_t server = std::stoul(send->instance.value);
        const Work work{gateway, send->request, send->attempt};
        At(now_ + pool_.one_way, [this, server, work] { Take(server, work); });
      } else if (const auto* probe = std::get_if<ProbeInstance>(&action)) {
        outcome_.most_probes_open = std::max(outcome_.most_probes_open, ++probes_open_);
        ++outcome_.probes;
        At(now_ + pool_.one_way, [this, gateway, probe = *probe] { Tell(gateway, probe); });
      }
    }
    const Instant tick = gateways_[gateway]->NextTick();
    if (tick == Instant::max()) return;
    At(std::max(tick, now_), [this, gateway] {
      if (gateways_[gateway]->NextTick() <= now_) CarryOut(gateway, gateways_[gateway]->Tick(now_));
    });
  }

  void Tell(std::uint32_t gateway, const ProbeInstance& probe) {
    ProbeReport report;
    report.request = probe.request;
    report.round = probe.round;
    report.instance = probe.instance;
    report.load = LoadOf(std::stoul(probe.instance.value));
    report.taken = 2 * pool_.one_way;
    At(now_ + pool_.one_way, [this, gateway, report] {
      --probes_open_;
      CarryOut(gateway, gateways_[gateway]->OnProbeEnd(report, now_));
    });
  }

  void Take(std::size_t server, const Work& work) {
    Server& at = servers_[server];
    if (at.running < pool_.slots) return Run(server, work);
    if (at.waiting.size() >= pool_.queue) return Answer(server, work, AttemptEnd::kNotExecuted);
    at.waiting.push_back(work);
  }

  void Run(std::size_t server, const Work& work) {
    ++servers_[server].running;
    const double spread = pool_.work_spread;
    std::lognormal_distribution<double> factor(-spread * spread / 2, spread);
    const double ms = pool_.work_ms * WorkOf(server) * factor(random_);
    At(now_ + Duration(std::llround(ms * 1000)), [this, server, work] {
      --servers_[server].running;
      Answer(server, work, AttemptEnd::kAnswered);
      if (servers_[server].waiting.empty()) return;
      const Work next = servers_[server].waiting.front();
      servers_[server].waiting.pop_front();
      Run(server, next);
    });
  }

  void Answer(std::size_t server, const Work& work, AttemptEnd end) {
    AttemptReport report;
    report.request = work.request;
    report.attempt = work.attempt;
    report.end = end;
    report.status = end == AttemptEnd::kAnswered ? 200 : 503;
    report.load = LoadOf(server);
    At(now_ + pool_.one_way, [this, work, report] {
      const Instant arrived = arrived_.at(work.request);
      const bool counted = arrived - kBegin >= kNotCounted;
      const bool soon = now_ - arrived <= std::chrono::milliseconds(pool_.target_ms);
      if (counted && soon && report.end == AttemptEnd::kAnswered) ++outcome_.in_time;
      CarryOut(work.gateway, gateways_[work.gateway]->OnAttemptEnd(report, now_));
    });
  }

  const NoisyPool pool_;
  std::mt19937_64 random_;
  Instant now_ = kBegin;
  std::multimap<Instant, std::function<void()>> events_;
  std::vector<std::unique_ptr<GatewayNode>> gateways_;
  std::vector<Server> servers_;
  std::map<RequestNumber, Instant> arrived_;
  std::uint64_t numbers_ = 0;
  std::uint64_t probes_open_ = 0;
  PoolOutcome outcome_;
};

}  // namespace

PoolOutcome PlayPool(const NoisyPool& pool, Duration length, std::uint64_t seed) {
  return World(pool, seed).Play(length);
}

}  // namespace graniteseam::simulation
