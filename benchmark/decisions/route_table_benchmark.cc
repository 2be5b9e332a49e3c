/// @file
/// A gateway takes a configuration of many routes: decoding it, replacing the route table, and
/// finding a request's route in it.

#include <benchmark/benchmark.h>

#include <string>

#include "graniteseam/codec/codec.h"
#include "graniteseam/control/router_messages.h"
#include "src/gateway/route_table.h"

namespace graniteseam::gateway {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr char kHost[] = "a.example";

std::string PrefixOf(std::int64_t route) { return "/prefix/" + std::to_string(route) + "/"; }

traffic::TrafficUpdate WholeConfiguration(std::int64_t routes) {
  traffic::TrafficUpdate update;
  update.version = 1;
  for (std::int64_t number = 0; number < routes; ++number) {
    traffic::Route route;
    route.name = {"route-" + std::to_string(number)};
    route.host = kHost;
    route.path_prefix = PrefixOf(number);
    route.timeout_ms = 1'200;
    route.split = {{{"texts"}, 90}, {{"texts-b"}, 10}};
    update.routes.push_back(route);
  }
  return update;
}

void DecodeConfiguration(benchmark::State& state) {
  const std::string payload =
      codec::Encode(control::ControlToRouter(WholeConfiguration(state.range(0))));
  while (state.KeepRunning()) {
    auto decoded = Attempt([&] { return codec::Decode<control::ControlToRouter>(payload); });
    benchmark::DoNotOptimize(&decoded);
  }
  state.counters["bytes"] = static_cast<double>(payload.size());
}
BENCHMARK(DecodeConfiguration)->Arg(1'762)->Arg(4'000);

void CopyConfiguration(benchmark::State& state) {
  const auto update = WholeConfiguration(state.range(0));
  while (state.KeepRunning()) {
    auto copy = update;
    benchmark::DoNotOptimize(&copy);
  }
}
BENCHMARK(CopyConfiguration)->Arg(1'762)->Arg(4'000);

void ReplaceRoutes(benchmark::State& state) {
  const auto update = WholeConfiguration(state.range(0));
  RouteTable table(kSeed);
  while (state.KeepRunning()) table.Apply(update);
}
BENCHMARK(ReplaceRoutes)->Arg(1'762)->Arg(4'000);

void FindRoute(benchmark::State& state) {
  RouteTable table(kSeed);
  table.Apply(WholeConfiguration(state.range(0)));
  std::int64_t number = 0;
  while (state.KeepRunning()) {
    const std::string path = PrefixOf(number++ % state.range(0)) + "item";
    benchmark::DoNotOptimize(table.Find(kHost, path));
  }
}
BENCHMARK(FindRoute)->Arg(12)->Arg(1'762)->Arg(4'000);

}  // namespace
}  // namespace graniteseam::gateway
