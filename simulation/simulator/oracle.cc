#include "simulation/simulator/oracle.h"

#include <algorithm>

namespace graniteseam::simulation {

namespace {

/// Length of a router's lease (1 s) stretched by the drift bound: from then on a place that takes
/// traffic must show the newest version.
constexpr std::int64_t kInForceBound = 1'010'000;
/// After that long a leaving server gets no new work.
constexpr std::int64_t kDrainBound = 2'000'000;
constexpr std::size_t kViolationsMaximum = 20;

std::string Name(const std::string& service, std::uint32_t shard) {
  return service + "/" + std::to_string(shard);
}

}  // namespace

void Oracle::Violate(std::int64_t now, const std::string& what) {
  if (violations_.size() >= kViolationsMaximum) return;
  violations_.push_back(std::to_string(now) + " us: " + what);
}

void Oracle::OnOwnership(const std::string& server, const std::vector<HeldShard>& held,
                         std::int64_t until, std::int64_t now) {
  ++checks_;
  for (auto& [shard, holdings] : holdings_) {
    std::erase_if(holdings, [&](const Holding& holding) {
      return holding.server == server || holding.until <= now;
    });
  }
  if (until <= now) return;
  for (const HeldShard& shard : held) {
    auto& holdings = holdings_[{shard.service, shard.shard}];
    for (const Holding& other : holdings) {
      Violate(now, "two owners of " + Name(shard.service, shard.shard) + ": " + server +
                       " at epoch " + std::to_string(shard.epoch) + " and " + other.server +
                       " at epoch " + std::to_string(other.epoch));
    }
    holdings.push_back({server, shard.epoch, until});
  }
}

void Oracle::OnEffect(const std::string& server, const HeldShard& shard, std::int64_t now) {
  ++checks_;
  auto& [epoch, owner] = newest_effect_[{shard.service, shard.shard}];
  if (shard.epoch < epoch || (shard.epoch == epoch && owner != server)) {
    Violate(now, "an effect of " + server + " on " + Name(shard.service, shard.shard) +
                     " at epoch " + std::to_string(shard.epoch) + " after one of " + owner +
                     " at epoch " + std::to_string(epoch));
  }
  if (shard.epoch >= epoch) {
    epoch = shard.epoch;
    owner = server;
  }
}

void Oracle::OnOperationRun(const std::string& operation, std::uint64_t submission,
                            std::int64_t now) {
  ++checks_;
  ++operation_runs_;
  if (++runs_[operation] > 1) Violate(now, "operation " + operation + " ran twice");
  first_run_by_.try_emplace(operation, submission);
  const Submission& sent = submissions_[submission];
  if (sent.ended && sent.told == Told::kNotRun) {
    Violate(now, "operation " + operation + " ran after its caller was told not_run");
  }
}

void Oracle::OnSubmission(std::uint64_t submission, const std::string& operation) {
  submissions_[submission].operation = operation;
}

void Oracle::OnTold(std::uint64_t submission, Told told, const std::string& content,
                    std::int64_t now) {
  ++checks_;
  Submission& sent = submissions_[submission];
  if (sent.ended) Violate(now, "request " + std::to_string(submission) + " was answered twice");
  sent.ended = true;
  sent.told = told;
  const bool once = !sent.operation.empty();
  const std::string own = once ? sent.operation : std::to_string(submission);
  const bool has_content = told == Told::kAnswer || told == Told::kKept;
  if (has_content && content != own) {
    Violate(now, "request " + own + " got the answer of " + content);
  }
  if (!once) return;
  const auto ran = runs_.find(sent.operation);
  const bool has_run = ran != runs_.end() && ran->second > 0;
  if (has_content && !has_run) Violate(now, "operation " + own + " was answered and never ran");
  // The word is about this sending and all before it: another one that its caller sent since, while
  // it had no answer, may have run.
  const auto first = first_run_by_.find(sent.operation);
  const bool ran_by_then = first != first_run_by_.end() && first->second <= submission;
  if (told == Told::kNotRun && ran_by_then) {
    Violate(now, "operation " + own + " ran and its caller is told not_run");
  }
}

void Oracle::OnBundleAccepted(std::uint64_t version, const std::string& digest, bool rolled,
                              std::int64_t now) {
  ++checks_;
  const auto [known, inserted] = accepted_digests_.try_emplace(version, digest);
  if (!inserted && known->second != digest) {
    Violate(now, "version " + std::to_string(version) + " was accepted with two digests");
  }
  if (rolled) rolled_.try_emplace(version, now);
}

void Oracle::OnTraffic(const std::string& place, std::uint64_t version, std::int64_t now) {
  ++checks_;
  std::uint64_t& shown = version_at_place_[place];
  if (version < shown) {
    Violate(now, place + " went back from version " + std::to_string(shown) + " to " +
                     std::to_string(version));
  }
  shown = std::max(shown, version);
  for (auto newer = rolled_.upper_bound(version); newer != rolled_.end(); ++newer) {
    if (now <= newer->second + kInForceBound) continue;
    Violate(now, place + " takes traffic under version " + std::to_string(version) + " although " +
                     std::to_string(newer->first) + " was rolled at " +
                     std::to_string(newer->second));
    break;
  }
}

void Oracle::OnLeaderView(std::uint64_t version, std::int64_t now) {
  ++checks_;
  if (version < highest_rolled()) {
    Violate(now, "a leader has version " + std::to_string(version) + " in force although " +
                     std::to_string(highest_rolled()) + " was accepted");
  }
}

void Oracle::OnDrainAccepted(const std::string& server, bool draining, std::int64_t now) {
  if (draining) {
    draining_since_.try_emplace(server, now);
  } else {
    draining_since_.erase(server);
  }
}

void Oracle::OnWorkSent(const std::string& server, std::int64_t now) {
  ++checks_;
  const auto draining = draining_since_.find(server);
  if (draining == draining_since_.end() || now <= draining->second + kDrainBound) return;
  Violate(now, server + " got new work although it is drained since " +
                   std::to_string(draining->second));
}

}  // namespace graniteseam::simulation
