// Control processes among clients that keep to no limit: each stays within its machine's memory.
#include "tests/memory_bounds/served_fleet.h"

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
