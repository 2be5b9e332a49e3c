// Heartbeats and their answers as JSON; docs/interface/traffic.md.
#include <criterion/criterion.h>

#include "src/http/traffic_json.h"

using namespace graniteseam;

namespace {

constexpr char kCommon[] =
    R"("service":"s","address":"10.0.0.1:80","zone":"a","slots":3,"sequence":4)";

std::string HeartbeatWith(const std::string& members) {
  return "{" + std::string(kCommon) + members + "}";
}

bool IsMalformed(const std::string& members) {
  const auto read = Attempt([&] { return http::ReadHeartbeat(HeartbeatWith(members), {"i-1"}); });
  const Error* const error = ErrorOf(read);
  return error != nullptr && error->kind == ErrorKind::kMalformedMessage;
}

}  // namespace

Test(heartbeat_json, keys_are_read) {
  const auto read = Attempt([&] {
    return http::ReadHeartbeat(
        HeartbeatWith(R"(,"keys_held":[[0,9,7]],"keys_released":[[10,20,"ab"]])"), {"i-1"});
  });
  cr_assert(ErrorOf(read) == nullptr);
  const auto& heartbeat = std::get<control::ReportInstance>(read);
  cr_assert(heartbeat.report.slots == 3 && heartbeat.report.sequence == 4);
  cr_assert(heartbeat.keys.held.size() == 1 && heartbeat.keys.released.size() == 1);
  const traffic::HeldSpan held{{0, 9}, traffic::Fence{7}};
  const traffic::ReleasedSpan released{{10, 20}, "ab"};
  cr_assert(heartbeat.keys.held.front() == held);
  cr_assert(heartbeat.keys.released.front() == released);
}

Test(heartbeat_json, heartbeat_without_keys_holds_none) {
  const auto read = Attempt([&] { return http::ReadHeartbeat(HeartbeatWith(""), {"i-1"}); });
  cr_assert(ErrorOf(read) == nullptr);
  cr_assert(std::get<control::ReportInstance>(read).keys == traffic::HeldKeys{});
}

Test(heartbeat_json, malformed_rows_are_refused) {
  for (const char* rows :
       {R"(7)", R"([7])", R"([[0,9]])", R"([[0,9,7,8]])", R"([[9,0,7]])", R"([[0,65536,7]])",
        R"([[-1,9,7]])", R"([[0,9,-7]])", R"([["0",9,7]])", R"([[0,9.5,7]])", R"([[0,9,null]])"}) {
    cr_assert(IsMalformed(std::string(",\"keys_held\":") + rows), "%s was taken", rows);
  }
  for (const char* rows : {R"([[0,9,7]])", R"([[0,9]])", R"([[9,0,"a"]])", R"({"0":9})"}) {
    cr_assert(IsMalformed(std::string(",\"keys_released\":") + rows), "%s was taken", rows);
  }
}

Test(heartbeat_json, answer_lists_leases_and_next_address) {
  traffic::KeyLeases leases;
  leases.spans.push_back({{0, 9}, traffic::Fence{7}, "token"});
  leases.length_ms = 3'000;
  cr_assert(http::HeartbeatAnswerJson(&leases, "10.0.0.2:81") ==
            R"({"hold_ms":3000,"keys_held":[[0,9,7,"token"]],"next_address":"10.0.0.2:81"})");
  // All keys are to be let go: unlike an answer that does not speak of keys.
  const traffic::KeyLeases none;
  cr_assert(http::HeartbeatAnswerJson(&none, "") == R"({"hold_ms":0,"keys_held":[]})");
  cr_assert(http::HeartbeatAnswerJson(nullptr, "") == "{}");
}

Test(heartbeat_json, unknown_form_of_leases_is_refused) {
  const auto read_form = [](const std::string& form) {
    return Attempt([&] {
      return http::ReadConfiguration(
          R"({"version":1,"routes":[],"services":[{"name":"s","keyed":true,"grants":)" + form +
              "}]}",
          {});
    });
  };
  const auto known = read_form("\"heartbeat\"");
  cr_assert(ErrorOf(known) == nullptr);
  const auto& change = std::get<traffic::ConfigurationChange>(known);
  cr_assert(change.services.front().lease_form == traffic::LeaseForm::kHeartbeat);
  for (const char* form : {"\"pigeon\"", "7", "true"}) {
    const auto unknown = read_form(form);
    const Error* const error = ErrorOf(unknown);
    cr_assert(error != nullptr && error->kind == ErrorKind::kMalformedMessage, "%s", form);
  }
}

Test(heartbeat_json, heartbeat_that_can_not_be_used_is_refused) {
  for (const char* members : {R"(,"state":"serving")",
                              R"(,"state":7)",
                              R"(,"state":"")",
                              R"(,"slots":"3")",
                              R"(,"slots":-1)",
                              R"(,"slots":4000000)",
                              R"(,"address":"")",
                              R"(,"address":"host:80")",
                              R"(,"address":"10.0.0.1")",
                              R"(,"address":"10.0.0.1:0")",
                              R"(,"address":"10.0.0.1:70000")",
                              R"(,"address":["10.0.0.1:80"])",
                              R"(,"service":"")",
                              R"(,"service":null)",
                              R"(,"zone":4)",
                              R"(,"sequence":"9")",
                              R"(,"sequence":null)",
                              R"(,"warmup_left_ms":"3s")",
                              R"(,"born":"x")",
                              R"(,"born":-5)",
                              R"(,"version":{})"}) {
    cr_assert(IsMalformed(members), "%s was taken", members);
  }
  for (const char* text : {"", "{", "[]", "null", "\"a\"", "{\"service\":\"s\"", "\xff\xfe"}) {
    const auto read = Attempt([&] { return http::ReadHeartbeat(text, {"i-1"}); });
    cr_assert(ErrorOf(read) != nullptr, "%s was taken", text);
  }
}

Test(heartbeat_json, start_of_a_life_is_part_of_the_instance) {
  const auto read = Attempt(
      [&] { return http::ReadHeartbeat(HeartbeatWith(R"(,"born":1796245000000)"), {"i-1"}); });
  cr_assert(ErrorOf(read) == nullptr);
  const auto& report = std::get<control::ReportInstance>(read).report;
  cr_assert(report.id == traffic::MakeInstanceId("i-1", 1'796'245'000'000));
  const auto doubled = Attempt([&] { return http::ReadHeartbeat(HeartbeatWith(""), {"i-1~5"}); });
  cr_assert(ErrorOf(doubled) != nullptr, "a name that looks like a life was taken");
}
