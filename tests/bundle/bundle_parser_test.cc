#include <criterion/criterion.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

#include "graniteseam/bundle/bundle.h"
#include "tests/bundle/bundle_samples.h"

using graniteseam::Attempt;
using graniteseam::Error;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::bundle::Bundle;
using graniteseam::bundle::Compare;
using graniteseam::bundle::Digest;
using graniteseam::bundle::FieldChange;
using graniteseam::bundle::ParseBundle;
using graniteseam::bundle::ServiceKind;
using graniteseam::test::kSampleToml;
using graniteseam::test::Parsed;

namespace {

Error FaultsOf(const std::string& text) {
  const auto outcome = Attempt([&] { return ParseBundle(text, "bundle.toml"); });
  const Error* error = ErrorOf(outcome);
  cr_assert(error != nullptr, "the bundle was taken");
  return *error;
}

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const auto position = text.find(from);
  cr_assert(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

void AssertFault(const std::string& from, const std::string& to, const std::string& expected) {
  const Error error = FaultsOf(Replaced(kSampleToml, from, to));
  cr_assert(error.kind == ErrorKind::kInvalidBundle);
  cr_assert(error.message.find(expected) != std::string::npos, "\"%s\" is not in: %s",
            expected.c_str(), error.message.c_str());
  cr_assert(error.message.find("1 fault:") != std::string::npos, "%s", error.message.c_str());
}

}  // namespace

Test(bundle_parser, reads_every_field_and_fills_in_defaults) {
  const Bundle bundle = Parsed(kSampleToml);
  cr_assert(bundle.version.value == 3);
  cr_assert(bundle.author == "ayse");
  cr_assert(bundle.services.size() == 2);
  const auto* transcripts = bundle.FindService({"transcripts"});
  cr_assert(transcripts->kind == ServiceKind::kKeyed);
  cr_assert(transcripts->repeatable && transcripts->hedging);
  cr_assert(transcripts->shard_count == 64);
  cr_assert(transcripts->weights.unavailability == 3);
  cr_assert(transcripts->weights.churn == 1);
  cr_assert(transcripts->deadline_ms == 2000);
  cr_assert(bundle.FindService({"billing"})->operation_retention_ms == 3'600'000);
  const auto* group = bundle.FindGroup({"carrier-a"});
  cr_assert(group->services.size() == 2);
  cr_assert(group->key_prefix == "a/");
  cr_assert(group->share == 2.5);
  cr_assert(bundle.FindService({"absent"}) == nullptr);
}

Test(bundle_parser, names_line_key_and_remedy_of_each_broken_rule) {
  AssertFault("version = 3", "version = 0", "bundle.toml:1: version: 0 is out of range. Remedy:");
  AssertFault("version = 3", "", ": version: The key is missing. Remedy:");
  AssertFault("\"ayse\"", "\"Ayse K\"", "bundle.toml:2: author: The author's name");
  AssertFault("\"keyed\"", "\"striped\"", "services.transcripts.kind: The kind is not known.");
  AssertFault("\"keyed\"", "\"\"", "services.transcripts.kind: The kind is not known.");
  AssertFault("shard_count = 64", "shard_count = 0", "transcripts.shard_count: 0 is out of range");
  AssertFault("kind = \"keyed\"", "", "services.transcripts.kind: The key is missing.");
  AssertFault("shard_count = 64", "", "services.transcripts.shard_count: A keyed service needs");
  AssertFault("shard_count = 64", "shard_count = 1e2", "shard_count: The value has the wrong type");
  AssertFault("repeatable = false", "repeatable = false\nshard_count = 4",
              "services.billing.shard_count: A pooled service has no shards.");
  AssertFault("repeatable = false", "repeatable = false\nhedging = true",
              "services.billing.hedging: Hedging sends a request twice");
  AssertFault("3600000", "20000", "operation_retention_ms: It is not above deadline_maximum_ms.");
  AssertFault("hedging = true", "operation_retention_ms = 60000", "has no operation journal");
  AssertFault("hedging = true", "deadline_ms = 40000", "deadline_ms: It is above deadline_maximum");
  AssertFault("hedging = true", "leese_ms = 400", "services.transcripts.leese_ms: The key is not");
  AssertFault("unavailability = 3", "unavailability = 0\nchurn = 0\nimbalance = 0.0",
              "services.transcripts.weights.unavailability: All weights are 0.");
  AssertFault("unavailability = 3", "unavailability = nan", "The number is out of range.");
  AssertFault("share = 2.5", "share = 0", "groups.carrier-a.share: The share must be above 0.");
  AssertFault("\"billing\"]", "\"biling\"]", "no service \"biling\"");
  AssertFault("\"billing\"]", "\"transcripts\"]", "Service \"transcripts\" is named twice.");
  AssertFault("[groups.carrier-a]", "[groups.Carrier]", "groups.Carrier: The name is not allowed.");
  AssertFault("kind = \"pooled\"", "kind = ", "bundle.toml:13: ");
}

Test(bundle_parser, tells_all_faults_at_once_in_the_order_of_lines) {
  const Error error = FaultsOf("version = -1\nauthor = \"\"\n[services.x]\nkind = 7\n");
  cr_assert(error.message.find("5 faults:") != std::string::npos, "%s", error.message.c_str());
  const auto version = error.message.find("bundle.toml:1: version");
  const auto author = error.message.find("bundle.toml:2: author");
  const auto kind = error.message.find("bundle.toml:4: services.x.kind");
  cr_assert(version < author && author < kind && kind != std::string::npos);
  cr_assert(error.message.find("services.x.repeatable: The key is missing") != std::string::npos);
  cr_assert(error.message.find("groups: At least one is needed") != std::string::npos);
}

Test(bundle_parser, refuses_an_oversize_text_before_reading_it) {
  cr_assert(FaultsOf(std::string((1 << 20) + 1, '[')).kind == ErrorKind::kTooLarge);
}

Test(canonical_text, does_not_depend_on_order_spacing_or_comments) {
  const std::string other =
      "# the same\n[groups.carrier-a]\nshare=2.5\nkey_prefix='a/'\nservices=['billing',"
      "'transcripts']\n[services.billing]\noperation_retention_ms=3_600_000\nrepeatable=false\n"
      "kind='pooled'\n[services.transcripts.weights]\nunavailability=3.0\n[services.transcripts]\n"
      "hedging=true\nshard_count=64\nrepeatable=true\nkind='keyed'\n";
  const Bundle bundle = Parsed("author='ayse'\nversion=3\n" + other);
  cr_assert(Digest(bundle) == Digest(Parsed(kSampleToml)));
  Bundle reversed = bundle;
  std::swap(reversed.services[0], reversed.services[1]);
  std::swap(reversed.groups[0].services[0], reversed.groups[0].services[1]);
  cr_assert(Digest(reversed) == Digest(bundle));
}

Test(canonical_text, changes_with_every_meaningful_difference) {
  const std::string digest = Digest(Parsed(kSampleToml));
  cr_assert(digest.size() == 64);
  const std::pair<const char*, const char*> changes[] = {{"version = 3", "version = 4"},
                                                         {"ayse", "mehmet"},
                                                         {"count = 64", "count = 65"},
                                                         {"unavailability = 3", "churn = 3"},
                                                         {"share = 2.5", ""},
                                                         {"\"a/\"", "\"b/\""},
                                                         {", \"billing\"", ""},
                                                         {"3600000", "360000"},
                                                         {"hedging = true", ""}};
  for (const auto& [from, to] : changes) {
    cr_assert(Digest(Parsed(Replaced(kSampleToml, from, to))) != digest, "%s", from);
  }
}

Test(bundle_comparison, names_fields_that_changed_went_or_came) {
  const Bundle before = Parsed(kSampleToml);
  cr_assert(Compare(before, before).empty());
  Bundle after = before;
  after.services[0].lease_ms = 700;
  after.groups[0].name = {"carrier-z"};
  const auto changes = Compare(before, after);
  const auto has = [&](const FieldChange& wanted) {
    return std::find(changes.begin(), changes.end(), wanted) != changes.end();
  };
  cr_assert(has({"services.billing.lease_ms", "600", "700"}));
  cr_assert(has({"groups.carrier-a.share", "2.5", std::nullopt}));
  cr_assert(has({"groups.carrier-z.services", std::nullopt, "[\"billing\", \"transcripts\"]"}));
}

Test(bundle_parser, takes_the_ready_examples) {
  for (const char* name : {"transcription", "heat-network"}) {
    std::ifstream file(std::string(GRANITESEAM_SOURCE_DIR "/examples/") + name + "/bundle.toml");
    std::stringstream text;
    text << file.rdbuf();
    const Bundle bundle = Parsed(text.str());
    cr_assert(bundle.services.size() == 3, "%s", name);
    const auto keyed =
        std::count_if(bundle.services.begin(), bundle.services.end(),
                      [](const auto& service) { return service.kind == ServiceKind::kKeyed; });
    const auto once = std::count_if(bundle.services.begin(), bundle.services.end(),
                                    [](const auto& service) { return !service.repeatable; });
    cr_assert(keyed == 1 && once == 1, "%s", name);
  }
}
