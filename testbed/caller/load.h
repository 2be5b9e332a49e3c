/// @file
/// An open-loop load: many senders take requests from one source at the times of its schedule.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "testbed/caller/sender.h"
#include "testbed/caller/traffic.h"
#include "testbed/support/traffic_summary.h"

namespace graniteseam::testbed {

struct LoadOptions {
  std::vector<runtime::SocketAddress> routers;
  std::size_t senders = 64;
  Duration duration{10'000'000};
  ResendPolicy resend;
};

/// Runs a load and sums it up by service.
///
/// Latency counts from the time at which the schedule wanted a request sent, also when all senders
/// were busy then: a slow answer does not hide the requests that waited behind it (no coordinated
/// omission). Run() may be called once; the rest from any thread.
class Load {
 public:
  Load(LoadOptions options, TrafficSource source, RecordFile& records);

  /// Returns when every request due within the duration has its last answer.
  /// @param stop_asked polled; ends the schedule early.
  void Run(const std::function<bool()>& stop_asked);

  /// Sums by service; the empty name holds all.
  std::map<std::string, TrafficSummary> Summaries() const;
  /// Answers that were another request's, or not whole.
  std::uint64_t crossed() const;
  std::uint64_t torn() const;

 private:
  void RunSender(std::size_t number, const std::function<bool()>& stop_asked);
  std::optional<PlannedRequest> TakeRequest();
  void Count(const AnswerRecord& last);

  const LoadOptions options_;
  RecordFile& records_;
  Instant end_;
  std::mutex source_mutex_;  ///< Guards source_.
  TrafficSource source_;
  mutable std::mutex summary_mutex_;  ///< Guards what follows.
  std::map<std::string, TrafficSummary> summaries_;
  std::uint64_t crossed_ = 0;
  std::uint64_t torn_ = 0;
};

}  // namespace graniteseam::testbed
