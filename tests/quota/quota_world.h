/// @file
/// A leader's ledger and many gateways' gates in virtual time, with messages that are late, lost
/// and out of order, leaders that change, and gateways that are cut off, stand still or start anew.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/control/quota_ledger.h"
#include "src/gateway/quota_gate.h"
#include "src/gateway/token_queue.h"

namespace graniteseam::quota_test {

struct WorldOptions {
  std::size_t gateways = 85;
  traffic::TenantQuota quota{20, 5};
  control::QuotaOptions options{std::chrono::seconds(5), 0.1, 20};
  bool faults = false;
  std::uint64_t seed = 1;
};

/// Where and when requests come: a gateway's index.
using Arrivals = std::function<std::vector<std::size_t>(Instant now, std::mt19937_64& random)>;

class QuotaWorld {
 public:
  static constexpr Duration kStep{5'000};

  explicit QuotaWorld(WorldOptions options);

  /// Plays on for a span; `arrivals` are asked for each step.
  void Play(Duration span, const Arrivals& arrivals);
  /// There is no leader for a span.
  void LoseLeader(Duration span);
  /// Another limit is in force from now on.
  void SetQuota(traffic::TenantQuota quota);

  std::size_t admitted() const { return admitted_.size(); }
  std::size_t refused() const { return refused_; }
  std::size_t messages() const { return messages_; }
  Instant now() const { return now_; }
  /// The most that was let in within any window from `from` on.
  std::size_t MostInWindow(Instant from = Instant{}) const;
  /// What the users allow in one window.
  static double Allowed(const WorldOptions& options);

 private:
  struct Gateway {
    std::unique_ptr<gateway::QuotaGate> gate;
    gateway::TokenQueue waiting;
    std::map<std::uint64_t, Instant> arrived;  ///< Of those that wait.
    std::uint64_t polls = 0;
    Instant next_poll{};
    Instant cut_until{};
    Instant still_until{};
    std::uint64_t life = 0;
  };

  void Start(Gateway& gateway);
  void Deliver(std::function<void()> message);
  void Poll(std::size_t index);
  void Ask(std::size_t index);
  void OnTokens(std::size_t index, const traffic::TokenAnswer& answer);
  void Arrive(std::size_t index);
  void Expire(Gateway& gateway);
  void Disturb();
  void ChangeLeader();
  gateway::TenantTable Tenants() const;
  bool Reachable(const Gateway& gateway) const { return now_ >= gateway.cut_until; }
  bool Stands(const Gateway& gateway) const { return now_ < gateway.still_until; }

  WorldOptions options_;
  std::mt19937_64 random_;
  Instant now_ = InstantFromMicros(1'000'000'000);
  std::vector<Gateway> gateways_;
  std::unique_ptr<control::QuotaLedger> ledger_;  ///< Null while there is no leader.
  std::uint64_t term_ = 1;
  Instant leader_back_{};
  std::uint64_t changed_at_ = 1;
  std::multimap<Instant, std::function<void()>> events_;
  std::vector<Instant> admitted_;
  std::size_t refused_ = 0;
  std::size_t messages_ = 0;
  std::uint64_t requests_ = 0;
};

}  // namespace graniteseam::quota_test
