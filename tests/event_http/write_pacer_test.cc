// Large responses leave room for small ones on a narrow link.
#include "src/event_http/write_pacer.h"

#include <criterion/criterion.h>

#include "tests/event_http/stepped_server.h"

using namespace graniteseam;
using namespace graniteseam::event_http;
using namespace graniteseam::event_http::test;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000);

}  // namespace

Test(write_pacer, pieces_of_a_large_response_are_spaced_at_the_rate) {
  WritePacer pacer(100'000);
  cr_assert_eq(pacer.Reserve(1'000, kStart).count(), 0);
  cr_assert_eq(pacer.Reserve(1'000, kStart).count(), 10'000);
  cr_assert_eq(pacer.Reserve(1'000, kStart + Duration{5'000}).count(), 15'000);
}

Test(write_pacer, time_without_pieces_is_not_saved_up) {
  WritePacer pacer(100'000);
  pacer.Reserve(1'000, kStart);
  const Instant later = kStart + std::chrono::seconds(60);
  cr_assert_eq(pacer.Reserve(1'000, later).count(), 0);
  cr_assert_eq(pacer.Reserve(1'000, later).count(), 10'000);
}

Test(write_pacer, short_responses_and_unknown_links_are_not_paced) {
  cr_assert(WritePacer(100'000).Paces(WritePacer::kPacedBytesMinimum));
  cr_assert_not(WritePacer(100'000).Paces(WritePacer::kPacedBytesMinimum - 1));
  cr_assert_not(WritePacer(0).Paces(1'000'000));
}

// Without pacing, a small response waits until the large one ahead of it has left the machine's
// link.
Test(write_pacer, small_responses_pass_a_bulk_response_that_is_being_written) {
  constexpr std::size_t kBulkBytes = 64'000;
  ServerOptions options;
  options.bulk_bytes_per_second = 1'000'000;
  SteppedServer stepped(options);
  RawClient download(stepped.server->port());
  RawClient small(stepped.server->port());
  download.Send(Get("/hold"));
  cr_assert(stepped.TurnUntil([&] { return stepped.held.size() == 1; }));
  Response response;
  response.body = std::string(kBulkBytes, 'x') + ";";
  response.bulk = true;
  stepped.held.front()->Respond(response);
  small.Send(Get("/small"));
  stepped.ReadAnswers(small, 1);
  cr_assert_gt(stepped.server->busy(), 0, "The bulk response was written at once.");
  const std::string all = stepped.ReadAnswers(download, 1);
  cr_assert_gt(all.size(), kBulkBytes);
  cr_assert(stepped.TurnUntil([&] { return stepped.server->busy() == 0; }));
}

Test(write_pacer, client_that_leaves_amid_a_bulk_response_ends_its_pieces) {
  ServerOptions options;
  options.bulk_bytes_per_second = 100'000;
  SteppedServer stepped(options);
  {
    RawClient download(stepped.server->port());
    download.Send(Get("/hold"));
    cr_assert(stepped.TurnUntil([&] { return stepped.held.size() == 1; }));
    Response response;
    response.body = std::string(200'000, 'x');
    response.bulk = true;
    stepped.held.front()->Respond(response);
    stepped.Turn();
  }
  cr_assert(stepped.TurnUntil([&] { return stepped.server->connections() == 0; }));
}
