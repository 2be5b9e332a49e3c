/// @file
/// A fleet that serves: a configuration in force, a server behind it, and the texts of clients.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "tests/memory_bounds/crowd.h"
#include "tests/memory_bounds/fleet.h"
#include "tests/memory_bounds/plain_server.h"

namespace graniteseam::test {

inline constexpr std::size_t kBodyBytesMaximum = std::size_t{64} << 20;
/// Sent by each client of a crowd that sends without end.
inline constexpr std::size_t kSentByEach = std::size_t{16} << 20;

/// Routes to one service for requests that may take a minute.
inline std::string ServedConfiguration() {
  using nlohmann::json;
  const json route = {
      {"name", "all"},  {"host", "a.example"},   {"path_prefix", "/"},
      {"kind", "safe"}, {"timeout_ms", 60'000},  {"target_latency_ms", 500},
      {"priority", 1},  {"attempts_maximum", 2}, {"service", PlainServer::kService}};
  return json{{"version", 1},
              {"routes", {route}},
              {"services", {{{"name", PlainServer::kService}}}},
              {"limits",
               {{"header_bytes_maximum", 16'384},
                {"body_bytes_maximum", kBodyBytesMaximum},
                {"header_timeout_ms", 3'000},
                {"idle_timeout_ms", 15'000}}}}
      .dump();
}

struct ServedFleet : Fleet {
  ServedFleet() : server({ToString(Control(1)), ToString(Control(2)), ToString(Control(3))}) {
    cr_assert(Operate("PUT", ServedConfiguration(), 0).status == 200);
    AwaitServed("/x");
  }

  /// That the router lives within its machine, and serves.
  void CheckRouter() {
    cr_expect(RouterRuns());
    AwaitServed("/x");
    const long peak = RouterPeakKib();
    cr_expect(peak <= KibOf(kRouterMemoryMb), "the router held %ld KiB", peak);
    cr_expect(RouterDescriptors() <= kDescriptorsMaximum);
  }

  /// The same of the control processes, and that they accept changes.
  void CheckControls() {
    cr_expect(ControlsRun());
    cr_expect(Operate("GET", "", 0).status == 200);
    AwaitServed("/x");
    const long peak = ControlPeakKib();
    cr_expect(peak <= KibOf(kControlMemoryMb), "a control process held %ld KiB", peak);
    cr_expect(ControlDescriptors() <= kDescriptorsMaximum);
  }

  PlainServer server;
};

/// The head of a request with a body, for a router or a control process.
/// @param framing a Content-Length or Transfer-Encoding field.
inline std::string HeadOfUpload(const std::string& framing) {
  return "PUT /upload HTTP/1.1\r\nHost: a.example\r\n" + platform::RequestNames().attempt_id +
         ": upload\r\n" + platform::RequestNames().time_left_ms + ": 60000\r\n" + framing +
         "\r\n\r\n";
}
inline std::string HeadOfChunkedUpload() { return HeadOfUpload("Transfer-Encoding: chunked"); }
inline std::string HeadOfSizedUpload(std::size_t bytes) {
  return HeadOfUpload("Content-Length: " + std::to_string(bytes));
}

/// A head within the limits of configurations, of fields that are as short as they may be.
inline std::string HeadOfShortFields() {
  constexpr std::size_t kHeadBytes = 16'200;
  std::string head = HeadOfSizedUpload(100);
  head.resize(head.size() - 2);
  while (head.size() < kHeadBytes) head += "a:\r\n";
  return head + "\r\n";
}

/// One chunk with its framing.
inline std::string Chunk(std::size_t bytes) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
  return size + std::string(bytes, 'x') + "\r\n";
}

inline std::string TrailerField() { return "X-Trailer: " + std::string(1'000, 'x') + "\r\n"; }

}  // namespace graniteseam::test
