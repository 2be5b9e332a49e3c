/// @file
/// Tunables of a control group's care for key ranges, instances and its own membership.
#pragma once

#include <cstddef>

#include "graniteseam/common/time.h"

namespace graniteseam::control {

struct RangeOptions {
  Duration hold{3'000'000};              ///< Length of a grant.
  Duration renewal_interval{1'000'000};  ///< Between two renewals of a grant.
  Duration grant_limit{400'000};         ///< How long a grant's answer is awaited.
  Duration release_limit{3'000'000};     ///< The same of a release, which waits for work to end.
  Duration retry_interval{150'000};      ///< After an order that failed.
  /// From an order's decision until it is sent, or not at all. A new leader waits for so much
  /// longer, since a former one may have decided orders until its lease was over. Longer than a
  /// leader takes to send the orders to all owners at once.
  Duration order_send_timeout{500'000};
  Duration settling{1'500'000};            ///< Of registrations before keys are first given out.
  double clock_drift_bound = 0.02;         ///< By which an instance's clock may run slow.
  Duration unresponsive_after{1'000'000};  ///< Of orders that failed, to give up on an owner.
  Duration transit_slack{50'000};          ///< Added to the end of each grant.
  /// Length of a lease by heartbeat. An instance's crash leaves its keys without an owner for as
  /// long; a leader's loss takes up to 3 s until all instances have found the next one (a
  /// heartbeat's interval, a call that is not answered for a second, an election). Measured: 2.5 s
  /// is worse than 3 s, 4 s is better; docs/MEASURED-DECISIONS.md.
  Duration lease_length{4'000'000};
  /// By heartbeat: within this an instance comes for keys that were assigned to it. Two intervals
  /// of heartbeats (0.9 s on the deployments so far) and some time for one that is late.
  Duration lease_pickup{2'000'000};
  /// Gives no keys to an instance that warms up, as long as there are others: it falls over under a
  /// load that it bears when warm, and all gateways send it what its keys get.
  bool excludes_warming_up = false;
  /// Within this an instance takes the answer to a heartbeat; one that comes later is not used.
  Duration answer_acceptance_window{1'200'000};
};

/// What tenants may send beyond their quotas in any window: the shares that routers have are worked
/// out within it. The users' bounds.
struct QuotaOptions {
  Duration window{5'000'000};
  double overshoot = 0;  ///< Part of what the quota allows in a window.
  double slack = 0;      ///< Requests.
};

struct TrafficOptions {
  QuotaOptions quotas;
  RangeOptions ranges;
  /// An instance that sent no heartbeat for so long gets nothing new.
  Duration instance_timeout{4'000'000};
  /// The driver tells when pushes have left the process, and the next ones wait for it.
  bool reports_push_completion = false;
};

struct MembershipRepairOptions {
  bool enabled = false;
  std::size_t voters = 3;             ///< Wanted; more machines are learners in reserve.
  Duration replace_after{6'000'000};  ///< Silence after which a reserve takes a voter's place.
  Duration remove_learner_after{30'000'000};
};

}  // namespace graniteseam::control
