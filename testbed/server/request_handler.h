/// @file
/// Runs callers' requests as docs/interface/servers.md asks.
#pragma once

#include <httplib.h>

#include <atomic>
#include <mutex>
#include <random>
#include <string>

#include "graniteseam/lease/grant.h"
#include "testbed/server/options.h"
#include "testbed/server/ownership.h"
#include "testbed/server/slots.h"

namespace graniteseam::testbed {

/// Checks ownership, deadline and capacity, works for a while, makes the effect durable, answers.
/// Thread safe.
class RequestHandler {
 public:
  RequestHandler(const ServerOptions& options, Ownership& ownership, Instant started);

  void Handle(const httplib::Request& request, httplib::Response& response);

  /// From now on refuses all requests as not run.
  void Close() { closed_ = true; }
  /// Microseconds of CLOCK_BOOTTIME at the last request's arrival.
  Instant last_arrival() const { return InstantFromMicros(last_arrival_us_.load()); }
  const Slots& slots() const { return slots_; }
  bool Cold(Instant now) const { return now < started_ + options_.cold_start; }

 private:
  /// One request as its headers describe it.
  struct Call {
    const lease::ShardGrant* grant = nullptr;
    Instant deadline;
    RunRecord run;
    std::size_t padding = 0;
  };

  void RunInSlot(const Call& call, const httplib::Request& request, httplib::Response& response);
  Duration DrawWork(Instant now);

  const ServerOptions options_;
  Ownership& ownership_;
  const Instant started_;
  Slots slots_;
  std::atomic<bool> closed_ = false;
  std::atomic<std::int64_t> last_arrival_us_ = 0;
  std::mutex random_mutex_;  ///< Guards random_.
  std::mt19937_64 random_;
};

}  // namespace graniteseam::testbed
