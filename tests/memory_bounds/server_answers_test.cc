// A router and servers whose answers do not end: it stays within its machine's memory and serves.
#include "tests/memory_bounds/served_fleet.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

/// Asks for an answer that does not end, and waits for what the router makes of it.
void AskFor(ServedFleet& fleet, const char* path) {
  testbed::HttpCaller caller;
  event_http::Request request;
  request.method = "GET";
  request.target = path;
  request.fields.Add("Host", "a.example");
  request.fields.Add(platform::RequestNames().attempt_id, "endless");
  request.fields.Add(platform::RequestNames().time_left_ms, "20000");
  constexpr Duration kLimit{60'000'000};
  const auto result = caller.Call(ToString(fleet.Router()), request, kLimit);
  cr_expect(result.end != event_http::CallEnd::kAnswered || result.response.status >= 500,
            "status %d", result.response.status);
}

}  // namespace

// An extension of a chunk was kept until its line ended.
Test(server_answers, chunk_extensions_without_end, .timeout = 180) {
  ServedFleet fleet;
  AskFor(fleet, kEndlessExtension);
  fleet.CheckRouter();
}

// Fields of trailers were kept without a bound.
Test(server_answers, trailers_without_end, .timeout = 180) {
  ServedFleet fleet;
  AskFor(fleet, kEndlessTrailer);
  fleet.CheckRouter();
}

Test(server_answers, heads_without_end, .timeout = 180) {
  ServedFleet fleet;
  AskFor(fleet, kEndlessHead);
  fleet.CheckRouter();
}

Test(server_answers, interim_answers_without_end, .timeout = 180) {
  ServedFleet fleet;
  AskFor(fleet, kEndlessInterim);
  fleet.CheckRouter();
}
