// Which gateway coordinates a server, and how changes of the list of gateways are taken over.
#include "src/coordination/coordinator_selector.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string>

using namespace graniteseam;
using namespace graniteseam::coordination;

namespace {

constexpr int servers = 4'000;

auto server(int number) -> traffic::InstanceId
{
    return {"s-" + std::to_string(number) + "~1700000000000"};
}

auto peer(std::string const& name, std::string const& zone = "z-1", double weight = 1) -> traffic::GatewayPeer
{
    return {{name}, name + ":1", {zone}, weight};
}

auto whole(std::vector<traffic::GatewayPeer> peers, std::uint64_t number, std::uint64_t term = 3)
    -> traffic::PeerUpdate
{
    return {{}, {term, number}, std::move(peers), {}};
}

auto name_of(traffic::GatewayPeer const* peer) -> std::string
{
    cr_assert_not_null(peer);
    return peer->id.value;
}

auto coordinators(CoordinatorSelector& selector, std::string const& zone = "z-1") -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (int number = 0; number < servers; ++number)
        names.push_back(name_of(selector.coordinator_of(server(number), {zone})));
    return names;
}

auto share_of(std::vector<std::string> const& names, std::string const& name) -> double
{
    return static_cast<double>(std::count(names.begin(), names.end(), name)) / servers;
}

auto names(std::vector<RouterId> const& ids) -> std::set<std::string>
{
    std::set<std::string> names;
    for (auto const& id : ids)
        names.insert(id.value);
    return names;
}

} // namespace

Test(coordinator_selector, without_a_list_there_is_no_coordinator)
{
    CoordinatorSelector selector;
    cr_assert_null(selector.coordinator_of(server(1), {"z-1"}));
}

Test(coordinator_selector, even_pair_of_gateways_shares_the_servers_evenly)
{
    CoordinatorSelector selector;
    selector.apply(whole({peer("a"), peer("b")}, 2));
    cr_assert_float_eq(share_of(coordinators(selector), "a"), 0.5, 0.03);
}

Test(coordinator_selector, uneven_pair_of_gateways_shares_the_servers_by_weight)
{
    CoordinatorSelector selector;
    selector.apply(whole({peer("a", "z-1", 0.25), peer("b", "z-1", 0.075)}, 2));
    cr_assert_float_eq(share_of(coordinators(selector), "a"), 0.25 / 0.325, 0.03);
}

Test(coordinator_selector, gateways_with_the_same_list_choose_alike_whatever_they_were_told_before)
{
    CoordinatorSelector one;
    CoordinatorSelector other;
    one.apply(whole({peer("a"), peer("b"), peer("c")}, 3));
    other.apply(whole({peer("c"), peer("x")}, 1));
    other.apply({{3, 1}, {3, 3}, {peer("b"), peer("a")}, {{"x"}}});
    cr_assert(coordinators(one) == coordinators(other));
}

Test(coordinator_selector, gateway_listed_no_more_leaves_only_its_own_servers_to_others)
{
    CoordinatorSelector selector;
    selector.apply(whole({peer("a"), peer("b"), peer("c")}, 3));
    auto const before = coordinators(selector);
    auto const gone = selector.apply({{3, 3}, {3, 4}, {}, {{"b"}}});
    cr_assert(names(gone) == std::set<std::string> {"b"});
    auto const after = coordinators(selector);
    for (std::size_t number = 0; number < before.size(); ++number) {
        cr_assert_neq(after[number], "b");
        if (before[number] != "b")
            cr_assert_eq(after[number], before[number]);
    }
}

Test(coordinator_selector, coordinator_is_in_the_zone_of_the_server)
{
    CoordinatorSelector selector;
    selector.apply(whole({peer("a", "z-1"), peer("b", "z-2"), peer("c", "z-2")}, 3));
    cr_assert_float_eq(share_of(coordinators(selector, "z-1"), "a"), 1, 0);
    CoordinatorSelector other;
    other.apply(whole({peer("a", "z-1"), peer("b", "z-2"), peer("c", "z-2")}, 3));
    cr_assert_float_eq(share_of(coordinators(other, "z-2"), "a"), 0, 0);
}

