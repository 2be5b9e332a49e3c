// The event log's lines about requests: which are written, and the fields that tell the causes of a
// late or refused request apart.
#include "src/daemon/gateway/request_log.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <vector>

using namespace graniteseam;
using namespace graniteseam::daemon;

namespace {

constexpr Instant kReceived{Duration{5'000'000}};

EndedRequest Request(Duration taken) {
  EndedRequest request;
  request.id = "77";
  request.target = "/x";
  request.status = 200;
  request.outcome = "relayed";
  request.received = kReceived;
  request.taken = taken;
  request.connection_wait = Duration{40};
  request.first_sent = kReceived + Duration{90};
  request.summary.target_latency = Duration{800'000};
  request.summary.work_percent = 166.6;
  return request;
}

TimedNote Note(std::string_view what) {
  return {{gateway::RequestNumber{1}, what, {"i-1"}, "load 1.0 of 3"}, kReceived + Duration{80}};
}

/// The lines that requests leave, each with the same notes.
std::vector<std::string> LinesOf(const std::vector<EndedRequest>& requests,
                                 const std::vector<TimedNote>& notes) {
  char path[] = "/tmp/graniteseam-request-log-XXXXXX";
  const int descriptor = mkstemp(path);
  cr_assert(descriptor >= 0);
  {
    // Writes all its lines before it ends.
    runtime::EventLog events("g-1", descriptor);
    RequestLog log(events);
    for (const EndedRequest& request : requests) log.Write(request, notes);
  }
  std::vector<std::string> lines;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) lines.push_back(line);
  unlink(path);
  close(descriptor);
  return lines;
}

bool Has(const std::string& line, const std::string& text) {
  return line.find(text) != std::string::npos;
}

}  // namespace

// Guards against late requests of fast routes that only one in 64 leaves a trace of.
Test(request_log, late_requests_are_written_by_a_larger_sample_than_others) {
  const std::vector<EndedRequest> in_time(130, Request(Duration{800'000}));
  const auto sampled = LinesOf(in_time, {Note("send")});
  cr_assert(sampled.size() == 2 * 3, "%zu lines", sampled.size());
  for (const std::string& line : sampled) cr_assert(Has(line, "\"sampled\":64"));

  const std::vector<EndedRequest> late(17, Request(Duration{800'001}));
  const auto late_lines = LinesOf(late, {Note("send")});
  cr_assert(late_lines.size() == 2 * 3, "%zu lines", late_lines.size());
  for (const std::string& line : late_lines) cr_assert(Has(line, "\"sampled\":8"));
  cr_assert(Has(late_lines[1], "\"after_us\":800001"));

  EndedRequest returned = Request(Duration{300'000});
  returned.summary.age = Duration{500'001};
  cr_assert(LinesOf(std::vector<EndedRequest>(9, returned), {Note("send")}).size() == 4);

  // One that no route was found for has no target to be late against.
  EndedRequest unrouted = Request(Duration{900'000});
  unrouted.summary.target_latency = Duration{};
  cr_assert(LinesOf({unrouted, unrouted}, {Note("send")}).size() == 2);
}

// A coordinated request has three notes when all goes well; each was written in full.
Test(request_log, requests_that_got_a_slot_are_sampled_like_others) {
  const std::vector<EndedRequest> requests(65, Request(Duration{300'000}));
  const auto lines = LinesOf(requests, {Note("slot_asked"), Note("slot_granted"), Note("send")});
  cr_assert(lines.size() == 2 * 4, "%zu lines", lines.size());
  cr_assert(LinesOf({requests[0], requests[1]}, {Note("send"), Note("send")}).size() == 6,
            "A retry is written in full.");
}

// Guards against answer lines that tell where time was lost only in text for people.
Test(request_log, answer_line_tells_its_waits_target_age_and_the_servers_work_time) {
  EndedRequest request = Request(Duration{900'000});
  request.summary.age = Duration{70'000};
  const auto lines = LinesOf({request}, {Note("send")});
  cr_assert(lines.size() == 2);
  cr_assert(Has(lines[0], "\"event\":\"send\",\"request\":\"77\",\"after_us\":80,"));
  const std::string& answer = lines[1];
  for (const char* const field :
       {"\"event\":\"answer\"", "\"request\":\"77\"", "\"after_us\":900000", "\"status\":200",
        "\"outcome\":\"relayed\"", "\"target\":\"/x\"", "\"digest\":", "\"version\":0",
        "\"connection_wait_us\":40", "\"sent_after_us\":90", "\"target_us\":800000",
        "\"age_us\":70000", "\"work_percent\":167"}) {
    cr_assert(Has(answer, field), "%s is missing: %s", field, answer.c_str());
  }
}

Test(request_log, what_is_not_known_is_left_out) {
  EndedRequest request = Request(Duration{90});
  request.status = 503;
  request.outcome = "no_configuration";
  request.first_sent.reset();
  request.summary = {};
  const auto lines = LinesOf({request}, {});
  cr_assert(lines.size() == 1);
  for (const char* const field : {"sent_after_us", "target_us", "work_percent", "sampled"}) {
    cr_assert(!Has(lines[0], field), "%s", lines[0].c_str());
  }
  cr_assert(Has(lines[0], "\"age_us\":0"));
}
