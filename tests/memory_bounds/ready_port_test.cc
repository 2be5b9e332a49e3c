// The port that tells whether a router is ready, among clients that keep to no limit.
#include "tests/memory_bounds/served_fleet.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

constexpr int kClients = 24;
constexpr int kManyClients = 64;
constexpr std::size_t kBodyBytes = std::size_t{1} << 20;

}  // namespace

Test(ready_port, bodies_that_stop_short_of_their_length, .timeout = 120) {
  ServedFleet fleet;
  Crowd crowd(fleet.RouterReady(), kManyClients);
  const std::string head = HeadOfSizedUpload(kBodyBytes);
  crowd.Send(head, std::string(64 << 10, 'x'), head.size() + kBodyBytes - 1);
  fleet.CheckRouter();
}

Test(ready_port, bodies_in_chunks_that_stop_short_of_their_end, .timeout = 120) {
  ServedFleet fleet;
  Crowd crowd(fleet.RouterReady(), kManyClients);
  const std::string head = HeadOfChunkedUpload();
  crowd.Send(head, Chunk(64 << 10), head.size() + kBodyBytes - 1);
  fleet.CheckRouter();
}

Test(ready_port, trailers_without_end, .timeout = 120) {
  ServedFleet fleet;
  Crowd crowd(fleet.RouterReady(), kClients);
  crowd.Send(HeadOfChunkedUpload() + Chunk(5) + "0\r\n", TrailerField(), kSentByEach);
  fleet.CheckRouter();
}
