#include "src/control/gateway_directory.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace graniteseam::control {
namespace {

/// A gateway that has not polled for this long is removed: four poll intervals.
constexpr Duration kRetention{2'000'000};
/// A new leader publishes no list before: by then every gateway has polled it. A partial list would
/// make the first gateways take over the servers of all others.
constexpr Duration kDiscoveryTime{2'000'000};
constexpr Duration kCheckInterval{100'000};
/// A check that comes later than this shows that the leader itself stood still, and could not
/// receive polls. Checks are caused by polls, which a single gateway sends every 500 ms; and a
/// shorter stall removes nobody, since everybody has polled within 500 ms before it.
constexpr Duration kOwnStall{1'400'000};
/// Changes kept for gateways that are behind; one that is further behind is sent the whole list.
constexpr std::size_t kChangesMaximum = 256;
constexpr std::size_t kGatewaysMaximum = 16'384;
constexpr double kWeightMaximum = 1e6;

/// The longest "ip:port" of an IPv6 address.
constexpr std::size_t kAddressBytesMaximum = 64;

bool IsUsable(const traffic::TrafficPoll& poll) {
  return !poll.peer_address.empty() && poll.peer_address.size() <= kAddressBytesMaximum &&
         std::isfinite(poll.peer_weight) && poll.peer_weight > 0 &&
         poll.peer_weight <= kWeightMaximum;
}

}  // namespace

void GatewayDirectory::RecordPoll(const traffic::TrafficPoll& poll, Instant now) {
  RemoveSilent(now);
  const auto known = gateways_.find(poll.router);
  if (!IsUsable(poll)) {
    if (known == gateways_.end()) return;
    gateways_.erase(known);
    return NoteChange(poll.router);
  }
  const bool takes_requests = poll.caller_address.size() <= kAddressBytesMaximum;
  const traffic::GatewayPeer peer{poll.router, poll.peer_address, poll.zone, poll.peer_weight,
                                  takes_requests ? poll.caller_address : std::string()};
  if (known != gateways_.end()) {
    known->second.last_poll = now;
    if (known->second.peer == peer) return;
    known->second.peer = peer;
    return NoteChange(poll.router);
  }
  if (gateways_.size() >= kGatewaysMaximum) return;
  gateways_[poll.router] = {peer, now};
  NoteChange(poll.router);
}

void GatewayDirectory::NoteChange(const RouterId& gateway) {
  changes_.push_back({++number_, gateway});
  if (changes_.size() > kChangesMaximum) changes_.pop_front();
}

void GatewayDirectory::RemoveSilent(Instant now) {
  const Duration passed = now - checked_at_;
  if (passed < kCheckInterval) return;
  checked_at_ = now;
  if (passed > kOwnStall) {
    for (auto& [id, gateway] : gateways_) gateway.last_poll += passed;
  }
  for (auto entry = gateways_.begin(); entry != gateways_.end();) {
    if (now - entry->second.last_poll <= kRetention) {
      ++entry;
      continue;
    }
    NoteChange(entry->first);
    entry = gateways_.erase(entry);
  }
}

traffic::PeerUpdate GatewayDirectory::UpdateSince(const traffic::PeerVersion& known, Instant now) {
  traffic::PeerUpdate update;
  if (now - start_ < kDiscoveryTime || number_ == 0) return update;
  const traffic::PeerVersion current{term_.value, number_};
  if (known == current) return update;
  update.version = current;
  const bool has_changes = known.term == term_.value && known.number < number_ &&
                           !changes_.empty() && changes_.front().number <= known.number + 1;
  if (!has_changes || known.number == 0) {
    for (const auto& [id, gateway] : gateways_) update.changed.push_back(gateway.peer);
    return update;
  }
  update.base = known;
  std::set<RouterId> changed;
  for (const Change& change : changes_) {
    if (change.number > known.number) changed.insert(change.gateway);
  }
  for (const RouterId& id : changed) {
    const auto gateway = gateways_.find(id);
    if (gateway == gateways_.end()) {
      update.removed.push_back(id);
    } else {
      update.changed.push_back(gateway->second.peer);
    }
  }
  return update;
}

}  // namespace graniteseam::control
