/// @file
/// What the load generator asks of a router in virtual time, and the simple way as a baseline.
#pragma once

#include <functional>
#include <memory>

#include "graniteseam/common/ids.h"
#include "testbed/virtual_fleet/virtual_pool.h"

namespace graniteseam::testbed {

struct VirtualRequest {
  GroupName group;
  Instant sent{};
  Instant deadline{};
};

/// What a caller was told.
enum class CallerOutcome { kAnswered, kFailed, kNotRun, kUnknown };

class VirtualRouter {
 public:
  using DoneHandler = std::function<void(CallerOutcome)>;

  virtual ~VirtualRouter() = default;
  /// Takes a request; the handler is called exactly once.
  virtual void Submit(const VirtualRequest& request, DoneHandler done) = 0;
};

/// The simple way: a random server for each attempt, no limit of any kind, and another attempt
/// after each failure until the deadline.
class SimpleRouter : public VirtualRouter {
 public:
  SimpleRouter(EventQueue& events, VirtualPool& pool, std::uint64_t seed);

  void Submit(const VirtualRequest& request, DoneHandler done) override;

 private:
  void TryAgain(const VirtualRequest& request, const DoneHandler& done);

  EventQueue& events_;
  VirtualPool& pool_;
  RandomSource random_;
};

}  // namespace graniteseam::testbed
