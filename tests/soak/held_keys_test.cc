#include "testbed/registered/held_keys.h"

#include <criterion/criterion.h>

using namespace graniteseam;
using namespace graniteseam::testbed;

namespace {

constexpr auto start = InstantFromMicros(1'000'000'000);

auto at(std::int64_t ms) -> Instant
{
    return start + std::chrono::milliseconds(ms);
}

auto span(std::uint32_t first, std::uint32_t last, std::uint64_t fence, std::int64_t since) -> HeldSpan
{
    return {first, last, fence, at(since + 1'000), at(since)};
}

} // namespace

Test(held_keys, instance_that_starts_holds_nothing)
{
    HeldKeys const keys;
    cr_assert(HolderOf(keys, 7, at(0)) == nullptr);
}

Test(held_keys, grant_is_held_until_it_runs_out_and_a_renewal_prolongs_it)
{
    HeldKeys keys;
    cr_assert(Take(keys, span(0, 9, 5, 0)));
    cr_assert(HolderOf(keys, 9, at(999)) != nullptr);
    cr_assert(HolderOf(keys, 9, at(1'000)) == nullptr);
    cr_assert(HolderOf(keys, 10, at(1)) == nullptr);
    cr_assert(Take(keys, span(0, 9, 5, 800)));
    cr_assert(HolderOf(keys, 9, at(1'500)) != nullptr);
}

Test(held_keys, lower_fence_than_one_that_was_seen_is_refused)
{
    HeldKeys keys;
    cr_assert(Take(keys, span(0, 9, 5, 0)));
    LetGo(keys, span(5, 5, 8, 0), at(10));
    cr_assert(!Take(keys, span(0, 9, 7, 20)));
    cr_assert(Take(keys, span(0, 4, 7, 20)));
    cr_assert(Take(keys, span(5, 9, 8, 20)));
}

Test(held_keys, release_of_a_part_leaves_the_rest)
{
    HeldKeys keys;
    Take(keys, span(0, 9, 5, 0));
    auto const parts = LetGo(keys, span(3, 4, 6, 0), at(10));
    cr_assert(parts.size() == 1 && parts[0].first == 3 && parts[0].last == 4);
    cr_assert(HolderOf(keys, 2, at(20)) != nullptr && HolderOf(keys, 5, at(20)) != nullptr);
    cr_assert(HolderOf(keys, 3, at(20)) == nullptr);
}

Test(held_keys, whole_answer_lets_go_of_what_it_leaves_out)
{
    HeldKeys keys;
    TakeWhole(keys, {span(0, 99, 5, 0)}, at(0));
    auto const out = TakeWhole(keys, {span(10, 19, 5, 100), span(40, 199, 6, 100)}, at(100));
    cr_assert(out.size() == 2);
    cr_assert(out[0].first == 0 && out[0].last == 9);
    cr_assert(out[1].first == 20 && out[1].last == 39);
    cr_assert(HolderOf(keys, 15, at(1'050)) != nullptr);
    cr_assert(HolderOf(keys, 150, at(1'050))->fence == 6);
    cr_assert(HolderOf(keys, 25, at(150)) == nullptr);
}

Test(held_keys, lease_that_ran_out_is_not_let_go_of)
{
    HeldKeys keys;
    TakeWhole(keys, {span(0, 99, 5, 0)}, at(0));
    cr_assert(TakeWhole(keys, {}, at(1'001)).empty());
}

Test(held_keys, whole_answer_with_a_row_under_a_lower_fence_does_not_give_it)
{
    HeldKeys keys;
    TakeWhole(keys, {span(0, 99, 5, 0)}, at(0));
    TakeWhole(keys, {span(0, 99, 4, 500)}, at(500));
    cr_assert(HolderOf(keys, 7, at(600)) == nullptr);
}

Test(held_keys, all_that_was_held_is_told_with_its_end)
{
    HeldKeys keys;
    Take(keys, span(0, 9, 5, 0));
    Take(keys, span(0, 9, 5, 500));
    LetGo(keys, span(0, 4, 6, 0), at(700));
    auto const holds = AllHolds(keys, at(900));
    cr_assert(holds.size() == 3);
    cr_assert(holds[0].since == at(0) && holds[0].until == at(500));
    cr_assert(holds[1].last == 4 && holds[1].until == at(700));
    cr_assert(holds[2].first == 5 && holds[2].until == at(900));
}
