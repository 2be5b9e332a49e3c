/// @file
/// Selects the group member whose state feed a router subscribes to.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/consensus/raft_consensus.h"

namespace graniteseam::control {

/// Prefers members of the router's own zone, so that the state crosses zones once per member
/// instead of once per router. The routers of a zone are spread over its members, and each keeps
/// its member while that is available, whichever others come and go. A member that lags
/// temporarily, as most do during heavy commits, remains eligible. The leader has the highest load
/// and is selected only for a zone without another member. A router that reports that its feed lags
/// gets the next member. Not thread safe; `now` must not decrease.
class FeedSelector {
 public:
  /// Whether Take() should be called again.
  bool IsDue(Instant now) const { return now >= due_; }
  /// Updates the eligible members.
  void Take(const consensus::Member& leader, const std::vector<consensus::PeerStatus>& peers,
            Instant now);

  /// @param tried number of feeds that the router has already given up.
  /// @return the internal address of the router's feed.
  std::string SelectFeed(const RouterId& router, const ZoneName& zone, std::uint32_t tried) const;

 private:
  Instant due_{};
  std::string leader_;
  std::map<std::string, Instant> caught_up_at_;  ///< When each member last had all committed
                                                 ///< entries.
  std::vector<std::string> all_;                 ///< Eligible members except the leader.
  std::map<ZoneName, std::vector<std::string>> by_zone_;
};

}  // namespace graniteseam::control
