#include "src/traffic/instance_table.h"

#include <algorithm>
#include <charconv>

namespace graniteseam::traffic {
namespace {

/// Number of tombstones kept; beyond it the oldest are evicted.
constexpr std::size_t kTombstonesMaximum = 4'096;
/// How long an instance counts as warming up after the undrain of its zone, in ms. It may
/// have gone cold while it was idle; its next heartbeats report the actual value.
constexpr std::int64_t kUndrainWarmupMs = 3'000;

}  // namespace

InstanceId MakeInstanceId(std::string_view name, std::int64_t started_at_ms) {
  InstanceId id{std::string(name)};
  if (started_at_ms > 0) id.value += kStartTimeSeparator + std::to_string(started_at_ms);
  return id;
}

std::string_view ServerNameOf(const InstanceId& id) {
  return std::string_view(id.value).substr(0, id.value.find(kStartTimeSeparator));
}

std::int64_t StartTimeMsOf(const InstanceId& id) {
  const std::size_t separator = id.value.find(kStartTimeSeparator);
  if (separator == std::string::npos) return 0;
  std::int64_t started_at_ms = 0;
  const char* const end = id.value.data() + id.value.size();
  std::from_chars(id.value.data() + separator + 1, end, started_at_ms);
  return started_at_ms;
}

InstanceState InstanceTable::StateOf(const InstanceReport& report) const {
  if (report.draining) return InstanceState::kDraining;
  return drained_zones_.contains(report.zone) ? InstanceState::kZoneDrained : InstanceState::kReady;
}

Instance InstanceTable::NewInstance(const InstanceReport& report) const {
  Instance first;
  first.report = report;
  first.state = StateOf(report);
  const Instance* const newest = NewestIncarnation(report.id);
  // An incarnation older than the newest one: its heartbeat is late.
  if (newest != nullptr && StartTimeMsOf(report.id) < StartTimeMsOf(newest->report.id)) {
    first.state = InstanceState::kDisplaced;
  }
  // The server name was deregistered before any incarnation registered, which means this one.
  const Instance* const tombstone = Find({std::string(ServerNameOf(report.id))});
  const bool ended = tombstone != nullptr && tombstone->state == InstanceState::kDeregistered;
  if (ended && newest == nullptr) first.state = InstanceState::kDeregistered;
  return first;
}

std::optional<Instance> InstanceTable::Changed(const InstanceReport& report) const {
  const Instance* known = Find(report.id);
  if (known == nullptr) return NewInstance(report);
  Instance next;
  next.report = report;
  next.state = StateOf(report);
  // The sequence identifies only some late heartbeats: those without changes were not stored.
  const bool late = report.sequence <= known->report.sequence;
  if (known->state == InstanceState::kDeregistered || late) return std::nullopt;
  const bool displaced = known->state == InstanceState::kDisplaced;
  if (displaced && FindByAddress(report.address) != nullptr) {
    // It stays displaced; only the draining flag must be kept.
    if (!report.draining || known->report.draining) return std::nullopt;
    next.state = InstanceState::kDisplaced;
    return next;
  }
  next.report.draining = report.draining || known->report.draining;
  if (next.report.draining) next.state = InstanceState::kDraining;
  // The sequence and the remaining warm-up time change with every heartbeat, so they are ignored;
  // whether the instance is warming up at all counts as a change.
  InstanceReport same = next.report;
  same.sequence = known->report.sequence;
  const bool warms_up = same.warmup_left_ms > 0;
  if (warms_up == known->IsWarmingUp()) same.warmup_left_ms = known->report.warmup_left_ms;
  if (next.state == known->state && same == known->report) return std::nullopt;
  return next;
}

bool InstanceTable::WouldChange(const InstanceReport& report) const {
  const Instance* const known = Find(report.id);
  const bool displaced = known != nullptr && known->state == InstanceState::kDisplaced;
  const bool tells_of_drain = displaced && report.draining && !known->report.draining;
  if (displaced && !tells_of_drain) return false;
  return Changed(report).has_value();
}

std::vector<InstanceId> InstanceTable::Report(const InstanceReport& report,
                                              std::uint64_t log_index) {
  std::optional<Instance> next = Changed(report);
  if (!next) return {};
  std::vector<InstanceId> changed{report.id};
  if (next->IsGone()) {
    next->changed_at = changed_at_ = log_index;
    instances_[report.id] = *next;
    RecordIncarnation(report.id);
    return changed;
  }
  // An address belongs to one process at a time and a server name to one incarnation, so previous
  // holders have ended.
  Displace(FindByAddress(report.address), report.id, log_index, changed);
  Displace(NewestIncarnation(report.id), report.id, log_index, changed);
  RecordIncarnation(report.id);
  if (const Instance* known = Find(report.id)) RemoveFromAddressIndex(known->report);
  next->changed_at = log_index;
  instances_[report.id] = *next;
  instances_by_address_[report.address] = report.id;
  changed_at_ = log_index;
  EvictOldestTombstone();
  return changed;
}

void InstanceTable::Displace(const Instance* former, const InstanceId& successor,
                             std::uint64_t log_index, std::vector<InstanceId>& changed) {
  if (former == nullptr || former->IsGone() || former->report.id == successor) return;
  Instance& displaced = instances_.at(former->report.id);
  RemoveFromAddressIndex(displaced.report);
  displaced.state = InstanceState::kDisplaced;
  displaced.changed_at = log_index;
  changed.push_back(displaced.report.id);
}

bool InstanceTable::ReverseDisplacement(const InstanceId& displaced, const InstanceId& successor,
                                        std::uint64_t log_index) {
  const auto returning = instances_.find(displaced);
  const Instance* const latter = Find(successor);
  if (returning == instances_.end() || latter == nullptr) return false;
  Instance& instance = returning->second;
  const bool reversible =
      instance.state == InstanceState::kDisplaced && latter->state != InstanceState::kDisplaced;
  const Instance* const holder = FindByAddress(instance.report.address);
  if (!reversible || (holder != nullptr && holder != latter)) return false;
  std::vector<InstanceId> changed;
  Displace(latter, displaced, log_index, changed);
  instance.state = StateOf(instance.report);
  instance.changed_at = log_index;
  instances_by_address_[instance.report.address] = displaced;
  changed_at_ = log_index;
  return true;
}

void InstanceTable::RecordIncarnation(const InstanceId& id) {
  const std::int64_t started_at_ms = StartTimeMsOf(id);
  if (started_at_ms == 0) return;
  InstanceId& newest =
      newest_incarnations_.try_emplace(std::string(ServerNameOf(id)), id).first->second;
  if (started_at_ms > StartTimeMsOf(newest)) newest = id;
}

const Instance* InstanceTable::NewestIncarnation(const InstanceId& id) const {
  const auto found = newest_incarnations_.find(std::string(ServerNameOf(id)));
  return found == newest_incarnations_.end() ? nullptr : Find(found->second);
}

bool InstanceTable::DrainZone(const ZoneName& zone, bool drained, std::uint64_t log_index) {
  const bool changes =
      drained ? drained_zones_.insert(zone).second : drained_zones_.erase(zone) > 0;
  if (!changes) return false;
  changed_at_ = log_index;
  for (auto& [id, instance] : instances_) {
    if (instance.report.zone != zone || instance.IsGone() || instance.report.draining) continue;
    instance.state = StateOf(instance.report);
    if (!drained) instance.report.warmup_left_ms = kUndrainWarmupMs;
    instance.changed_at = log_index;
  }
  return true;
}

bool InstanceTable::WouldDrainLastReadyZone(const ZoneName& zone) const {
  bool any = false;
  for (const auto& [id, instance] : instances_) {
    if (!instance.AcceptsNewWork()) continue;
    if (instance.report.zone != zone) return false;
    any = true;
  }
  return any;
}

bool InstanceTable::Deregister(const InstanceId& id, std::uint64_t log_index) {
  const Instance* const newest = NewestIncarnation(id);
  const bool by_name = newest != nullptr && StartTimeMsOf(id) == 0;
  const InstanceId target = by_name ? newest->report.id : id;
  Instance& instance = instances_[target];
  if (instance.state == InstanceState::kDeregistered) return false;
  RemoveFromAddressIndex(instance.report);
  instance.report.id = target;
  instance.state = InstanceState::kDeregistered;
  instance.changed_at = log_index;
  changed_at_ = log_index;
  EvictOldestTombstone();
  return true;
}

const Instance* InstanceTable::Find(const InstanceId& id) const {
  const auto found = instances_.find(id);
  return found == instances_.end() ? nullptr : &found->second;
}

const Instance* InstanceTable::FindByAddress(const std::string& address) const {
  const auto found = instances_by_address_.find(address);
  return found == instances_by_address_.end() ? nullptr : Find(found->second);
}

void InstanceTable::RemoveFromAddressIndex(const InstanceReport& report) {
  const auto holder = instances_by_address_.find(report.address);
  if (holder != instances_by_address_.end() && holder->second == report.id)
    instances_by_address_.erase(holder);
}

void InstanceTable::EvictOldestTombstone() {
  std::vector<const Instance*> gone;
  for (const auto& [id, instance] : instances_) {
    if (instance.IsGone()) gone.push_back(&instance);
  }
  if (gone.size() <= kTombstonesMaximum) return;
  const auto oldest = std::min_element(
      gone.begin(), gone.end(),
      [](const Instance* a, const Instance* b) { return a->changed_at < b->changed_at; });
  const InstanceId evicted = (*oldest)->report.id;
  instances_.erase(evicted);
  const auto newest = newest_incarnations_.find(std::string(ServerNameOf(evicted)));
  if (newest != newest_incarnations_.end() && newest->second == evicted)
    newest_incarnations_.erase(newest);
}

void InstanceTable::AddChanges(std::uint64_t base, std::vector<Instance>& changed) const {
  for (const auto& [id, instance] : instances_) {
    if (instance.changed_at <= base || (base == 0 && instance.IsGone())) continue;
    Instance& sent = changed.emplace_back(instance);
    sent.report.release.clear();
    sent.report.sequence = 0;
  }
}

std::vector<Instance> InstanceTable::Image() const {
  std::vector<Instance> image;
  for (const auto& [id, instance] : instances_) image.push_back(instance);
  return image;
}

void InstanceTable::Restore(const std::vector<Instance>& image) {
  instances_.clear();
  instances_by_address_.clear();
  newest_incarnations_.clear();
  drained_zones_.clear();
  changed_at_ = 0;
  for (const Instance& instance : image) {
    instances_[instance.report.id] = instance;
    RecordIncarnation(instance.report.id);
    if (!instance.IsGone()) instances_by_address_[instance.report.address] = instance.report.id;
    changed_at_ = std::max(changed_at_, instance.changed_at);
  }
}

}  // namespace graniteseam::traffic
