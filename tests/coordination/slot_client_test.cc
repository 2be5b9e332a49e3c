// Slot requests as the asking gateway keeps them.
#include "src/coordination/slot_client.h"

#include <criterion/criterion.h>

using namespace graniteseam;
using namespace graniteseam::coordination;

/// Guards against a slot that is granted to nobody: a coordinator handles the releases of a batch before its
/// requests, so that a request and its withdrawal in one batch would leave the request open.
Test(slot_client, withdrawal_replaces_a_request_that_was_not_sent_yet)
{
    auto const start = InstantFromMicros(1'000'000'000);
    SlotClient client({"g-1"}, 11);
    SlotRequest request;
    request.instance = {"k-1"};
    SlotRelease release;
    release.number = client.ask({{"g-2"}, "10.0.1.2:7200", {"z"}, 1}, request, start);
    client.end(release);
    auto const sends = client.take_sends();
    cr_assert_eq(sends.size(), 1);
    cr_assert(sends[0].batch.requests.empty());
    cr_assert_eq(sends[0].batch.releases.size(), 1);
}
