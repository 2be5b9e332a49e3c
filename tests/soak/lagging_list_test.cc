#include "testbed/registered/lagging_list.h"

#include <criterion/criterion.h>

#include <chrono>
#include <thread>

using namespace graniteseam;
using namespace graniteseam::testbed;

/// Guards against callers that know of a replaced control process sooner than an operator's list tells them.
Test(lagging_list, change_is_seen_after_the_lag)
{
    LaggingList list({"a"}, Duration {200'000});
    cr_assert(list.Addresses() == std::vector<std::string> {"a"});
    list.Change({"b"});
    cr_assert(list.Addresses() == std::vector<std::string> {"a"});
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    cr_assert(list.Addresses() == std::vector<std::string> {"b"});
}
