// Clients that keep to no limit in several ways at once, while ordinary requests go on.
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "tests/memory_bounds/served_fleet.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

constexpr int kClients = 20;
constexpr std::size_t kBodyBytes = std::size_t{8} << 20;
constexpr std::size_t kPieceBytes = std::size_t{64} << 10;

void SendShortOfLength(Crowd& crowd) {
  const std::string head = HeadOfSizedUpload(kBodyBytes);
  crowd.Send(head, std::string(kPieceBytes, 'x'), head.size() + kBodyBytes - 1);
}

void SendShortOfEnd(Crowd& crowd) {
  const std::string head = HeadOfChunkedUpload();
  crowd.Send(head, Chunk(kPieceBytes), head.size() + kBodyBytes - 1);
}

void SendWhole(Crowd& crowd) {
  const std::string head = HeadOfSizedUpload(kBodyBytes);
  crowd.Send(head, std::string(kPieceBytes, 'x'), head.size() + kBodyBytes);
}

/// Runs all steps at once, and ordinary requests one after the other until the last step has ended.
void RunBesideRequests(ServedFleet& fleet, const std::vector<std::function<void()>>& steps) {
  std::atomic<std::size_t> running{steps.size()};
  std::vector<std::thread> threads;
  threads.reserve(steps.size());
  for (const auto& step : steps) {
    threads.emplace_back([&] {
      step();
      --running;
    });
  }
  while (running > 0) fleet.AwaitServed("/x");
  for (std::thread& thread : threads) thread.join();
}

}  // namespace

// Many large bodies, whole and in chunks, most of which stop just short of their end and stay open.
Test(mixed_clients, router_among_bodies_most_of_which_never_end, .timeout = 180) {
  ServedFleet fleet;
  Crowd sized(fleet.Router(), kClients);
  Crowd chunked(fleet.Router(), kClients);
  Crowd whole(fleet.Router(), kClients / 4);
  RunBesideRequests(fleet, {[&] { SendShortOfLength(sized); }, [&] { SendShortOfEnd(chunked); },
                            [&] { SendWhole(whole); }});
  fleet.CheckRouter();
}

Test(mixed_clients, router_among_slow_readers_and_uploads, .timeout = 180) {
  ServedFleet fleet;
  constexpr int kReceiveBytes = 4'096;
  constexpr int kReads = 20;
  Crowd readers(fleet.Router(), kClients, kReceiveBytes);
  Crowd sized(fleet.Router(), kClients);
  Crowd chunked(fleet.Router(), kClients);
  const std::string request = "GET /large HTTP/1.1\r\nHost: a.example\r\n" +
                              platform::RequestNames().attempt_id + ": large\r\n" +
                              platform::RequestNames().time_left_ms + ": 60000\r\n\r\n";
  const auto read = [&] {
    readers.Send(request, request, request.size());
    for (int count = 0; count < kReads; ++count) {
      readers.Read(1'024);
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
  };
  RunBesideRequests(fleet,
                    {read, [&] { SendShortOfLength(sized); }, [&] { SendShortOfEnd(chunked); }});
  fleet.CheckRouter();
}

Test(mixed_clients, control_among_trailers_extensions_and_bodies, .timeout = 180) {
  ServedFleet fleet;
  Crowd trailers(fleet.Control(1), kClients);
  Crowd extensions(fleet.Control(1), kClients);
  Crowd bodies(fleet.Control(1), kClients);
  const std::string trailer_head = HeadOfChunkedUpload() + Chunk(5) + "0\r\n";
  const std::string extension_head = HeadOfChunkedUpload() + "5;";
  RunBesideRequests(fleet,
                    {[&] { trailers.Send(trailer_head, TrailerField(), kSentByEach); },
                     [&] { extensions.Send(extension_head, std::string(1'000, 'x'), kSentByEach); },
                     [&] { SendShortOfLength(bodies); }});
  fleet.CheckControls();
}
