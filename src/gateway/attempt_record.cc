#include "src/gateway/attempt_record.h"

#include <string_view>
#include <utility>

#include "src/gateway/retry_rules.h"

namespace graniteseam::gateway {

auto AttemptRecord::begin(traffic::InstanceId const& instance, Instant now) -> std::uint32_t {
  m_open = OpenAttempt{++m_newest, instance, now};
  return m_newest;
}

auto AttemptRecord::end(AttemptEnd end) -> OpenAttempt {
  ++m_ended[static_cast<std::size_t>(end)];
  return *std::exchange(m_open, std::nullopt);
}

auto AttemptRecord::abandon() -> OpenAttempt { return end(AttemptEnd::kLost); }

auto AttemptRecord::ended_may_have_run() const -> bool {
  for (std::size_t i = 0; i < kEnds; ++i) {
    if (m_ended[i] > 0 && may_have_run(static_cast<AttemptEnd>(i))) return true;
  }
  return false;
}

auto AttemptRecord::not_run() const -> std::optional<NotRunProof> {
  if (m_open || ended_may_have_run()) return std::nullopt;
  return NotRunProof();
}

auto AttemptRecord::describe() const -> std::string {
  std::string text;
  for (std::size_t i = 0; i < kEnds; ++i) {
    if (m_ended[i] == 0) continue;
    auto const name = std::string(EndName(static_cast<AttemptEnd>(i)));
    text += (text.empty() ? "" : ", ") + name + " " + std::to_string(m_ended[i]);
  }
  if (m_open) text += text.empty() ? "one open" : ", one open";
  return text.empty() ? "none" : text;
}

}  // namespace graniteseam::gateway
