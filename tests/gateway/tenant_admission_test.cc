// Which requests a gateway lets in by the API keys that they show.
#include <criterion/criterion.h>

#include <algorithm>

#include "tests/gateway/gateway_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;

namespace {

traffic::Tenant MakeTenant(const std::string& name, std::vector<traffic::KeyDigest> keys) {
  traffic::Tenant tenant;
  tenant.name = {name};
  tenant.keys = std::move(keys);
  return tenant;
}

/// A gateway whose routes but "/unsafe/" ask for a key.
struct TenantFixture : Fixture {
  TenantFixture() : Fixture(false) {
    auto update = State();
    update.tenancy.keys_required = true;
    update.tenancy.tenants = {MakeTenant("a", {"key-1"}), MakeTenant("b", {"key-2", "key-3"})};
    update.tenancy.tenants[1].priority = 4;
    update.tenancy.anonymous_routes = {{"unsafe"}};
    node.OnUpdate(update, kStart);
    Confirm(0);
  }

  GatewayEffects Show(const std::string& path, const traffic::KeyDigest& key, std::int64_t ms) {
    ArrivedRequest request;
    request.number = {++numbers};
    request.host = "a.example";
    request.path = path;
    request.api_key = key;
    request.time_left = std::chrono::seconds(2);
    return node.OnRequest(request, At(ms));
  }

  /// The update after `version` that brings just what `tenancy` says.
  void Change(std::uint64_t base, const traffic::TenancyUpdate& tenancy, std::int64_t ms) {
    traffic::TrafficUpdate update;
    update.base = base;
    update.version = base + 1;
    update.configuration = {base};
    update.tenancy = tenancy;
    update.tenancy.keys_required = true;
    node.OnUpdate(update, At(ms));
    Confirm(ms);
  }
};

}  // namespace

Test(tenant_admission, holder_of_the_key_is_told_to_the_server_and_the_key_is_not) {
  TenantFixture fixture;
  const auto send = Only<SendAttempt>(fixture.Show("/safe/x", "key-3", 0));
  cr_assert_eq(send.tenant.value, "b");
  cr_assert(send.hides_api_key);
}

Test(tenant_admission, missing_and_unknown_keys_are_refused_with_401) {
  TenantFixture fixture;
  const auto missing = Only<Refuse>(fixture.Show("/safe/x", "", 0));
  cr_assert(missing.status == 401 && missing.reason == RefusalReason::kNoApiKey);
  const auto unknown = Only<Refuse>(fixture.Show("/safe/x", "key-9", 0));
  cr_assert(unknown.status == 401 && unknown.reason == RefusalReason::kUnknownApiKey);
}

Test(tenant_admission, route_that_does_not_exist_is_no_matter_of_keys) {
  TenantFixture fixture;
  cr_assert_eq(Only<Refuse>(fixture.Show("/nothing/x", "", 0)).status, 404);
}

Test(tenant_admission, anonymous_route_needs_no_key_and_still_hides_one) {
  TenantFixture fixture;
  const auto plain = Only<SendAttempt>(fixture.Show("/unsafe/x", "", 0));
  cr_assert(plain.tenant.Empty() && plain.hides_api_key);
  cr_assert_eq(Only<SendAttempt>(fixture.Show("/unsafe/x", "key-1", 0)).tenant.value, "a");
}

Test(tenant_admission, key_is_in_force_and_gone_with_the_update_that_says_so) {
  TenantFixture fixture;
  fixture.Change(10, {true, {MakeTenant("b", {"key-2"})}, {}, {}}, 1);
  cr_assert_eq(Only<Refuse>(fixture.Show("/safe/x", "key-3", 1)).status, 401);
  // The last key of a tenant, and a tenant.
  fixture.Change(11, {true, {MakeTenant("b", {})}, {{"a"}}, {}}, 2);
  cr_assert_eq(Only<Refuse>(fixture.Show("/safe/x", "key-2", 2)).status, 401);
  cr_assert_eq(Only<Refuse>(fixture.Show("/safe/x", "key-1", 2)).status, 401);
  // It goes to another tenant.
  fixture.Change(12, {true, {MakeTenant("c", {"key-1"})}, {}, {}}, 3);
  cr_assert_eq(Only<SendAttempt>(fixture.Show("/safe/x", "key-1", 3)).tenant.value, "c");
}

Test(tenant_admission, older_update_does_not_bring_a_key_back) {
  TenantFixture fixture;
  fixture.Change(10, {true, {MakeTenant("b", {"key-2"})}, {}, {}}, 1);
  fixture.Change(9, {true, {MakeTenant("b", {"key-2", "key-3"})}, {}, {}}, 2);
  cr_assert_eq(Only<Refuse>(fixture.Show("/safe/x", "key-3", 2)).status, 401);
}

Test(tenant_admission, gateway_that_may_be_behind_does_not_claim_that_a_key_is_unknown) {
  TenantFixture fixture;
  const auto unsure = Only<Refuse>(fixture.Show("/safe/x", "key-9", 10'000));
  cr_assert(unsure.status == 503 && unsure.reason == RefusalReason::kUnconfirmed);
  // That a key is missing needs no configuration but the route's.
  cr_assert_eq(Only<Refuse>(fixture.Show("/safe/x", "", 10'000)).status, 401);
}

Test(tenant_admission, without_a_configuration_no_key_is_unknown) {
  Fixture fixture(false);
  fixture.Request("/safe/x", 0);
  cr_assert_eq(Only<Refuse>(fixture.node.Tick(At(800))).status, 503);
}

Test(tenant_admission, priority_of_the_tenant_goes_before_that_of_the_route) {
  TenantFixture fixture;
  // Fills the pool: two instances with two slots and as many that wait there.
  std::vector<SendAttempt> sent;
  for (int i = 0; i < 64; ++i) {
    const auto effects = fixture.Show("/safe/x", "key-2", 0);
    if (!Has<SendAttempt>(effects)) break;
    sent.push_back(Only<SendAttempt>(effects));
  }
  fixture.Show("/safe/x", "key-2", 1);
  const std::uint64_t urgent = fixture.numbers + 1;
  cr_assert_not(Has<SendAttempt>(fixture.Show("/safe/x", "key-1", 2)));
  const auto effects = fixture.End(sent.front(), AttemptEnd::kAnswered, 200, 3);
  const auto first = std::find_if(
      effects.actions.begin(), effects.actions.end(),
      [](const GatewayEffect& effect) { return std::holds_alternative<SendAttempt>(effect); });
  cr_assert(first != effects.actions.end());
  cr_assert_eq(std::get<SendAttempt>(*first).request.value, urgent);
}
