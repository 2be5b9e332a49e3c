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
/// A process that is later than this may have missed what came within a time limit of 300 ms, the
/// shortest by which servers are judged.
constexpr Duration kMaterialDelay{150'000};
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
  m_open[request] = {server, now, std::max(kOverdueMinimum, kOverdueFactor * expected)};
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

auto ServerReachability::note_delay(Duration delay, Instant now) -> void {
  if (delay >= kMaterialDelay) m_late_until = now;
}

auto ServerReachability::proves_failure(FailureCause cause, Instant begun) const -> bool {
  switch (cause) {
    case FailureCause::kConnection:
      return true;
    case FailureCause::kTimeout:
      return begun >= m_late_until;
    case FailureCause::kDelay:
      break;
  }
  return false;
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
  if (now - std::max(m_answered_at, m_late_until) < kOverdueMinimum) return false;
  std::set<traffic::InstanceId> overdue;
  for (auto const& [request, attempt] : m_open) {
    if (is_overdue(attempt, now)) overdue.insert(attempt.server);
    if (overdue.size() >= kSuspiciousServers) return true;
  }
  return false;
}

auto ServerReachability::is_overdue(OpenAttempt const& attempt, Instant now) const -> bool {
  return now >= std::max(attempt.sent_at, m_late_until) + attempt.overdue_after;
}

auto ServerReachability::begin_round(std::size_t servers, Instant now) -> std::uint32_t {
  m_next_round = now + (m_partitioned ? kRecoveryInterval : kSuspicionInterval);
  m_trials = m_open_trials = servers;
  m_reached = m_unproved = 0;
  m_round_begun = now;
  if (servers == 0) m_partitioned = false;
  return ++m_round;
}

auto ServerReachability::note_trial(std::uint32_t round, bool reached, Instant now,
                                    FailureCause cause) -> bool {
  if (round != m_round || m_open_trials == 0) return false;
  if (reached) {
    ++m_reached;
  } else if (!proves_failure(cause, m_round_begun)) {
    ++m_unproved;
  }
  if (--m_open_trials > 0) return false;
  auto const before = m_partitioned;
  auto const proved = verdict();
  m_partitioned = proved.value_or(before);
  auto const again_soon = m_partitioned || !proved;
  m_next_round = now + (again_soon ? kRecoveryInterval : kSuspicionInterval);
  if (proved == false) {
    m_unreached.clear();
    m_failing_since.reset();
  }
  return m_partitioned != before;
}

auto ServerReachability::verdict() const -> std::optional<bool> {
  auto const bound = m_partitioned ? kReachedAtEnd : kReachedAtBegin;
  auto const reached = static_cast<double>(m_reached);
  auto const is_cut = [&](std::size_t servers) {
    auto const part = reached / static_cast<double>(servers);
    return m_partitioned ? part < bound : part <= bound;
  };
  // Even if all that is unproved had failed.
  if (!is_cut(m_trials)) return false;
  auto const proved = m_trials - m_unproved;
  if (proved < kServersMinimum) return std::nullopt;
  return is_cut(proved);
}

auto ServerReachability::hangs(RequestNumber request, Instant now) const -> bool {
  auto const found = m_open.find(request);
  return found != m_open.end() && is_overdue(found->second, now) &&
         found->second.sent_at >= m_answered_at;
}

auto ServerReachability::next_check() const -> Instant {
  if (m_open_trials > 0) return Instant::max();
  if (m_partitioned) return m_next_round;
  return m_open.empty() ? Instant::max() : std::max(m_next_round, m_check_at);
}

}  // namespace graniteseam::gateway
