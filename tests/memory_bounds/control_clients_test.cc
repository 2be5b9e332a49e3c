// Control processes among clients that keep to no limit: each stays within its machine's memory.
#include <memory>
#include <thread>
#include <vector>

#include "tests/memory_bounds/large_configuration.h"
#include "tests/memory_bounds/served_fleet.h"
#include "tests/support/process_limits.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

constexpr int kClients = 24;
constexpr int kManyClients = 60;
/// Of a body that stops short of its end.
constexpr std::size_t kUploadBytes = (std::size_t{8} << 20) - 1;

}  // namespace

// Fields of trailers were kept without a bound.
Test(control_clients, trailers_without_end, .timeout = 120) {
  ServedFleet fleet;
  Crowd crowd(fleet.Control(1), kClients);
  crowd.Send(HeadOfChunkedUpload() + Chunk(5) + "0\r\n", TrailerField(), kSentByEach);
  fleet.CheckControls();
}

// An extension of a chunk was kept until its line ended.
Test(control_clients, chunk_extensions_without_end, .timeout = 120) {
  ServedFleet fleet;
  Crowd crowd(fleet.Control(1), kClients);
  crowd.Send(HeadOfChunkedUpload() + "5;", std::string(1'000, 'x'), kSentByEach);
  fleet.CheckControls();
}

// A short field takes forty times as much memory as it has bytes.
Test(control_clients, heads_of_many_short_fields, .timeout = 120) {
  ServedFleet fleet;
  constexpr int kMany = 700;
  cr_assert(AllowDescriptors(kMany + 200));
  Crowd crowd(fleet.Control(1), kMany);
  const std::string head = HeadOfShortFields();
  crowd.Send(head, "x", head.size() + 1);
  fleet.CheckControls();
}

// Answers to slow readers were not counted, nor were reads that wait for their answers.
Test(control_clients, slow_readers_of_a_large_configuration, .timeout = 120) {
  Fleet fleet;
  constexpr int kRoutes = 4'000;
  cr_assert(fleet.Operate("PUT", LargeConfigurationText(1, kRoutes), 0).status == 200);
  constexpr int kMany = 500;
  constexpr int kReceiveBytes = 4'096;
  cr_assert(AllowDescriptors(Fleet::kControls * kMany + 200));
  std::vector<std::unique_ptr<Crowd>> crowds;
  const std::string request = "GET /v1/traffic/configuration HTTP/1.1\r\nHost: a\r\n\r\n";
  for (int control = 1; control <= Fleet::kControls; ++control) {
    crowds.push_back(std::make_unique<Crowd>(fleet.Control(control), kMany, kReceiveBytes));
    crowds.back()->Send(request, request, request.size());
  }
  constexpr int kReads = 10;
  for (int read = 0; read < kReads; ++read) {
    for (const auto& crowd : crowds) crowd->Read(1'024);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  cr_expect(fleet.ControlsRun());
  cr_expect(fleet.Operate("GET", "", 0).status == 200);
  const long peak = fleet.ControlPeakKib();
  cr_expect(peak <= KibOf(kControlMemoryMb), "a control process held %ld KiB", peak);
}

Test(control_clients, bodies_that_stop_short_of_their_length, .timeout = 120) {
  ServedFleet fleet;
  Crowd crowd(fleet.Control(1), kManyClients);
  const std::string head = HeadOfSizedUpload(kUploadBytes + 1);
  crowd.Send(head, std::string(64 << 10, 'x'), head.size() + kUploadBytes);
  fleet.CheckControls();
}

Test(control_clients, bodies_in_chunks_that_stop_short_of_their_end, .timeout = 120) {
  ServedFleet fleet;
  Crowd crowd(fleet.Control(1), kManyClients);
  const std::string head = HeadOfChunkedUpload();
  crowd.Send(head, Chunk(64 << 10), head.size() + kUploadBytes);
  fleet.CheckControls();
}
