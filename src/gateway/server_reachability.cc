#include "src/gateway/server_reachability.h"

#include <algorithm>
#include <set>

namespace graniteseam::gateway {
namespace {

/// Distinct servers that must fail before a round begins.
constexpr std::size_t kSuspiciousServers = 2;
/// How long a failed connection counts.
constexpr Duration kFailureMemory{1'000'000};
/// A request is overdue after this, or this many times the usual latency of its server.
constexpr Duration kOverdueMinimum{400'000};
constexpr int kOverdueFactor = 3;
constexpr Duration kCheckInterval{200'000};
/// How long failures are withheld from control without a partition being found.
constexpr Duration kSuspicionMaximum{1'500'000};
/// Between two rounds while servers count as reached, and while they do not.
constexpr Duration kSuspicionInterval{1'000'000};
constexpr Duration kRecoveryInterval{250'000};
/// Of the servers tried: a partition begins when at most the first part is reached and ends when at
/// least the second part is.
constexpr double kReachedAtBegin = 0.2;
constexpr double kReachedAtEnd = 0.4;

auto is_answer(AttemptEnd end) -> bool {
  return end == AttemptEnd::kAnswered || end == AttemptEnd::kNotExecuted;
}

}  // namespace

auto ServerReachability::note_sent(RequestNumber request, traffic::InstanceId const& server,
                                   Duration expected, Instant now) -> void {
  if (m_open.empty()) m_check_at = now + kCheckInterval;
  m_open[request] = {server, now, now + std::max(kOverdueMinimum, kOverdueFactor * expected)};
}

auto ServerReachability::note_end(RequestNumber request, traffic::InstanceId const& server,
                                  AttemptEnd end, Instant now) -> void {
  m_open.erase(request);
  if (is_answer(end)) {
    m_answered_at = now;
    m_failing_since.reset();
    m_unreached.erase(server);
  } else if (end == AttemptEnd::kNotSent) {
    if (!m_failing_since) m_failing_since = now;
    m_unreached[server] = now;
  }
}

auto ServerReachability::is_suspected(Instant now) const -> bool {
  if (m_partitioned || m_open_trials > 0) return true;
  return m_failing_since && now - *m_failing_since < kSuspicionMaximum;
}

auto ServerReachability::needs_round(Instant now) -> bool {
  if (now >= m_check_at) m_check_at = now + kCheckInterval;
  if (m_open_trials > 0 || now < m_next_round) return false;
  if (m_partitioned) return true;
  std::erase_if(m_unreached, [now](auto const& it) { return now - it.second > kFailureMemory; });
  return m_unreached.size() >= kSuspiciousServers || is_silent(now);
}

auto ServerReachability::is_silent(Instant now) const -> bool {
  if (now - m_answered_at < kOverdueMinimum) return false;
  std::set<traffic::InstanceId> overdue;
  for (auto const& [request, attempt] : m_open) {
    if (now >= attempt.overdue_at) overdue.insert(attempt.server);
    if (overdue.size() >= kSuspiciousServers) return true;
  }
  return false;
}

auto ServerReachability::begin_round(std::size_t servers, Instant now) -> std::uint32_t {
  m_next_round = now + (m_partitioned ? kRecoveryInterval : kSuspicionInterval);
  m_trials = m_open_trials = servers;
  m_reached = 0;
  if (servers == 0) m_partitioned = false;
  return ++m_round;
}

auto ServerReachability::note_trial(std::uint32_t round, bool reached, Instant now) -> bool {
  if (round != m_round || m_open_trials == 0) return false;
  if (reached) ++m_reached;
  if (--m_open_trials > 0) return false;
  auto const part = static_cast<double>(m_reached) / static_cast<double>(m_trials);
  auto const before = m_partitioned;
  m_partitioned = before ? part < kReachedAtEnd : part <= kReachedAtBegin;
  m_next_round = now + (m_partitioned ? kRecoveryInterval : kSuspicionInterval);
  if (!m_partitioned) {
    m_unreached.clear();
    m_failing_since.reset();
  }
  return m_partitioned != before;
}

auto ServerReachability::hangs(RequestNumber request, Instant now) const -> bool {
  auto const found = m_open.find(request);
  return found != m_open.end() && now >= found->second.overdue_at &&
         found->second.sent_at >= m_answered_at;
}

auto ServerReachability::next_check() const -> Instant {
  if (m_open_trials > 0) return Instant::max();
  if (m_partitioned) return m_next_round;
  return m_open.empty() ? Instant::max() : std::max(m_next_round, m_check_at);
}

}  // namespace graniteseam::gateway
