#include "src/gateway/route_table.h"

#include <criterion/criterion.h>

#include <map>

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
