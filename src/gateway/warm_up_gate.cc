#include "src/gateway/warm_up_gate.h"

#include <xxhash.h>

#include <algorithm>

#include "graniteseam/common/duration_text.h"

namespace graniteseam::gateway {
namespace {

/// The part of the bound in use; the rest is kept for gateways that still follow earlier places.
constexpr double kUsedPart = 0.5;

auto users_for(double requests_per_second) -> std::uint32_t {
  if (requests_per_second <= 0) return 0;
  return std::max(1U, static_cast<std::uint32_t>(requests_per_second * kUsedPart));
}

}  // namespace

WarmUpGate::WarmUpGate(double requests_per_second) : m_users(users_for(requests_per_second)) {}

auto WarmUpGate::set_place(GatewayPlace place, Instant polled_at, Instant now) -> void {
  m_polled_at = std::max(m_polled_at, polled_at);
  if (place == m_place) return;
  m_place = place;
  m_place_changed_at = now;
}

auto WarmUpGate::describe_place(Instant now) const -> std::string {
  if (m_place.count == 0) return "no place";
  return "place " + std::to_string(m_place.place) + " of " + std::to_string(m_place.count) +
         " for " + InMs(now - m_place_changed_at);
}

auto WarmUpGate::is_place_valid(Instant now) const -> bool {
  return m_place.count > 0 && now - m_place_changed_at >= kPlaceLifetime &&
         now - m_polled_at < kPlaceLifetime;
}

auto WarmUpGate::is_user_of(traffic::InstanceId const& instance) const -> bool {
  auto const hash = XXH3_64bits(instance.value.data(), instance.value.size());
  auto const first = static_cast<std::uint32_t>(hash % m_place.count);
  auto const behind_first = (m_place.place + m_place.count - first) % m_place.count;
  return behind_first < m_users;
}

auto WarmUpGate::admits(traffic::InstanceId const& instance, Instant now) const -> bool {
  if (!is_bounded()) return true;
  if (!is_place_valid(now) || !is_user_of(instance)) return false;
  auto const sent = m_sent.find(instance);
  return sent == m_sent.end() || now - sent->second >= kSpacing;
}

auto WarmUpGate::note_sent(traffic::InstanceId const& instance, Instant now) -> void {
  if (!is_bounded()) return;
  std::erase_if(m_sent, [now](auto const& entry) { return now - entry.second >= kSpacing; });
  m_sent[instance] = now;
}

}  // namespace graniteseam::gateway
