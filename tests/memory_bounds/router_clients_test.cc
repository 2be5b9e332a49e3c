// A router among clients that keep to no limit: it stays within its machine's memory and serves.
#include "tests/memory_bounds/served_fleet.h"
#include "tests/support/process_limits.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

constexpr int kClients = 24;
constexpr int kManyClients = 60;
/// Of a body that stops short of its end.
constexpr std::size_t kUploadBytes = (std::size_t{8} << 20) - 1;

/// Sends one whole request and reads until the answer's first line has come.
std::string StatusOf(const runtime::SocketAddress& router, const std::string& head,
                     const std::string& body) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(router.port);
  inet_pton(AF_INET, router.ip.c_str(), &address.sin_addr);
  cr_assert(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  const std::string text = head + body;
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t taken = send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (taken <= 0) break;
    sent += static_cast<std::size_t>(taken);
  }
  std::string answer(64, '\0');
  const ssize_t taken = recv(descriptor, answer.data(), answer.size(), 0);
  answer.resize(taken > 0 ? static_cast<std::size_t>(taken) : 0);
  close(descriptor);
  return answer.substr(0, answer.find("\r\n"));
}

}  // namespace

// Fields of trailers were kept without a bound.
Test(router_clients, trailers_without_end, .timeout = 120) {
  ServedFleet fleet;
  Crowd crowd(fleet.Router(), kClients);
  crowd.Send(HeadOfChunkedUpload() + Chunk(5) + "0\r\n", TrailerField(), kSentByEach);
  fleet.CheckRouter();
}

// An extension of a chunk was kept until its line ended.
Test(router_clients, chunk_extensions_without_end, .timeout = 120) {
  ServedFleet fleet;
  Crowd crowd(fleet.Router(), kClients);
  crowd.Send(HeadOfChunkedUpload() + "5;", std::string(1'000, 'x'), kSentByEach);
  fleet.CheckRouter();
}

Test(router_clients, heads_without_end, .timeout = 120) {
  ServedFleet fleet;
  Crowd crowd(fleet.Router(), kClients);
  crowd.Send("GET /x HTTP/1.1\r\n", TrailerField(), kSentByEach);
  fleet.CheckRouter();
}

// A short field takes forty times as much memory as it has bytes.
Test(router_clients, heads_of_many_short_fields, .timeout = 120) {
  ServedFleet fleet;
  constexpr int kMany = 400;
  cr_assert(AllowDescriptors(kMany + 200));
  Crowd crowd(fleet.Router(), kMany);
  const std::string head = HeadOfShortFields();
  crowd.Send(head, "x", head.size() + 1);
  fleet.CheckRouter();
}

Test(router_clients, bodies_that_stop_short_of_their_length, .timeout = 120) {
  ServedFleet fleet;
  Crowd crowd(fleet.Router(), kManyClients);
  const std::string head = HeadOfSizedUpload(kUploadBytes + 1);
  crowd.Send(head, std::string(64 << 10, 'x'), head.size() + kUploadBytes);
  fleet.CheckRouter();
}

// Bodies in chunks held more memory than was counted.
Test(router_clients, bodies_in_chunks_that_stop_short_of_their_end, .timeout = 120) {
  ServedFleet fleet;
  Crowd crowd(fleet.Router(), kManyClients);
  const std::string head = HeadOfChunkedUpload();
  crowd.Send(head, Chunk(64 << 10), head.size() + kUploadBytes);
  fleet.CheckRouter();
}

// The largest bodies that are allowed, most of which never end.
Test(router_clients, largest_bodies_that_stop_short_of_their_length, .timeout = 120) {
  ServedFleet fleet;
  constexpr int kFew = 6;
  Crowd crowd(fleet.Router(), kFew);
  const std::string head = HeadOfSizedUpload(kBodyBytesMaximum);
  crowd.Send(head, std::string(64 << 10, 'x'), head.size() + kBodyBytesMaximum - 1);
  fleet.CheckRouter();
}

// One body within the limits was held four times.
Test(router_clients, one_largest_body_is_served, .timeout = 120) {
  ServedFleet fleet;
  const std::string body(kBodyBytesMaximum - 1, 'x');
  const std::string status = StatusOf(fleet.Router(), HeadOfSizedUpload(body.size()), body);
  cr_expect(status == "HTTP/1.1 200 OK", "%s", status.c_str());
  fleet.CheckRouter();
}

// The same body, whose length is known only at its end.
Test(router_clients, one_largest_body_in_chunks_is_served, .timeout = 120) {
  ServedFleet fleet;
  std::string body;
  constexpr std::size_t kChunkBytes = 64 << 10;
  body.reserve(kBodyBytesMaximum + (std::size_t{1} << 20));
  for (std::size_t bytes = kChunkBytes; bytes < kBodyBytesMaximum; bytes += kChunkBytes) {
    body += Chunk(kChunkBytes);
  }
  body += Chunk(kChunkBytes - 1) + "0\r\n\r\n";
  const std::string status = StatusOf(fleet.Router(), HeadOfChunkedUpload(), body);
  cr_expect(status == "HTTP/1.1 200 OK", "%s", status.c_str());
  fleet.CheckRouter();
}

// Answers that wait for slow readers had no bound in all.
Test(router_clients, slow_readers_of_large_answers, .timeout = 180) {
  ServedFleet fleet;
  constexpr int kReceiveBytes = 4'096;
  Crowd crowd(fleet.Router(), kClients, kReceiveBytes);
  const std::string request = "GET /large HTTP/1.1\r\nHost: a.example\r\n" +
                              platform::RequestNames().attempt_id + ": large\r\n" +
                              platform::RequestNames().time_left_ms + ": 60000\r\n\r\n";
  crowd.Send(request, request, request.size());
  constexpr int kReads = 20;
  for (int read = 0; read < kReads; ++read) {
    crowd.Read(1'024);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
  fleet.CheckRouter();
}

// Idle connections hold descriptors that ordinary callers and calls to servers need.
Test(router_clients, idle_connections, .timeout = 120) {
  ServedFleet fleet;
  constexpr int kIdle = 2'500;
  cr_assert(AllowDescriptors(kIdle + 200));
  Crowd crowd(fleet.Router(), kIdle);
  fleet.CheckRouter();
}
