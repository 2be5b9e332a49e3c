#include "src/gateway/hot_key_gate.h"

namespace graniteseam::gateway {

auto HotKeyGate::update_hot_keys(std::vector<traffic::HotKey> const& hot_keys, Instant now)
    -> void {
  std::uniform_real_distribution<double> initial_credit(0, 1);
  for (auto const& hot : hot_keys) {
    auto& gates = m_gates[hot.service];
    if (hot.admitted >= 1) {
      gates.erase(hot.key);
      continue;
    }
    auto const [gate, fresh] = gates.try_emplace(hot.key);
    // Equal initial credits would make all gateways admit their first requests together.
    if (fresh) gate->second.credit = initial_credit(m_random);
    gate->second.admitted = hot.admitted;
    gate->second.reported_at = now;
  }
}

auto HotKeyGate::is_hot(ServiceName const& service, std::uint32_t key, Instant now) -> bool {
  auto const gates = m_gates.find(service);
  if (gates == m_gates.end()) return false;
  auto const found = gates->second.find(key);
  if (found == gates->second.end()) return false;
  auto const lapsed = now - found->second.reported_at > kReportLifetime;
  if (lapsed) gates->second.erase(found);
  return !lapsed;
}

auto HotKeyGate::admits(ServiceName const& service, std::uint32_t key) -> bool {
  auto& gate = m_gates.at(service).at(key);
  gate.credit += gate.admitted;
  if (gate.credit < 1) return false;
  gate.credit -= 1;
  return true;
}

}  // namespace graniteseam::gateway
