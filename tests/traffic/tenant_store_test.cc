#include "src/traffic/tenant_store.h"

#include <criterion/criterion.h>

#include "src/traffic/configuration_store.h"

using namespace graniteseam;
using namespace graniteseam::traffic;

namespace {

Tenant MakeTenant(const std::string& name, std::vector<KeyDigest> keys) {
  Tenant tenant;
  tenant.name = {name};
  tenant.keys = std::move(keys);
  tenant.source = "{\"name\":\"" + name + "\"}";
  return tenant;
}

ConfigurationChange Patch(std::uint64_t base, std::uint64_t version) {
  ConfigurationChange change;
  change.base = {base};
  change.version = {version};
  change.digest = "patch-" + std::to_string(version);
  return change;
}

Route MakeRoute(const std::string& name) {
  Route route;
  route.name = {name};
  route.host = "a.example";
  route.path_prefix = "/" + name + "/";
  route.timeout_ms = 1'000;
  route.split = {{{"s"}, 100}};
  return route;
}

ConfigurationChange First() {
  ConfigurationChange change = Patch(0, 1);
  change.whole = true;
  change.routes = {MakeRoute("closed"), MakeRoute("open")};
  Service service;
  service.name = {"s"};
  change.services = {service};
  change.tenancy.given = true;
  change.tenancy.tenants = {MakeTenant("a", {"key-1"}), MakeTenant("b", {"key-2", "key-3"})};
  change.tenancy.anonymous_routes = {{"open"}};
  return change;
}

void Take(ConfigurationStore& store, const ConfigurationChange& change, std::uint64_t index) {
  const auto taken = Attempt([&] { return store.Apply(change, index); });
  cr_assert(ErrorOf(taken) == nullptr, "%s", ErrorOf(taken)->message.c_str());
}

}  // namespace

Test(tenant_store, update_brings_what_changed_and_no_source) {
  ConfigurationStore store;
  Take(store, First(), 1);
  ConfigurationChange change = Patch(1, 2);
  change.tenancy.tenants = {MakeTenant("a", {"key-1", "key-4"})};
  change.tenancy.removed_tenants = {{"b"}};
  Take(store, change, 2);
  TrafficUpdate update;
  store.AddChanges(1, update);
  cr_assert(update.tenancy.keys_required);
  cr_assert_eq(update.tenancy.tenants.size(), 1U);
  cr_assert_eq(update.tenancy.tenants[0].keys.size(), 2U);
  cr_assert(update.tenancy.tenants[0].source.empty());
  cr_assert(update.tenancy.removed_tenants == std::vector<TenantName>{{"b"}});
  TrafficUpdate whole;
  store.AddChanges(0, whole);
  cr_assert(whole.tenancy.tenants.size() == 1 && whole.tenancy.removed_tenants.empty());
  cr_assert(whole.tenancy.anonymous_routes == std::vector<RouteName>{{"open"}});
}

Test(tenant_store, key_may_go_to_another_tenant_and_to_one_only) {
  ConfigurationStore store;
  Take(store, First(), 1);
  ConfigurationChange both = Patch(1, 2);
  both.tenancy.tenants = {MakeTenant("a", {"key-1", "key-2"})};
  const auto refused = Attempt([&] { return store.Apply(both, 2); });
  cr_assert(ErrorOf(refused) != nullptr);
  cr_assert(ErrorOf(refused)->kind == ErrorKind::kInvalidArgument);
  cr_assert(ErrorOf(refused)->message.find("key-2") == std::string::npos);
  ConfigurationChange handed_over = Patch(1, 2);
  handed_over.tenancy.tenants = {MakeTenant("a", {"key-1", "key-2"}), MakeTenant("b", {"key-3"})};
  Take(store, handed_over, 2);
  cr_assert_eq(store.tenancy().tenants[0].keys.size(), 2U);
}

Test(tenant_store, route_is_anonymous_just_as_long_as_its_newest_form_says_so) {
  ConfigurationStore store;
  Take(store, First(), 1);
  ConfigurationChange change = Patch(1, 2);
  change.routes = {MakeRoute("open")};
  Take(store, change, 2);
  cr_assert(store.tenancy().anonymous_routes.empty());
  change = Patch(2, 3);
  change.routes = {MakeRoute("closed")};
  change.tenancy.anonymous_routes = {{"closed"}};
  Take(store, change, 3);
  change = Patch(3, 4);
  change.removed_routes = {{"closed"}};
  Take(store, change, 4);
  cr_assert(store.tenancy().anonymous_routes.empty());
}

Test(tenant_store, whole_that_speaks_of_no_tenants_asks_for_no_keys) {
  ConfigurationStore store;
  Take(store, First(), 1);
  ConfigurationChange change = First();
  change.base = {1};
  change.version = {2};
  change.digest = "whole-2";
  change.tenancy = {};
  Take(store, change, 2);
  cr_assert_not(store.tenancy().keys_required);
  TrafficUpdate update;
  store.AddChanges(1, update);
  cr_assert_not(update.tenancy.keys_required);
  cr_assert_eq(update.tenancy.removed_tenants.size(), 2U);
}

Test(tenant_store, image_restores_tenants_and_what_was_removed) {
  ConfigurationStore store;
  Take(store, First(), 1);
  ConfigurationChange change = Patch(1, 2);
  change.tenancy.removed_tenants = {{"b"}};
  Take(store, change, 2);
  ConfigurationStore restored;
  restored.Restore(store.Image());
  restored.Restore(store.Tenants());
  TrafficUpdate before;
  TrafficUpdate after;
  store.AddChanges(1, before);
  restored.AddChanges(1, after);
  cr_assert(before == after);
  cr_assert_eq(restored.tenancy().tenants[0].source, store.tenancy().tenants[0].source);
}
