/// @file
/// The event log: one JSON object a line on standard output for each decision, for programs that
/// join the lines of several processes. docs/operations/logs-and-metrics.md lists the events.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "graniteseam/common/time.h"

namespace graniteseam::runtime {

/// Builds one event's line: {"event":"...", ...}. Values are escaped.
class EventLine {
 public:
  explicit EventLine(std::string_view event);

  EventLine& Add(std::string_view key, std::string_view value);
  EventLine& Add(std::string_view key, const char* value) {
    return Add(key, std::string_view(value));
  }
  EventLine& Add(std::string_view key, std::int64_t value);
  EventLine& Add(std::string_view key, std::uint64_t value);

  /// The finished object.
  std::string Text() const { return text_ + "}"; }

 private:
  void Key(std::string_view key);

  std::string text_;
};

/// How much is lost when a line is not written.
enum class EventWeight {
  kOrdinary,  ///< One of many alike.
  kNotable,   ///< A failure, or a change of what the process believes.
  kVital,     ///< Who leads, starts and ends: few, and what a timeline begins with.
};

/// Writes events without ever blocking its callers: a queue of bounded length stands between them
/// and a thread that writes. When the reader of the output stalls, the oldest lines in the queue
/// are dropped; when a process has too much to tell, ordinary lines beyond a rate are dropped
/// first, then notable ones; vital ones are not. How many were dropped is told by the next line
/// that gets through. Thread safe.
class EventLog {
 public:
  /// @param process the name under which its lines stand.
  /// @param descriptor where lines go; standard output in programs.
  EventLog(const std::string& process, int descriptor);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void Write(EventWeight weight, const EventLine& line);
  /// Lines that were not written so far.
  std::uint64_t dropped() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniteseam::runtime
