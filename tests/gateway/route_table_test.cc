#include "src/gateway/route_table.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>

#include "src/traffic/configuration_store.h"

using namespace graniteseam;
using namespace graniteseam::gateway;

namespace {

traffic::TrafficUpdate SplitOf(std::vector<traffic::WeightedService> parts) {
  traffic::TrafficUpdate update;
  traffic::Route& route = update.routes.emplace_back();
  route.name = {"r"};
  route.host = "a.example";
  route.path_prefix = "/";
  route.split = std::move(parts);
  return update;
}

/// Requests that each part gets when every one of many gateways has only a few.
std::map<std::string, int> Divide(int gateways, int requests_each) {
  std::map<std::string, int> got;
  for (int gateway = 0; gateway < gateways; ++gateway) {
    RouteTable table(static_cast<std::uint64_t>(gateway));
    table.Apply(SplitOf({{{"most"}, 90}, {{"few"}, 10}}));
    for (int request = 0; request < requests_each; ++request) {
      ++got[table.NextService(*table.Find("a.example", "/x"))->value];
    }
  }
  return got;
}

}  // namespace

Test(route_table, parts_follow_their_weights_over_one_gateway) {
  const auto got = Divide(1, 1'000);
  cr_assert(got.at("most") == 900 && got.at("few") == 100);
}

Test(route_table, parts_follow_their_weights_over_many_gateways_with_few_requests_each) {
  const auto got = Divide(93, 3);
  // 28 of 279 are due; by chance between 13 and 43 in all but one of a thousand cases.
  cr_assert(got.contains("few") && got.at("few") >= 13 && got.at("few") <= 43, "%d of 279",
            got.contains("few") ? got.at("few") : 0);
}

Test(route_table, part_without_weight_gets_nothing) {
  RouteTable table(1);
  table.Apply(SplitOf({{{"all"}, 5}, {{"none"}, 0}}));
  for (int request = 0; request < 50; ++request) {
    cr_assert(table.NextService(*table.Find("a.example", "/x"))->value == "all");
  }
  table.Apply(SplitOf({{{"none"}, 0}}));
  cr_assert(!table.NextService(*table.Find("a.example", "/x")));
}

namespace {

constexpr std::uint64_t kNames = 6;
constexpr std::uint64_t kPlaces = 8;

/// Routes that move, trade places, are split, dropped and added again.
traffic::ConfigurationChange DrawChange(std::mt19937_64& random, std::uint64_t base) {
  traffic::ConfigurationChange change;
  change.base.value = base;
  change.version.value = base + 1;
  change.digest = std::to_string(base);
  change.whole = true;
  for (const char* name : {"a", "b", "c"}) change.services.emplace_back().name = {name};
  std::vector<std::uint64_t> places(kPlaces);
  for (std::uint64_t place = 0; place < kPlaces; ++place) places[place] = place;
  std::shuffle(places.begin(), places.end(), random);
  for (std::uint64_t name = 0; name < kNames; ++name) {
    if (random() % 3 == 0) continue;
    traffic::Route& route = change.routes.emplace_back();
    route.name = {"r" + std::to_string(name)};
    route.host = "h" + std::to_string(places[name] % 2) + ".example";
    route.path_prefix = "/p" + std::to_string(places[name] / 2) + "/";
    route.timeout_ms = 1'000;
    route.split = {{change.services[random() % 3].name, 100}};
  }
  return change;
}

std::string ServiceAt(RouteTable& table, std::uint64_t place) {
  const auto* route = table.Find("h" + std::to_string(place % 2) + ".example",
                                 "/p" + std::to_string(place / 2) + "/x");
  return route == nullptr ? "" : table.NextService(*route)->value;
}

}  // namespace

Test(route_table, updates_that_join_any_changes_lead_to_what_each_change_alone_leads_to) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    traffic::ConfigurationStore store;
    RouteTable each(seed);
    RouteTable joined(seed);
    std::uint64_t joined_at = 0;
    for (std::uint64_t index = 1; index <= 60; ++index) {
      const auto change = DrawChange(random, index - 1);
      cr_assert(ErrorOf(Attempt([&] { return store.Apply(change, index); })) == nullptr);
      const auto apply = [&](RouteTable& table, std::uint64_t base) {
        traffic::TrafficUpdate update;
        update.base = base;
        store.AddChanges(base, update);
        table.Apply(update);
      };
      apply(each, index - 1);
      if (random() % 4 != 0) continue;
      apply(joined, joined_at);
      joined_at = index;
      RouteTable whole(seed);
      apply(whole, 0);
      for (std::uint64_t place = 0; place < kPlaces; ++place) {
        const std::string wanted = ServiceAt(whole, place);
        cr_assert(ServiceAt(each, place) == wanted, "seed %lu, change %lu", seed, index);
        cr_assert(ServiceAt(joined, place) == wanted, "seed %lu, change %lu, joined", seed, index);
      }
    }
  }
}
