/// @file
/// Which member of the group brings a router the state.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/consensus/raft_consensus.h"

namespace graniteseam::control {

/// A member of the router's own zone where there is one, so that the state crosses between zones
/// once a member and not once a router; the routers of a zone are spread over its members, and each
/// keeps its member as long as that is there, whichever others come and go. A member that is behind
/// for a moment, as most are while much is committed, stays one. The leader, which has the most to
/// do, is a feed only where a zone has no other. A router that says that its feed does not keep up
/// is named the next. Not thread safe; `now` never goes back.
class FeedSelector {
 public:
  /// Whether the members are to be told again.
  bool IsDue(Instant now) const { return now >= due_; }
  void Take(const consensus::Member& leader, const std::vector<consensus::PeerStatus>& peers,
            Instant now);

  /// @return the internal address of the router's feed.
  std::string SelectFeed(const RouterId& router, const ZoneName& zone, std::uint32_t tried) const;

 private:
  Instant due_{};
  std::string leader_;
  std::map<std::string, Instant> caught_up_at_;  ///< When members last had all that was committed.
  std::vector<std::string> all_;                 ///< Without the leader.
  std::map<ZoneName, std::vector<std::string>> by_zone_;
};

}  // namespace graniteseam::control
