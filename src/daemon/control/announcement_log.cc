#include "src/daemon/control/announcement_log.h"

#include <utility>
#include <variant>

namespace graniteseam::daemon {
namespace {

constexpr Duration kOwnNoteInterval{5'000'000};
/// A process that was silent for longer is noted again.
constexpr Duration kForgottenAfter{60'000'000};
/// Processes remembered; beyond them, further ones are not noted.
constexpr std::size_t kProcessesMaximum = 64;

std::string Join(const std::set<std::string>& texts) {
  std::string joined;
  for (const std::string& text : texts) joined += (joined.empty() ? "" : " ") + text;
  return joined;
}

}  // namespace

std::optional<AnnouncementNote> AnnouncementLog::OnSent(const consensus::PeerMessage& message,
                                                        Instant now) {
  if (!std::holds_alternative<consensus::Announcement>(message.payload)) return std::nullopt;
  const std::lock_guard lock(mutex_);
  if (message.from.id != self_) {
    if (!IsNew(forwarded_, message.from, now)) return std::nullopt;
    return AnnouncementNote{"announcement_forwarded", message.from.address, message.to.address};
  }
  // The first recipient a second time: the round before it is complete.
  if (recipients_.insert(message.to.address).second) return std::nullopt;
  const std::set<std::string> round = std::exchange(recipients_, {message.to.address});
  if (announced_at_ && now - *announced_at_ < kOwnNoteInterval) return std::nullopt;
  announced_at_ = now;
  return AnnouncementNote{"announces", message.from.address, Join(round)};
}

std::optional<AnnouncementNote> AnnouncementLog::OnReceived(const consensus::PeerMessage& message,
                                                            Instant now) {
  if (!std::holds_alternative<consensus::Announcement>(message.payload)) return std::nullopt;
  const std::lock_guard lock(mutex_);
  if (!IsNew(received_, message.from, now)) return std::nullopt;
  return AnnouncementNote{"announcement_received", message.from.address, ""};
}

bool AnnouncementLog::IsNew(std::map<Identity, Instant>& seen, const consensus::Member& process,
                            Instant now) {
  std::erase_if(seen, [&](const auto& entry) { return now - entry.second >= kForgottenAfter; });
  const Identity identity{process.id, process.disk};
  const auto known = seen.find(identity);
  if (known != seen.end()) {
    known->second = now;
    return false;
  }
  if (seen.size() >= kProcessesMaximum) return false;
  seen.emplace(identity, now);
  return true;
}

}  // namespace graniteseam::daemon
