/// @file
/// Values by span of keys, against the same values key by key.

#include <criterion/criterion.h>

#include <map>
#include <random>

#include "simulation/traffic_world/span_map.h"

using namespace graniteseam::simulation;

Test(span_map, agrees_with_a_map_of_single_keys)
{
    constexpr std::uint32_t kKeys = 40;
    std::mt19937_64 random(7);
    auto const draw = [&](std::uint32_t bound) { return static_cast<std::uint32_t>(random() % bound); };
    SpanMap<std::uint32_t> spans;
    std::map<std::uint32_t, std::uint32_t> plain;
    for (std::uint32_t step = 0; step < 2'000; ++step) {
        Keys keys {draw(kKeys), draw(kKeys)};
        if (keys.last < keys.first)
            std::swap(keys.first, keys.last);
        auto const erases = draw(3) == 0;
        if (erases)
            spans.erase(keys);
        else
            spans.assign(keys, step);
        for (auto key = keys.first; key <= keys.last; ++key) {
            if (erases)
                plain.erase(key);
            else
                plain[key] = step;
        }
        std::map<std::uint32_t, std::uint32_t> seen;
        for (auto const& part : spans.within({0, kKeys})) {
            for (auto key = part.keys.first; key <= part.keys.last; ++key)
                cr_assert(seen.emplace(key, part.value).second, "two parts have key %u", key);
        }
        cr_assert(seen == plain, "after step %u", step);
        std::uint32_t without = 0;
        for (auto const& gap : spans.gaps({0, kKeys - 1}))
            without += gap.last - gap.first + 1;
        cr_assert_eq(without, kKeys - plain.size());
        for (std::uint32_t key = 0; key < kKeys; ++key)
            cr_assert_eq(spans.find(key) != nullptr, plain.contains(key));
    }
}

Test(span_map, the_last_key_of_all)
{
    SpanMap<int> spans;
    spans.assign({0, UINT32_MAX}, 1);
    spans.assign({UINT32_MAX, UINT32_MAX}, 2);
    cr_assert_eq(*spans.find(UINT32_MAX), 2);
    cr_assert_eq(*spans.find(UINT32_MAX - 1), 1);
    spans.erase({0, UINT32_MAX});
    cr_assert(spans.empty());
}