Test(coordinator_selector, zone_without_gateways_is_coordinated_by_all_others)
{
    CoordinatorSelector selector;
    selector.apply(whole({peer("a", "z-1"), peer("b", "z-2")}, 2));
    cr_assert_float_eq(share_of(coordinators(selector, "z-9"), "a"), 0.5, 0.03);
}

Test(coordinator_selector, eleven_hundred_gateways_have_32_coordinators_a_zone)
{
    std::vector<traffic::GatewayPeer> peers;
    for (int number = 0; number < 1'100; ++number)
        peers.push_back(peer("g-" + std::to_string(number), "z-" + std::to_string(number % 9)));
    CoordinatorSelector selector;
    selector.apply(whole(peers, 1'100));
    auto const chosen = coordinators(selector, "z-4");
    cr_assert_eq(std::set<std::string>(chosen.begin(), chosen.end()).size(), 32);
}

Test(coordinator_selector, empty_update_changes_nothing)
{
    CoordinatorSelector selector;
    selector.apply(whole({peer("a")}, 1));
    cr_assert(selector.apply({}).empty());
    cr_assert_eq(selector.size(), 1);
    cr_assert(selector.version() == (traffic::PeerVersion {3, 1}));
}

Test(coordinator_selector, changes_based_on_an_old_version_are_ignored)
{
    CoordinatorSelector selector;
    selector.apply(whole({peer("a"), peer("b")}, 5));
    cr_assert(selector.apply({{3, 4}, {3, 6}, {peer("c")}, {{"a"}}}).empty());
    cr_assert(selector.apply({{2, 5}, {2, 6}, {peer("c")}, {{"a"}}}).empty());
    cr_assert_eq(selector.size(), 2);
    cr_assert(selector.version() == (traffic::PeerVersion {3, 5}), "What is missing is asked for again.");
}

Test(coordinator_selector, list_of_a_new_leader_replaces_the_former_list)
{
    CoordinatorSelector selector;
    selector.apply(whole({peer("a"), peer("b")}, 90));
    coordinators(selector);
    auto const gone = selector.apply(whole({peer("b"), peer("c")}, 2, 4));
    cr_assert(names(gone) == std::set<std::string> {"a"});
    cr_assert(selector.version() == (traffic::PeerVersion {4, 2}));
    cr_assert_float_eq(share_of(coordinators(selector), "a"), 0, 0);
}

Test(coordinator_selector, changed_address_of_a_gateway_is_used_at_once)
{
    CoordinatorSelector selector;
    selector.apply(whole({peer("a")}, 1));
    selector.coordinator_of(server(1), {"z-1"});
    auto moved = peer("a");
    moved.address = "a:2";
    cr_assert(selector.apply({{3, 1}, {3, 2}, {moved}, {}}).empty());
    cr_assert_eq(selector.coordinator_of(server(1), {"z-1"})->address, "a:2");
}

// Not a number is neither above nor below any other score, and breaks the order that sorting needs.
Test(coordinator_selector, gateway_without_a_valid_weight_gets_almost_no_servers)
{
    for (auto const weight : {std::numeric_limits<double>::quiet_NaN(), 0.0, -1.0}) {
        for (std::string const name : {"a", "b", "c"}) {
            std::vector<traffic::GatewayPeer> peers {peer("a"), peer("b"), peer("c")};
            peers.at(static_cast<std::size_t>(name[0] - 'a')).weight = weight;
            CoordinatorSelector selector;
            selector.apply(whole(peers, 3));
            auto const chosen = coordinators(selector);
            cr_assert_lt(share_of(chosen, name), 0.01, "Weight %f of %s.", weight, name.c_str());
            auto const other = name == "a" ? "b" : "a";
            cr_assert_float_eq(share_of(chosen, other), 0.5, 0.03, "Weight %f of %s.", weight, name.c_str());
        }
    }
}
