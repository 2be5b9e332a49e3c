/// @file
/// Settings for the management of key ranges, instances, quotas and the control group's membership.
#pragma once

#include <cstddef>

#include "graniteseam/common/time.h"

namespace graniteseam::control {

/// Timing of grants, releases and leases of key ranges.
struct RangeOptions {
  Duration hold{3'000'000};              ///< Length of a grant.
  Duration renewal_interval{1'000'000};  ///< Between two renewals of a grant.
  Duration grant_limit{400'000};         ///< Timeout of a grant order.
  Duration release_limit{3'000'000};     ///< Timeout of a release order, which is answered only
                                         ///< when the work in progress has ended.
  Duration retry_interval{150'000};      ///< Delay before a failed order is retried.
  /// Time from the decision of an order within which it is sent; after that it is dropped. A new
  /// leader waits this much longer, because the previous leader may have decided orders until the
  /// end of its lease. Must be longer than a leader needs to send orders to all owners at once.
  Duration order_send_timeout{500'000};
  Duration settling{1'500'000};            ///< Time in which instances may register before keys are
                                           ///< assigned for the first time.
  double clock_drift_bound = 0.02;         ///< Maximum relative rate by which an instance's clock
                                           ///< may run slow.
  Duration unresponsive_after{1'000'000};  ///< Duration of failing orders after which an owner is
                                           ///< considered unresponsive.
  Duration transit_slack{50'000};          ///< Network transit allowance added to the end of each
                                           ///< grant.
  /// Length of a lease by heartbeat. After an instance's crash its keys have no owner for this
  /// long. After the loss of a leader it takes up to 3 s until all instances have found the next
  /// one (a heartbeat interval, a call that times out after 1 s, an election), so the lease must
  /// outlast that, or live instances lose their keys. 2.5 s performs worse than 3 s, 4 s better;
  /// see docs/MEASURED-DECISIONS.md.
  Duration lease_length{4'000'000};
  /// Leases by heartbeat: time within which an instance must send a heartbeat for newly assigned
  /// keys. Covers two heartbeat intervals (0.9 s in current deployments) and a late heartbeat.
  Duration lease_pickup{2'000'000};
  /// Assigns no keys to instances that are warming up while others are available. A cold instance
  /// fails under a load that it can handle when warm, and all gateways send it the full load of its
  /// keys.
  bool excludes_warming_up = false;
  /// Time within which an instance accepts the answer to a heartbeat; it discards later answers.
  Duration answer_acceptance_window{1'200'000};
};

/// Limits on what tenants may send beyond their quotas in any window. Router shares are
/// recalculated within a window. The values are the users' requirements.
struct QuotaOptions {
  Duration window{5'000'000};
  double overshoot = 0;  ///< Allowed excess as a fraction of the quota of a window.
  double slack = 0;      ///< Allowed excess in requests.
};

/// Settings of the leader's traffic management.
struct TrafficOptions {
  QuotaOptions quotas;
  RangeOptions ranges;
  /// Requests per second that an owner of keys may get from all routers while it warms up; 0 for no
  /// bound. Half of it is granted, as routers give half of theirs to the instances of pools.
  double warm_up_requests_per_second = 0;
  /// Time without a heartbeat after which an instance is unreachable and gets no new work.
  Duration instance_timeout{4'000'000};
  /// Whether the driver reports when broadcasts have been sent. The next broadcast then waits for
  /// this report.
  bool reports_push_completion = false;
};

/// A member of the control group that answered within this time is reachable.
inline constexpr Duration kMemberReachableWithin{1'000'000};

/// Settings of the automatic repair of the control group's membership.
struct MembershipRepairOptions {
  bool enabled = false;
  std::size_t voters = 3;             ///< Target number of voters; further members are learners in
                                      ///< reserve.
  Duration replace_after{6'000'000};  ///< Time without an answer after which a learner replaces a
                                      ///< voter.
  /// Time without an answer after which a learner is removed.
  Duration remove_learner_after{30'000'000};
};

}  // namespace graniteseam::control
