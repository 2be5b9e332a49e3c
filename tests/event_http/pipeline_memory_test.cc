// Guards against memory that grows with clients that pipeline and do not read their answers: what a
// connection holds stays within the bounds of ServerOptions.
#include <criterion/criterion.h>

#include "tests/event_http/stepped_server.h"
#include "tests/support/process_limits.h"

using namespace graniteseam;
using namespace graniteseam::event_http;
using namespace graniteseam::event_http::test;
using graniteseam::test::AllowDescriptors;
using graniteseam::test::HeapBytes;

namespace {

constexpr std::size_t kClients = 1'000;
constexpr std::size_t kAhead = 16;
constexpr std::size_t kAnswerBytes = 4'096;
constexpr std::size_t kAnswerBytesAhead = 4 * kAnswerBytes;
/// Beside bodies: a request in progress with its fields, its response and its place.
constexpr std::size_t kRequestBytes = 1'024;
/// The connection itself, with the area and the buffer that it reads into.
constexpr std::size_t kConnectionBytes = 24'576;
/// Bytes of requests that wait to be parsed, 64 KiB and one read; a string may reserve twice that.
constexpr std::size_t kReadAheadBytes = 2 * (65'536 + 8'192);

/// Both ends of each connection are descriptors of this process.
constexpr std::size_t kDescriptors = 4 * kClients;

ServerOptions Parallel() {
  ServerOptions options;
  options.requests_ahead_maximum = kAhead;
  options.answer_bytes_ahead = kAnswerBytesAhead;
  // The bounds of one connection are looked at, not the one of all together.
  options.body_bytes_total = kClients * kReadAheadBytes * 2;
  options.may_run_beside = [](const Request& request) { return request.method == "GET"; };
  return options;
}

/// Clients that each send three times the maximum and read nothing.
struct SilentClients {
  std::vector<std::unique_ptr<RawClient>> all;

  SilentClients(SteppedServer& stepped, const std::string& first, const std::string& further) {
    std::string bytes = Get(first);
    for (std::size_t number = 1; number < 3 * kAhead; ++number) bytes += Get(further);
    for (std::size_t client = 0; client < kClients; ++client) {
      all.push_back(std::make_unique<RawClient>(stepped.server->port()));
      all.back()->Send(bytes);
      stepped.Turn();
    }
  }
};

void CheckHeap(std::size_t before, std::size_t answer_bytes) {
  const std::size_t each = (HeapBytes() - before) / kClients;
  cr_assert_leq(each, answer_bytes + kAhead * kRequestBytes + kConnectionBytes,
                "%zu bytes a connection.", each);
}

}  // namespace

Test(pipeline_memory, thousand_clients_with_all_requests_in_progress_hold_their_answers_at_most) {
  cr_assert(AllowDescriptors(kDescriptors));
  SteppedServer stepped(Parallel());
  const std::size_t before = HeapBytes();
  const SilentClients clients(stepped, "/hold", "/hold");
  cr_assert(stepped.TurnUntil([&] { return stepped.held.size() >= kClients * kAhead; }));
  // The first answer of each connection, and with it all others, stays away.
  for (std::size_t index = 0; index < stepped.held.size(); ++index) {
    if (index % kAhead == 0) continue;
    SteppedServer::Answer(*stepped.held[index], std::string(kAnswerBytes, 'x'));
    stepped.held[index].reset();
  }
  for (int round = 0; round < 20; ++round) stepped.Turn();
  cr_assert_eq(stepped.held.size(), kClients * kAhead, "Requests began beyond the bound.");
  CheckHeap(before, kAhead * kAnswerBytes);
}

Test(pipeline_memory, thousand_clients_get_no_further_requests_begun_beyond_the_answer_bytes) {
  cr_assert(AllowDescriptors(kDescriptors));
  SteppedServer stepped(Parallel());
  const std::size_t before = HeapBytes();
  // Answered at once, with the path and a few bytes more.
  const SilentClients clients(stepped, "/hold", "/" + std::string(kAnswerBytes, 'x'));
  constexpr std::size_t kAnswersAhead = kAnswerBytesAhead / kAnswerBytes;
  cr_assert(stepped.TurnUntil(
      [&] { return stepped.handed_on.size() >= kClients * (1 + kAnswersAhead); }));
  for (int round = 0; round < 20; ++round) stepped.Turn();
  cr_assert_eq(stepped.handed_on.size(), kClients * (1 + kAnswersAhead));
  stepped.handed_on = {};
  stepped.requests = {};
  CheckHeap(before, kAnswerBytesAhead + kAnswerBytes + kReadAheadBytes);
}
