// What a configuration may say: what is refused, what is kept unread, and what is never told of
// keys.
#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>

#include "src/http/traffic_json.h"
#include "src/runtime/secret_digest.h"
#include "src/traffic/configuration_store.h"

using namespace graniteseam;
using nlohmann::json;

namespace {

constexpr char kSecret[] = "k3y-of-the-first";

json Whole() {
  return {{"version", 7},
          {"routes",
           {{{"name", "r-1"},
             {"host", "a.example"},
             {"path_prefix", "/a/"},
             {"kind", "safe"},
             {"timeout_ms", 1'000},
             {"service", "s"}},
            {{"name", "r-2"},
             {"host", "a.example"},
             {"path_prefix", "/open/"},
             {"kind", "download"},
             {"timeout_ms", 1'000},
             {"service", "s"},
             {"anonymous", true}}}},
          {"services", {{{"name", "s"}}}},
          {"tenants",
           {{{"name", "t-1"},
             {"api_keys", {kSecret, "another-key"}},
             {"priority", 1},
             {"rate_per_s", 20},
             {"burst", 5}},
            {{"name", "t-2"}, {"api_keys", {"third-key"}}}}}};
}

traffic::ConfigurationChange Read(const json& object) {
  const auto read = Attempt([&] { return http::ReadConfiguration(object.dump(), {0}); });
  cr_assert(ErrorOf(read) == nullptr, "%s", ErrorOf(read)->message.c_str());
  return std::get<traffic::ConfigurationChange>(read);
}

/// The error with which a whole is refused, by the reader or by the store.
Error RefusalOf(const std::string& text) {
  traffic::ConfigurationStore store;
  const auto taken = Attempt([&]() -> Result<void> {
    BOOST_LEAF_AUTO(change, http::ReadConfiguration(text, {0}));
    return store.Apply(change, 1);
  });
  const Error* const error = ErrorOf(taken);
  cr_assert(error != nullptr, "taken: %s", text.c_str());
  cr_assert_eq(store.current().version.value, 0U);
  return *error;
}

void AssertRefused(const json& object, const std::string& named) {
  const Error error = RefusalOf(object.dump());
  cr_assert(error.message.find(named) != std::string::npos, "%s does not name %s",
            error.message.c_str(), named.c_str());
  cr_assert_not(error.remedy.empty());
}

}  // namespace

Test(traffic_configuration, tenants_are_read_by_the_digests_of_their_keys) {
  const auto change = Read(Whole());
  cr_assert(change.tenancy.given);
  cr_assert_eq(change.tenancy.tenants.size(), 2U);
  const traffic::Tenant& tenant = change.tenancy.tenants[0];
  cr_assert_eq(tenant.keys[0], runtime::SecretDigest(kSecret));
  cr_assert(tenant.priority == 1 && tenant.quota.rate_per_second == 20 && tenant.quota.burst == 5);
  cr_assert_not(change.tenancy.tenants[1].quota.is_limited());
  cr_assert(change.tenancy.anonymous_routes == std::vector<traffic::RouteName>{{"r-2"}});
  cr_assert(change.routes[1].kind == traffic::RouteKind::kDownload);
}

Test(traffic_configuration, is_read_back_as_it_was_sent) {
  traffic::ConfigurationStore store;
  cr_assert(ErrorOf(Attempt([&] { return store.Apply(Read(Whole()), 1); })) == nullptr);
  const traffic::Tenancy& tenancy = store.tenancy();
  const control::ConfigurationView view{store.current(), tenancy.keys_required, tenancy.tenants};
  cr_assert(json::parse(http::ToJson(view)) == Whole());
  // Whatever else is written of it has no key.
  cr_assert(http::ToJson(store.current()).find(kSecret) == std::string::npos);
}

Test(traffic_configuration, members_that_are_not_known_are_kept_and_change_nothing) {
  json object = Whole();
  object["calendar"] = {{"x", 1}};
  object["routes"][0]["cache"] = "10s";
  object["tenants"][0]["homes"] = {"north"};
  traffic::ConfigurationStore store;
  cr_assert(ErrorOf(Attempt([&] { return store.Apply(Read(object), 1); })) == nullptr);
  const traffic::Tenancy& tenancy = store.tenancy();
  const control::ConfigurationView view{store.current(), tenancy.keys_required, tenancy.tenants};
  cr_assert(json::parse(http::ToJson(view)) == object);
}

Test(traffic_configuration, every_invalid_form_is_refused_by_name_and_with_a_remedy) {
  json object = Whole();
  object["tenants"][1]["api_keys"] = {kSecret};
  AssertRefused(object, "t-2");
  object = Whole();
  object["routes"][0]["service"] = "nowhere";
  AssertRefused(object, "nowhere");
  object = Whole();
  object["routes"][1]["path_prefix"] = "/a/";
  AssertRefused(object, "/a/");
  object = Whole();
  object["routes"][0].erase("service");
  object["routes"][0]["split"] = {{{"service", "s"}, {"weight", -1}}};
  AssertRefused(object, "r-1");
  object = Whole();
  object["routes"][0]["timeout_ms"] = 600'001;
  AssertRefused(object, "r-1");
  object = Whole();
  object["routes"][0]["path_prefix"] = "a/";
  AssertRefused(object, "r-1");
  object = Whole();
  object["routes"][1]["kind"] = "rocket";
  AssertRefused(object, "routes[1].kind");
  object = Whole();
  object["version"] = 0;
  AssertRefused(object, "0");
  object = Whole();
  object["tenants"][0]["rate_per_s"] = -1;
  AssertRefused(object, "t-1");
  object = Whole();
  object["tenants"][0]["api_keys"] = {""};
  AssertRefused(object, "tenants[0].api_keys");
  object = Whole();
  object["tenants"][1]["name"] = "t-1";
  AssertRefused(object, "t-1");
  object = Whole();
  object["tenants"] = "all";
  AssertRefused(object, "tenants");
}

Test(traffic_configuration, one_that_is_cut_short_is_refused_at_every_length) {
  const std::string whole = Whole().dump();
  for (std::size_t length = 0; length < whole.size(); ++length) {
    static_cast<void>(RefusalOf(whole.substr(0, length)));
  }
}

Test(traffic_configuration, no_refusal_tells_a_key) {
  json object = Whole();
  object["tenants"][1]["api_keys"] = {kSecret};
  const Error shared = RefusalOf(object.dump());
  object["tenants"][1]["api_keys"] = {kSecret, 7};
  const Error mistyped = RefusalOf(object.dump());
  for (const Error& error : {shared, mistyped}) {
    cr_assert(error.message.find(kSecret) == std::string::npos);
    cr_assert(error.remedy.find(kSecret) == std::string::npos);
  }
}

// "[[],[],..." of 8 MiB took 20 times its size once it was parsed.
Test(traffic_configuration, text_of_millions_of_values_is_refused_before_it_is_parsed) {
  constexpr std::size_t kBodyBytes = 8UL << 20U;
  for (const std::string unit : {"[],", "{},", "0,", "\"\","}) {
    std::string text = R"({"version":1,"routes":[)";
    while (text.size() + unit.size() < kBodyBytes) text += unit;
    text += "0]}";
    const Error error = RefusalOf(text);
    cr_assert(error.kind == ErrorKind::kTooLarge, "%s", unit.c_str());
    cr_assert_not(error.remedy.empty());
  }
  const std::string quoted = std::string(1UL << 20U, ',') + "\\\"" + std::string(1UL << 20U, '[');
  const auto whole =
      Read(json::parse(R"({"version":1,"routes":[],"services":[],"note":")" + quoted + R"("})"));
  cr_assert(json::parse(whole.further)["note"].get<std::string>().size() == (2UL << 20U) + 1);
}

// Reading a configuration back parsed it as a whole: several times its size for each reader.
Test(traffic_configuration, written_configuration_is_what_was_submitted) {
  json object = Whole();
  object["note"] = {{"text", "\xC3\xA4 \" \\ ,[{"}, {"list", {1, 2.5, nullptr}}};
  object["limits"] = {{"body_bytes_maximum", 1'000}};
  traffic::ConfigurationStore store;
  cr_assert(ErrorOf(Attempt([&] { return store.Apply(Read(object), 1); })) == nullptr);
  const control::ConfigurationView view{store.current(), true, store.tenancy().tenants};
  cr_assert(json::parse(http::ToJson(view)) == object);
  json without = object;
  without.erase("tenants");
  cr_assert(json::parse(http::ToJson(store.current())) == without);
}
