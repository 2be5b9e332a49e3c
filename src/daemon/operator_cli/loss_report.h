/// @file
/// Counts by cause the late, refused and failed requests in gateways' event logs.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/daemon/operator_cli/loss_causes.h"

namespace graniteseam::operator_cli {

/// The requests lost by one cause.
struct CauseLosses {
  LossCause cause = LossCause::kOther;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  double share = 0;  ///< Of all requests, from 0 to 1.
  std::int64_t p50_us = 0;
  std::int64_t p99_us = 0;
};
BOOST_DESCRIBE_STRUCT(CauseLosses, (), (cause, late, refused, failed, share, p50_us, p99_us))

struct LossReport {
  std::uint64_t requests = 0;        ///< Sampled ones count with their factor.
  std::uint64_t without_target = 0;  ///< Of them: answered, and no line says their target latency.
  std::vector<CauseLosses> causes;   ///< In the order of LossCause, without empty ones.
  std::uint64_t unanswered = 0;      ///< Requests with lines, but without that of their answer.
  std::uint64_t unreadable = 0;      ///< Lines that hold no event, or an answer that can't be read.
  std::uint64_t dropped = 0;         ///< Lines that processes had to leave out.
};
BOOST_DESCRIBE_STRUCT(LossReport, (),
                      (requests, without_target, causes, unanswered, unreadable, dropped))

/// Reads logs line by line and keeps only what the report needs.
class LossCounter {
 public:
  /// Reads a gateway's log, one JSON object a line. Lines of other processes' events are passed
  /// over.
  auto read(std::istream& log) -> void;

  /// Whether any event was read.
  auto has_events() const -> bool { return m_has_events; }
  auto report() const -> LossReport;

 private:
  /// The lines of a request before that of its answer.
  struct OpenRequest {
    RequestFacts facts;
    std::optional<std::int64_t> slot_asked_at;
  };
  struct Losses {
    CauseLosses counts;
    std::vector<std::pair<std::int64_t, std::uint64_t>> times;  ///< Lost time, requests.
  };
  using RequestKey = std::pair<std::string, std::string>;  ///< Process, request.
  struct Line;

  auto add(Line& line) -> void;
  static auto add_decision(OpenRequest& request, Line const& line) -> void;
  static auto end_slot_wait(OpenRequest& request, std::int64_t at) -> void;
  auto add_answer(Line const& line) -> void;
  auto count(RequestFacts const& request, std::uint64_t requests) -> void;

  std::map<RequestKey, OpenRequest> m_open;
  std::map<LossCause, Losses> m_losses;
  std::uint64_t m_requests = 0;
  std::uint64_t m_without_target = 0;
  std::uint64_t m_unreadable = 0;
  std::uint64_t m_dropped = 0;
  bool m_has_events = false;
};

}  // namespace graniteseam::operator_cli
