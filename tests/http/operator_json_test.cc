#include "src/http/operator_json.h"

#include <criterion/criterion.h>

using graniteseam::Attempt;
using graniteseam::Error;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using namespace graniteseam::control;  // NOLINT(google-build-using-namespace)
using namespace graniteseam::http;     // NOLINT(google-build-using-namespace)

namespace {

FleetView SampleFleet() {
  FleetView view;
  view.leader = {{1}, {0xfedcba9876543210}, "127.0.0.1:7001", {"zone-1"}};
  view.membership.voters = {*view.leader};
  view.servers = {{{{"server-1"}, {"transcripts"}, "127.0.0.1:8001", {"zone-1"}, true, 0.25},
                   true,
                   false,
                   350,
                   100}};
  view.routers = {{"router-1", "router", {4}, 12}};
  view.shard_moves = 9;
  return view;
}

}  // namespace

Test(operator_json, writes_documented_names_and_reads_them_back) {
  const std::string json = ToJson(SampleFleet());
  cr_assert(json.find("\"disk\":\"18364758544493064720\"") != std::string::npos, "%s",
            json.c_str());
  const auto view = std::get<FleetView>(Attempt([&] { return ReadFleetView(json); }));
  cr_assert(ToJson(view) == json);
  cr_assert(view.leader->disk.value == 0xfedcba9876543210);
  cr_assert(view.servers[0].entry.load_hint == 0.25);
}

Test(operator_json, writes_enumerators_in_snake_case) {
  ChangeMembership change{ChangeMembership::Kind::kAddLearner, {}};
  const std::string json = ToJson(change);
  cr_assert(json.find("\"kind\":\"add_learner\"") != std::string::npos, "%s", json.c_str());
  change = std::get<ChangeMembership>(Attempt([&] { return ReadMembershipBody(json); }));
  cr_assert(change.kind == ChangeMembership::Kind::kAddLearner);
}

Test(operator_json, names_the_member_of_a_request_that_is_at_fault) {
  const std::pair<const char*, const char*> faults[] = {
      {"", "not JSON"},
      {"[]", "not an object"},
      {"{}", "\"kind\" is not given"},
      {R"({"kind":"demote"})", "\"kind\" is not one of: add_learner, promote, remove"},
      {R"({"kind":"remove","member":{"id":-1}})", "\"member.id\" is not an integer"},
      {R"({"kind":"remove","member":{"id":1.5}})", "\"member.id\" is not an integer"},
      {R"({"kind":"remove","member":{"id":1,"disk":"12x"}})", "\"member.disk\" is not a string of"},
      {R"({"kind":"remove","member":{"id":1,"disk":"1"}})", "\"member.address\" is not given"}};
  for (const auto& [json, expected] : faults) {
    const auto outcome = Attempt([&, text = json] { return ReadMembershipBody(text); });
    const Error* error = ErrorOf(outcome);
    cr_assert(error != nullptr && error->kind == ErrorKind::kMalformedMessage, "%s", json);
    cr_assert(error->message.find(expected) != std::string::npos, "%s", error->message.c_str());
  }
}

Test(operator_json, reads_answers_of_other_versions) {
  const auto view = std::get<BundlesView>(
      Attempt([] { return ReadBundlesView(R"({"in_force":7,"added_later":{"x":[1]}})"); }));
  cr_assert(view.in_force.value == 7 && view.bundles.empty());
}

Test(operator_json, carries_each_kind_of_error_there_and_back) {
  for (int kind = 0; kind <= static_cast<int>(ErrorKind::kInternal); ++kind) {
    const OperatorProblem sent{{static_cast<ErrorKind>(kind), "What.", "Do."}, "127.0.0.1:1"};
    const OperatorProblem read = ReadOperatorProblem(HttpStatus(sent.error.kind), ToJson(sent));
    cr_assert(read.error.kind == sent.error.kind && read.leader == sent.leader);
    cr_assert(read.error.message == "What." && read.error.remedy == "Do.");
  }
  cr_assert(ReadOperatorProblem(404, "<html>").error.kind == ErrorKind::kInternal);
}
