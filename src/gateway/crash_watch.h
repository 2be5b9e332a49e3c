/// @file
/// Tracks requests under which servers crashed, and the list of suspects from control.
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

/// Reports lost attempts to control and refuses quarantined requests. One gateway sees one crash
/// among many servers; only the reports of all gateways together show that the same request was at
/// each of them. Each loss is reported several times, since the leader may change. The list of
/// suspects stays in force while the gateway is cut off from control.
///
/// Bounded; not thread safe; `now` must not decrease.
class CrashWatch {
 public:
  /// Replaces the list of suspects.
  auto set_suspects(std::vector<traffic::SuspectRequest> const& suspects) -> void;
  /// Whether servers crashed under this request so often that it is sent to none any more.
  auto is_quarantined(traffic::RequestDigest digest) const -> bool;

  /// Whether servers crashed under this request, and it may be the cause.
  auto is_suspect(traffic::RequestDigest digest) const -> bool {
    return m_suspects.contains(digest);
  }

  /// Records an attempt that was sent and ended without an answer.
  auto note_lost(traffic::RequestDigest digest, traffic::InstanceId const& instance,
                 Instant sent_at, Instant now) -> void;
  /// Records that an instance answered an attempt. It survived what was lost at it before, which
  /// must not crowd out the losses at instances that crashed.
  auto note_alive(traffic::InstanceId const& instance, Instant sent_at) -> void;
  /// Records that a server ran and answered a request. Also kept for requests that are not
  /// suspects: a frequent request may become a suspect only because it is always in flight
  /// somewhere.
  auto note_answered(traffic::RequestDigest digest, Instant now) -> void;

  /// Adds losses, and answers to suspects, to a poll.
  auto add_to_poll(traffic::TrafficPoll& poll, Instant now) -> void;

 private:
  struct Loss {
    traffic::RequestDigest digest;
    traffic::InstanceId instance;
    Instant sent_at{};
    Instant lost_at{};
    std::uint32_t reports = 0;  ///< Polls that included this loss.
  };
  using Answers = std::unordered_map<traffic::RequestDigest, Instant>;

  /// When a request was last answered here; nullopt when no such answer is kept.
  auto last_answer(traffic::RequestDigest digest) const -> std::optional<Instant>;

  std::deque<Loss> m_losses;                          ///< Oldest first.
  std::map<traffic::RequestDigest, bool> m_suspects;  ///< Whether each suspect is quarantined.
  Answers m_answers;                                  ///< Since `m_answers_since`.
  Answers m_earlier_answers;                          ///< Of the period before.
  Instant m_answers_since{};
};

}  // namespace graniteseam::gateway
