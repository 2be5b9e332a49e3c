/// @file
/// Joins the event logs of several processes: what became of one request, and what the processes
/// believed when. docs/OPERATIONS.md shows its use.
#pragma once

#include <boost/describe/class.hpp>
#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace graniteseam::operator_cli {

/// One line of an event log.
struct LoggedEvent {
  std::int64_t wall_ms = 0;
  std::string process;
  std::string event;
  std::string request;        ///< Empty for changes of belief.
  std::int64_t after_us = 0;  ///< Since the gateway had read the request.
  std::string instance;
  std::string outcome;        ///< Of an answer or an order.
  std::string details;        ///< All further members, "name value, name value".
  std::uint64_t dropped = 0;  ///< Lines that are missing before this one.
};
BOOST_DESCRIBE_STRUCT(LoggedEvent, (),
                      (wall_ms, process, event, request, after_us, instance, outcome, details,
                       dropped))

struct ParsedLog {
  std::vector<LoggedEvent> events;
  std::uint64_t unreadable = 0;  ///< Lines that hold no event.
};

/// Adds the events of a log, one JSON object a line; what stands before an object, such as another
/// program's time stamp, is passed over.
auto parse_events(std::istream& log, ParsedLog& parsed) -> void;

/// What became of a request.
struct RequestStory {
  std::string request;
  std::string cause;                 ///< One sentence; says so where the logs do not tell.
  std::vector<LoggedEvent> events;   ///< Of the request, in order.
  std::vector<LoggedEvent> beliefs;  ///< Around it: of its gateway, and about its instances.
};
BOOST_DESCRIBE_STRUCT(RequestStory, (), (request, cause, events, beliefs))

auto story_of(std::span<LoggedEvent const> events, std::string_view request) -> RequestStory;

/// Changes of belief in the order of their times: lives, leaders, updates, orders that failed.
auto time_line(std::span<LoggedEvent const> events) -> std::vector<LoggedEvent>;

}  // namespace graniteseam::operator_cli
