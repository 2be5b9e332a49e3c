#include "src/traffic/instance_table.h"

#include <algorithm>

namespace graniteseam::traffic {
namespace {

/// Tombstones of instances that are gone; the oldest beyond this are forgotten.
constexpr std::size_t kTombstonesMaximum = 4'096;

}  // namespace

std::optional<Instance> InstanceTable::Changed(const InstanceReport& report) const {
  const Instance* known = Find(report.id);
  Instance next;
  next.report = report;
  next.state = report.draining ? InstanceState::kDraining : InstanceState::kReady;
  if (known == nullptr) return next;
  // The sequence alone does not tell a late heartbeat: those that changed nothing were not kept.
  const bool late = report.sequence <= known->report.sequence;
  if (known->state == InstanceState::kDeregistered || late) return std::nullopt;
  const bool displaced = known->state == InstanceState::kDisplaced;
  if (displaced && HolderOf(report.address) != nullptr) {
    // It stays what it is; only that it drains must not be forgotten.
    if (!report.draining || known->report.draining) return std::nullopt;
    next.state = InstanceState::kDisplaced;
    return next;
  }
  next.report.draining = report.draining || known->report.draining;
  if (next.report.draining) next.state = InstanceState::kDraining;
  // Warm-up and sequence change with every heartbeat and tell nothing new.
  InstanceReport same = next.report;
  same.sequence = known->report.sequence;
  same.warmup_left_ms = known->report.warmup_left_ms;
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
  if (next->state == InstanceState::kDisplaced) {
    next->changed_at = changed_at_ = log_index;
    instances_[report.id] = *next;
    return changed;
  }
  const Instance* holder = HolderOf(report.address);
  if (holder != nullptr && holder->report.id != report.id) {
    // An address belongs to one process at a time: whoever held it before has ended.
    Instance& displaced = instances_.at(holder->report.id);
    displaced.state = InstanceState::kDisplaced;
    displaced.changed_at = log_index;
    changed.push_back(displaced.report.id);
  }
  if (const Instance* known = Find(report.id)) ForgetHolder(known->report);
  next->changed_at = log_index;
  instances_[report.id] = *next;
  holders_[report.address] = report.id;
  changed_at_ = log_index;
  ForgetOldTombstones();
  return changed;
}

bool InstanceTable::Deregister(const InstanceId& id, std::uint64_t log_index) {
  Instance& instance = instances_[id];
  if (instance.state == InstanceState::kDeregistered) return false;
  ForgetHolder(instance.report);
  instance.report.id = id;
  instance.state = InstanceState::kDeregistered;
  instance.changed_at = log_index;
  changed_at_ = log_index;
  ForgetOldTombstones();
  return true;
}

const Instance* InstanceTable::Find(const InstanceId& id) const {
  const auto found = instances_.find(id);
  return found == instances_.end() ? nullptr : &found->second;
}

const Instance* InstanceTable::HolderOf(const std::string& address) const {
  const auto found = holders_.find(address);
  return found == holders_.end() ? nullptr : Find(found->second);
}

void InstanceTable::ForgetHolder(const InstanceReport& report) {
  const auto holder = holders_.find(report.address);
  if (holder != holders_.end() && holder->second == report.id) holders_.erase(holder);
}

void InstanceTable::ForgetOldTombstones() {
  std::vector<const Instance*> gone;
  for (const auto& [id, instance] : instances_) {
    if (instance.Gone()) gone.push_back(&instance);
  }
  if (gone.size() <= kTombstonesMaximum) return;
  const auto oldest = std::min_element(
      gone.begin(), gone.end(),
      [](const Instance* a, const Instance* b) { return a->changed_at < b->changed_at; });
  const InstanceId forgotten = (*oldest)->report.id;
  instances_.erase(forgotten);
}

void InstanceTable::AddChanges(std::uint64_t base, std::vector<Instance>& changed) const {
  for (const auto& [id, instance] : instances_) {
    if (instance.changed_at <= base || (base == 0 && instance.Gone())) continue;
    Instance& told = changed.emplace_back(instance);
    told.report.release.clear();
    told.report.sequence = 0;
  }
}

std::vector<Instance> InstanceTable::Image() const {
  std::vector<Instance> image;
  for (const auto& [id, instance] : instances_) image.push_back(instance);
  return image;
}

void InstanceTable::Restore(const std::vector<Instance>& image) {
  instances_.clear();
  holders_.clear();
  changed_at_ = 0;
  for (const Instance& instance : image) {
    instances_[instance.report.id] = instance;
    if (!instance.Gone()) holders_[instance.report.address] = instance.report.id;
    changed_at_ = std::max(changed_at_, instance.changed_at);
  }
}

}  // namespace graniteseam::traffic
