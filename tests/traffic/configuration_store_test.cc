#include "src/traffic/configuration_store.h"

#include <criterion/criterion.h>

using namespace graniteseam;
using namespace graniteseam::traffic;

namespace {

Route MakeRoute(const std::string& name, const std::string& prefix, const std::string& service) {
  Route route;
  route.name = {name};
  route.host = "a.example";
  route.path_prefix = prefix;
  route.timeout_ms = 1'000;
  route.split = {{{service}, 100}};
  return route;
}

ConfigurationChange Whole(std::uint64_t base, std::uint64_t version, std::vector<Route> routes) {
  ConfigurationChange change;
  change.base = {base};
  change.version = {version};
  change.whole = true;
  change.routes = std::move(routes);
  Service service;
  service.name = {"s"};
  change.services = {service};
  change.digest = "whole-" + std::to_string(base) + "-" + std::to_string(version);
  return change;
}

/// The kind of error with which a change is refused; nullopt when it is taken.
std::optional<ErrorKind> Refusal(ConfigurationStore& store, const ConfigurationChange& change,
                                 std::uint64_t index) {
  const auto applied = Attempt([&] { return store.Apply(change, index); });
  const Error* error = ErrorOf(applied);
  return error == nullptr ? std::nullopt : std::optional(error->kind);
}

}  // namespace

Test(configuration_store, of_two_changes_on_one_version_only_the_first_is_taken) {
  ConfigurationStore store;
  cr_assert(!Refusal(store, Whole(0, 5, {MakeRoute("r", "/a/", "s")}), 1));
  ConfigurationChange first = Whole(5, 7, {MakeRoute("r", "/b/", "s")});
  ConfigurationChange second = Whole(5, 7, {MakeRoute("r", "/c/", "s")});
  second.digest = "another";
  cr_assert(!Refusal(store, first, 2));
  cr_assert(Refusal(store, second, 3) == ErrorKind::kVersionConflict);
  cr_assert(store.current().routes[0].path_prefix == "/b/");
}

Test(configuration_store, change_that_was_taken_is_taken_again_also_when_a_later_one_is_current) {
  ConfigurationStore store;
  const auto first = Whole(0, 5, {MakeRoute("r", "/a/", "s")});
  cr_assert(!Refusal(store, first, 1));
  cr_assert(!Refusal(store, Whole(5, 7, {MakeRoute("r", "/b/", "s")}), 2));
  cr_assert(!Refusal(store, first, 3));
  cr_assert(store.current().version.value == 7);
  cr_assert(store.changed_at() == 2);
}

Test(configuration_store, every_invalid_whole_is_refused_and_changes_nothing) {
  ConfigurationStore store;
  cr_assert(!Refusal(store, Whole(0, 5, {MakeRoute("r", "/a/", "s")}), 1));
  Route unknown = MakeRoute("x", "/x/", "nobody");
  Route bare = MakeRoute("x", "x/", "s");
  Route slow = MakeRoute("x", "/x/", "s");
  slow.timeout_ms = 600'001;
  Route below = MakeRoute("x", "/x/", "s");
  below.split[0].weight = -1;
  Route same_place = MakeRoute("x", "/a/", "s");
  std::uint64_t index = 2;
  for (const Route& wrong : {unknown, bare, slow, below, same_place}) {
    ConfigurationChange change = Whole(5, 6, {MakeRoute("r", "/a/", "s"), wrong});
    change.digest += std::to_string(index);
    cr_assert(Refusal(store, change, index++) == ErrorKind::kInvalidArgument);
  }
  cr_assert(Refusal(store, Whole(5, 5, {}), index) == ErrorKind::kInvalidArgument);
  cr_assert(store.current().version.value == 5);
  cr_assert(store.current().routes.size() == 1);
}

Test(configuration_store, patch_changes_named_items_only_and_the_update_holds_just_them) {
  ConfigurationStore store;
  cr_assert(
      !Refusal(store, Whole(0, 5, {MakeRoute("r1", "/a/", "s"), MakeRoute("r2", "/b/", "s")}), 1));
  ConfigurationChange patch;
  patch.base = {5};
  patch.version = {6};
  patch.routes = {MakeRoute("r3", "/c/", "s")};
  patch.removed_routes = {{"r1"}};
  patch.digest = "patch";
  cr_assert(!Refusal(store, patch, 9));
  TrafficUpdate update;
  store.AddChanges(1, update);
  cr_assert(update.configuration.value == 6);
  cr_assert(update.routes.size() == 1 && update.routes[0].name.value == "r3");
  cr_assert(update.removed_routes.size() == 1 && update.removed_routes[0].value == "r1");
  cr_assert(update.services.empty());
  cr_assert(!update.limits);
}

Test(configuration_store, image_restores_everything_that_was_accepted) {
  ConfigurationStore store;
  const auto first = Whole(0, 5, {MakeRoute("r", "/a/", "s")});
  cr_assert(!Refusal(store, first, 1));
  cr_assert(!Refusal(store, Whole(5, 7, {MakeRoute("q", "/b/", "s")}), 2));
  ConfigurationStore restored;
  restored.Restore(store.Image());
  cr_assert(restored.current() == store.current());
  cr_assert(!Refusal(restored, first, 3));
  TrafficUpdate update;
  restored.AddChanges(1, update);
  cr_assert(update.removed_routes.size() == 1 && update.removed_routes[0].value == "r");
}

// The size of a configuration was not known before a change of it was in the log.
Test(configuration_store, size_after_a_change_is_that_of_the_changed_configuration) {
  ConfigurationStore store;
  const auto check = [&](const ConfigurationChange& change, std::uint64_t index) {
    const std::size_t expected = store.BytesAfter(change);
    cr_assert(!Refusal(store, change, index));
    cr_assert_eq(store.Bytes(), expected);
  };
  auto first = Whole(0, 1, {MakeRoute("r", "/a/", "s"), MakeRoute("t", "/t/", "s")});
  first.routes[0].source = std::string(1'000, 'x');
  first.further = R"({"note":"kept"})";
  first.tenancy.given = true;
  first.tenancy.tenants = {{{"tenant"}, {"digest"}, {}, {}, "source"}};
  check(first, 1);
  cr_assert_gt(store.Bytes(), 1'000U);

  ConfigurationChange patch = Whole(1, 2, {MakeRoute("r", "/b/", "s"), MakeRoute("u", "/u/", "s")});
  patch.whole = false;
  patch.services.clear();
  patch.removed_routes = {{"t"}};
  patch.limits.emplace().source = "limits";
  check(patch, 2);
  cr_assert_lt(store.Bytes(), 1'500U);
  check(Whole(2, 3, {MakeRoute("r", "/a/", "s")}), 3);
}
