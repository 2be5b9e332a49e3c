/// @file
/// The control side that routers of a pooled service need, in virtual time: a bundle, a map that
/// names the pool's servers with what they say of their load, and allotments by the shipped
/// allotter.
#pragma once

#include <vector>

#include "graniteseam/admission/allotter.h"
#include "graniteseam/control/router_messages.h"
#include "testbed/virtual_fleet/virtual_pool.h"

namespace graniteseam::testbed {

/// Not thread safe. Queue and pool must outlive it.
class VirtualControl {
 public:
  VirtualControl(EventQueue& events, const VirtualPool& pool, const std::vector<GroupName>& groups);

  control::RouterRenewalAnswer Answer(const control::RouterRenewal& renewal);

 private:
  control::MapUpdate WholeMap() const;
  void TakeReport(const control::RouterRenewal& renewal);

  EventQueue& events_;
  const VirtualPool& pool_;
  bundle::Bundle bundle_;
  std::uint64_t map_version_ = 1;
  control::MapUpdate map_;
  admission::Allotter allotter_;
};

}  // namespace graniteseam::testbed
