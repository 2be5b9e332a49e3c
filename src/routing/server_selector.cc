#include "graniteseam/routing/server_selector.h"

#include <algorithm>
#include <cmath>

#include "src/routing/random.h"

namespace graniteseam::routing {

namespace {

/// Half of the time within which a draining server must stop getting new requests.
constexpr Duration kDrainGracePeriod{1'000'000};
constexpr double kLatencySmoothing = 0.1;
constexpr double kLatencyUnknownUs = 1'000.0;
constexpr std::uint64_t kAnswersForEstimate = 32;
/// Two choices suffice for equally fast servers. With a fifth of the servers slow, both of two
/// choices are slow for 4 in 100 requests; all of four are for fewer than 2 in 1,000.
constexpr int kChoices = 4;
constexpr int kSampleTries = 8;

bool Contains(const std::vector<ServerId>& servers, const ServerId& server) {
  return std::find(servers.begin(), servers.end(), server) != servers.end();
}

}  // namespace

ServerSelector::ServerSelector(SelectorOptions options, std::uint64_t seed)
    : options_(options), outliers_(options.outlier), random_(seed) {}

void ServerSelector::Update(const std::vector<const control::ServerEntry*>& servers,
                            std::uint32_t window_maximum, Instant now) {
  for (Server* server : order_) server->listed = false;
  order_.clear();
  for (const control::ServerEntry* entry : servers) Insert(*entry, window_maximum, now);
  std::vector<Server*> gone;
  for (const auto& [id, server] : servers_) {
    if (!server->listed) gone.push_back(server.get());
  }
  for (Server* server : gone) {
    outliers_.Remove(server->id);
    DropIfIdle(*server);
  }
}

void ServerSelector::Insert(const control::ServerEntry& entry, std::uint32_t window_maximum,
                            Instant now) {
  std::unique_ptr<Server>& server = servers_[entry.id];
  if (!server) {
    server = std::make_unique<Server>(entry.id, ++last_lane_, window_maximum);
    server->since = now;
    lanes_[server->lane] = server.get();
  }
  // A server first listed as draining may have started to drain long ago.
  if (!entry.accepts_new_work && server->listed_before && server->accepts_new_work) {
    server->drained_since = confirmed_at_;
  }
  server->listed_before = true;
  // A server that accepts work again after a drain or a lost lease gets a slow start again.
  if (entry.accepts_new_work && !server->accepts_new_work) server->since = now;
  server->listed = true;
  server->accepts_new_work = entry.accepts_new_work;
  server->address = entry.address;
  server->window.SetMaximum(window_maximum);
  if (server->hint != entry.load_hint) server->hint_at = now;
  server->hint = entry.load_hint;
  outliers_.Add(entry.id);
  order_.push_back(server.get());
}

bool ServerSelector::DrainedForLong(const ServerId& server, Instant now) const {
  const Server* found = Find(server);
  return found != nullptr && !found->accepts_new_work &&
         now - found->drained_since >= kDrainGracePeriod;
}

std::optional<ServerId> ServerSelector::Choose(const std::vector<ServerId>& avoided, Instant now) {
  if (order_.empty()) return std::nullopt;
  Server* best = nullptr;
  double best_score = 0.0;
  int seen = 0;
  for (int tries = 0; tries < kSampleTries && seen < kChoices; ++tries) {
    Server* server = order_[SplitMix64(random_) % order_.size()];
    if (server == best || !IsEligible(*server, now) || Contains(avoided, server->id)) continue;
    ++seen;
    const double score = Score(*server, now);
    if (best != nullptr && score >= best_score) continue;
    best = server;
    best_score = score;
  }
  if (seen < 2) {
    best = ChooseAmongAll(avoided, now);
    if (best == nullptr) best = ChooseAmongAll({}, now);
  }
  if (best == nullptr) return std::nullopt;
  return best->id;
}

ServerSelector::Server* ServerSelector::ChooseAmongAll(const std::vector<ServerId>& avoided,
                                                       Instant now) const {
  Server* best = nullptr;
  double best_score = 0.0;
  for (Server* server : order_) {
    if (!IsEligible(*server, now) || Contains(avoided, server->id)) continue;
    const double score = Score(*server, now);
    if (best != nullptr && score >= best_score) continue;
    best = server;
    best_score = score;
  }
  return best;
}

std::size_t ServerSelector::PoolAvailableSlots(Instant now) const {
  std::size_t room = 0;
  for (const Server* server : order_) {
    if (IsEligible(*server, now)) room += server->window.AvailableSlots(now);
  }
  return room;
}

std::size_t ServerSelector::AvailableSlotsAt(const ServerId& server, Instant now) const {
  const Server* found = Find(server);
  return found == nullptr ? 0 : found->window.AvailableSlots(now);
}

std::uint32_t ServerSelector::LaneOf(const ServerId& server) const {
  const Server* found = Find(server);
  return found == nullptr ? 0 : found->lane;
}

const ServerId* ServerSelector::ServerOfLane(std::uint32_t lane) const {
  const auto found = lanes_.find(lane);
  return found == lanes_.end() ? nullptr : &found->second->id;
}

bool ServerSelector::AcceptsNewWork(const ServerId& server) const {
  const Server* found = Find(server);
  return found != nullptr && found->listed && found->accepts_new_work;
}

const std::string& ServerSelector::AddressOf(const ServerId& server) const {
  static const std::string none;
  const Server* found = Find(server);
  return found == nullptr ? none : found->address;
}

void ServerSelector::Reserve(const ServerId& server) {
  if (Server* found = Find(server)) found->window.OnSent();
}

void ServerSelector::Unreserve(const ServerId& server) {
  Server* found = Find(server);
  if (found == nullptr) return;
  found->window.OnEnded();
  DropIfIdle(*found);
}

void ServerSelector::OnEnd(const ServerId& id, AttemptEnd end, int status, Duration latency,
                           Instant now) {
  Server* server = Find(id);
  if (server == nullptr) return;
  constexpr int kServerErrors = 500;
  switch (end) {
    case AttemptEnd::kAnswered:
      server->window.OnAnswered(latency, now);
      // An error answer arrives fast and gives no evidence of how long work takes.
      if (status >= kServerErrors) {
        outliers_.OnFailed(id, now);
      } else {
        UpdateLatency(*server, latency, now);
        outliers_.OnAnswered(id, latency, now);
      }
      break;
    case AttemptEnd::kShed:
      server->window.OnShed(now);
      break;
    case AttemptEnd::kNotOwner:
    case AttemptEnd::kDeadlinePassed:
      server->window.OnEnded();
      break;
    case AttemptEnd::kNotReady:
    case AttemptEnd::kNotSent:
    case AttemptEnd::kBroken:
    case AttemptEnd::kServerUnknown:
      server->window.OnEnded();
      if (outliers_.OnFailed(id, now)) server->since = outliers_.EjectedUntil(id);
      break;
  }
  DropIfIdle(*server);
}

double ServerSelector::Capacity() const {
  double capacity = 0.0;
  for (const Server* server : order_) {
    if (server->accepts_new_work) capacity += server->window.size();
  }
  return capacity;
}

std::optional<Duration> ServerSelector::SlowAnswerThreshold() const {
  if (answers_ < kAnswersForEstimate) return std::nullopt;
  return Duration(std::llround(latency_us_ + 4.0 * deviation_us_));
}

ServerSelector::Server* ServerSelector::Find(const ServerId& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? nullptr : found->second.get();
}

void ServerSelector::DropIfIdle(Server& server) {
  if (server.listed || server.window.in_flight() > 0) return;
  lanes_.erase(server.lane);
  servers_.erase(ServerId(server.id));
}

bool ServerSelector::IsEligible(const Server& server, Instant now) const {
  return server.accepts_new_work && server.window.AvailableSlots(now) > 0 &&
         !outliers_.Ejected(server.id, now);
}

double ServerSelector::Score(const Server& server, Instant now) const {
  const double latency = LatencyNow(server, now);
  const auto age = static_cast<double>((now - server.hint_at).count());
  const double fresh =
      std::max(0.0, 1.0 - age / static_cast<double>(options_.hint_lifetime.count()));
  const double hint = 1.0 + options_.hint_weight * fresh * std::clamp(server.hint, 0.0, 1.0);
  return (server.window.in_flight() + 1.0) * latency * hint /
         options_.slow_start.Weight(server.since, now);
}

double ServerSelector::LatencyWeight(const Server& server, Instant now) const {
  const auto age = static_cast<double>((now - server.latency_at).count());
  return std::exp2(-age / static_cast<double>(options_.latency_half_life.count()));
}

double ServerSelector::LatencyNow(const Server& server, Instant now) const {
  const double pool = latency_us_ > 0.0 ? latency_us_ : kLatencyUnknownUs;
  if (server.latency_us <= 0.0) return pool;
  return pool + (server.latency_us - pool) * LatencyWeight(server, now);
}

void ServerSelector::UpdateLatency(Server& server, Duration latency, Instant now) {
  const auto sample = static_cast<double>(latency.count());
  if (server.latency_us <= 0.0) {
    server.latency_us = sample;
  } else {
    // The older the estimate, the more weight the first new sample gets.
    const double weight = std::max(kLatencySmoothing, 1.0 - LatencyWeight(server, now));
    server.latency_us += weight * (sample - server.latency_us);
  }
  server.latency_at = now;
  if (answers_++ == 0) {
    latency_us_ = sample;
    deviation_us_ = sample / 2.0;
    return;
  }
  deviation_us_ += kLatencySmoothing * (std::abs(sample - latency_us_) - deviation_us_);
  latency_us_ += kLatencySmoothing * (sample - latency_us_);
}

}  // namespace graniteseam::routing
