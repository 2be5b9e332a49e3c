#include "src/gateway/crash_watch.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace graniteseam::gateway {
namespace {

/// Losses are reported for as long as control counts them.
constexpr Duration kLossKept{60'000'000};
constexpr std::size_t kLossesMaximum = 128;
/// Consecutive polls that report a loss: a poll may be lost with its connection.
constexpr std::uint32_t kConsecutiveReports = 4;
/// After those, one poll in this many repeats the loss, in case the leader is new: every 2 s.
constexpr std::uint64_t kPollsPerRepeat = 4;
/// Losses in one poll, newest first; about 50 bytes each.
constexpr std::size_t kReportedMaximum = 16;
/// Answers are kept for one to two of these periods, or up to twice this number of them; about 40
/// bytes each.
constexpr Duration kAnswersKept{30'000'000};
constexpr std::size_t kAnswersMaximum = 8'192;

auto ms_between(Instant earlier, Instant later) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(later - earlier).count();
}

}  // namespace

auto CrashWatch::set_suspects(std::vector<traffic::SuspectRequest> const& suspects) -> void {
  m_suspects.clear();
  for (auto const& suspect : suspects) m_suspects[suspect.digest] = suspect.Quarantined();
}

auto CrashWatch::is_quarantined(traffic::RequestDigest digest) const -> bool {
  auto const found = m_suspects.find(digest);
  return found != m_suspects.end() && found->second;
}

auto CrashWatch::note_lost(traffic::RequestDigest digest, traffic::InstanceId const& instance,
                           Instant sent_at, Instant now) -> void {
  if (digest.value == 0) return;
  m_losses.push_back({digest, instance, sent_at, now, 0});
  if (m_losses.size() > kLossesMaximum) m_losses.pop_front();
}

auto CrashWatch::note_alive(traffic::InstanceId const& instance, Instant sent_at) -> void {
  std::erase_if(m_losses, [&](Loss const& loss) {
    return loss.lost_at <= sent_at && loss.instance == instance;
  });
}

auto CrashWatch::note_answered(traffic::RequestDigest digest, Instant now) -> void {
  if (now - m_answers_since > kAnswersKept || m_answers.size() >= kAnswersMaximum) {
    m_earlier_answers = std::exchange(m_answers, {});
    m_answers_since = now;
  }
  m_answers[digest] = now;
}

auto CrashWatch::last_answer(traffic::RequestDigest digest) const -> std::optional<Instant> {
  for (auto const* const answers : {&m_answers, &m_earlier_answers}) {
    auto const found = answers->find(digest);
    if (found != answers->end()) return found->second;
  }
  return std::nullopt;
}

auto CrashWatch::add_to_poll(traffic::TrafficPoll& poll, Instant now) -> void {
  while (!m_losses.empty() && now - m_losses.front().lost_at > kLossKept) m_losses.pop_front();
  auto const repeats_all = poll.sequence % kPollsPerRepeat == 0;
  for (auto loss = m_losses.rbegin(); loss != m_losses.rend(); ++loss) {
    if (poll.losses.size() >= kReportedMaximum) break;
    if (loss->reports >= kConsecutiveReports && !repeats_all) continue;
    ++loss->reports;
    poll.losses.push_back({loss->digest, loss->instance, ms_between(loss->sent_at, now),
                           ms_between(loss->lost_at, now)});
  }
  for (auto const& [digest, quarantined] : m_suspects) {
    auto const answered = last_answer(digest);
    if (answered) poll.answered.push_back({digest, ms_between(*answered, now)});
  }
}

}  // namespace graniteseam::gateway
