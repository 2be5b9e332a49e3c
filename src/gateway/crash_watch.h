/// @file
/// What a gateway sees of requests that end their servers, and what control tells it of them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/traffic/suspect.h"
#include "graniteseam/traffic/update.h"

namespace graniteseam::gateway {

/// One gateway sees one end of a server among many; only together they see that the same request
/// was at all of them. So it tells control each loss, several times over since a leader may change,
/// and refuses what control found. What it was told stands while it is cut off from control.
///
/// Bounded; not thread safe; `now` never goes back.
class CrashWatch {
 public:
  /// Takes the whole list of suspects.
  auto take(std::vector<traffic::SuspectRequest> const& suspects) -> void;
  /// Whether servers ended under the same request so often that it goes to none any more.
  auto is_quarantined(traffic::RequestDigest digest) const -> bool;

  /// An attempt was sent and ended without an answer.
  auto note_lost(traffic::RequestDigest digest, traffic::InstanceId const& instance,
                 Instant sent_at, Instant now) -> void;
  /// A server ran a request and answered it. Remembered also when it is no suspect: what many
  /// callers ask for may become one only because it is always under way somewhere.
  auto note_answered(traffic::RequestDigest digest, Instant now) -> void;

  /// Adds to a poll what control should know.
  auto add_to_poll(traffic::TrafficPoll& poll, Instant now) -> void;

 private:
  struct Loss {
    traffic::RequestDigest digest;
    traffic::InstanceId instance;
    Instant sent_at{};
    Instant lost_at{};
    std::uint32_t told = 0;  ///< Polls that told of it.
  };
  using Answers = std::unordered_map<traffic::RequestDigest, Instant>;

  /// When a request was answered here last, as far as that is remembered.
  auto last_answer(traffic::RequestDigest digest) const -> std::optional<Instant>;

  std::deque<Loss> m_losses;                          ///< From the oldest on.
  std::map<traffic::RequestDigest, bool> m_suspects;  ///< With whether they are quarantined.
  Answers m_answers;                                  ///< Since `m_answers_since`.
  Answers m_earlier_answers;                          ///< Of the time before.
  Instant m_answers_since{};
};

}  // namespace graniteseam::gateway
