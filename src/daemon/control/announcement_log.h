/// @file
/// Which announcements of processes outside the group are worth a line in the event log.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "graniteseam/common/time.h"
#include "graniteseam/consensus/types.h"

namespace graniteseam::daemon {

/// A line about an announcement.
struct AnnouncementNote {
  std::string what;     ///< "announces", "announcement_forwarded" or "announcement_received".
  std::string process;  ///< Address of the process that announces itself.
  std::string to;       ///< Addresses that it was sent to; empty at the receiver.
};

/// Turns announcements, which are repeated several times a second, into few lines: what this
/// process announces at most each few seconds, and another process once when it is first seen.
/// Thread safe.
class AnnouncementLog {
 public:
  explicit AnnouncementLog(ControlId self) : self_(self) {}

  /// Takes a message that is being sent.
  std::optional<AnnouncementNote> OnSent(const consensus::PeerMessage& message, Instant now);

  /// Takes a message that arrived while this process leads.
  std::optional<AnnouncementNote> OnReceived(const consensus::PeerMessage& message, Instant now);

 private:
  using Identity = std::pair<ControlId, DiskIncarnation>;

  /// @return whether the process was not seen for long.
  bool IsNew(std::map<Identity, Instant>& seen, const consensus::Member& process, Instant now);

  const ControlId self_;
  std::mutex mutex_;                       ///< Guards the members below.
  std::set<std::string> recipients_;       ///< Of this process's present round of announcements.
  std::optional<Instant> announced_at_;    ///< Of the last note "announces".
  std::map<Identity, Instant> forwarded_;  ///< When each process was last seen.
  std::map<Identity, Instant> received_;
};

}  // namespace graniteseam::daemon
