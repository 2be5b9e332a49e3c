// The event log neither blocks nor grows, whatever its reader does.
#include "src/runtime/event_log.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <string>

using graniteseam::runtime::EventLine;
using graniteseam::runtime::EventLog;
using graniteseam::runtime::EventWeight;

namespace {

struct Pipe {
  int ends[2] = {-1, -1};
  Pipe() { cr_assert(pipe(ends) == 0); }
};

}  // namespace

Test(event_log, writes_one_escaped_object_a_line) {
  Pipe pipe;
  {
    EventLog log("g-1", pipe.ends[1]);
    log.Write(EventWeight::kNotable,
              EventLine("refuse").Add("request", "a\"b\n").Add("status", std::int64_t{503}));
  }
  close(pipe.ends[1]);
  std::string text(4'096, '\0');
  text.resize(static_cast<std::size_t>(read(pipe.ends[0], text.data(), text.size())));
  cr_assert(text.ends_with("\"process\":\"g-1\",\"event\":\"refuse\",\"request\":\"a\\\"b\\n\","
                           "\"status\":503}\n"),
            "%s", text.c_str());
}

Test(event_log, reader_that_never_reads_costs_lines_and_blocks_nobody) {
  Pipe pipe;
  // Never destroyed: its writing thread hangs in the full pipe, as in a process whose reader
  // stalls.
  auto* const log = new EventLog("g-1", pipe.ends[1]);
  const std::string inputs(1'000, 'x');
  for (int line = 0; line < 20'000; ++line) {
    log->Write(EventWeight::kNotable, EventLine("send").Add("inputs", inputs));
  }
  // It came here, and said goodbye to most of what nobody read.
  cr_assert(log->dropped() > 10'000);
  _exit(0);
}
