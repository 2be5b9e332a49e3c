// What a request's digest stands for, and what becomes of API keys.
#include "src/daemon/gateway/exchange_translator.h"

#include <criterion/criterion.h>

#include "src/gateway/attempt_record.h"
#include "src/runtime/secret_digest.h"

using namespace graniteseam;

namespace {

daemon::ExchangeNames Names() {
  return {"Id", "Left", "Key", "Target", "Seal", "Load", "Not-Run", "Answerer", "Warm-Up"};
}

event_http::Request Lookup() {
  event_http::Request request;
  request.method = "POST";
  request.target = "/lookup/7?x=1";
  request.fields.Add("Host", "a.example");
  request.fields.Add("Id", "one");
  request.fields.Add("Left", "800");
  request.fields.Add("Key", "17");
  request.body = "body";
  return request;
}

/// A refusal of a request that was never sent.
gateway::Refuse Refusal(int status, gateway::RefusalReason reason) {
  return {{1}, *gateway::AttemptRecord().not_run(), status, reason};
}

traffic::RequestDigest DigestOf(const event_http::Request& request) {
  return daemon::ExchangeTranslator(Names()).Read(request, {1}).digest;
}

}  // namespace

Test(exchange_translator, digest_is_the_same_when_a_request_comes_again) {
  event_http::Request again = Lookup();
  again.fields.Set("Id", "two");
  again.fields.Set("Left", "120");
  again.fields.Add("Connection", "close");
  cr_assert(DigestOf(again) == DigestOf(Lookup()));
  cr_assert_neq(DigestOf(again).value, 0);
}

Test(exchange_translator, digest_differs_with_all_that_a_server_acts_on) {
  event_http::Request other = Lookup();
  other.method = "PUT";
  cr_expect(DigestOf(other) != DigestOf(Lookup()));
  other = Lookup();
  other.target = "/lookup/7?x=2";
  cr_expect(DigestOf(other) != DigestOf(Lookup()));
  other = Lookup();
  other.fields.Set("Host", "b.example");
  cr_expect(DigestOf(other) != DigestOf(Lookup()));
  other = Lookup();
  other.fields.Set("Key", "18");
  cr_expect(DigestOf(other) != DigestOf(Lookup()));
  other = Lookup();
  other.body = "Body";
  cr_expect(DigestOf(other) != DigestOf(Lookup()));
}

/// Guards against the answer to another request, taken for that to a request without an id.
Test(exchange_translator, answer_that_names_an_attempt_belongs_to_no_request_without_one) {
  event_http::Request request = Lookup();
  request.fields.Remove("Id");
  event_http::CallResult result;
  result.end = event_http::CallEnd::kAnswered;
  result.response.status = 503;
  result.response.fields.Add("Not-Run", "1");
  const auto end = [&] {
    return daemon::ExchangeTranslator(Names()).Read(result, request, gateway::SendAttempt{}).end;
  };
  cr_assert(end() == gateway::AttemptEnd::kNotExecuted);
  result.response.fields.Add("Id", "another");
  cr_assert(end() == gateway::AttemptEnd::kUnusable);
}

namespace {

/// What is read of an answer that tells this of the server's load.
gateway::AttemptReport ReportWithLoad(const std::string& load) {
  event_http::CallResult result;
  result.end = event_http::CallEnd::kAnswered;
  result.response.status = 200;
  result.response.fields.Add("Id", "one");
  result.response.fields.Add("Seal", "s");
  result.response.fields.Add("Load", load);
  return daemon::ExchangeTranslator(Names()).Read(result, Lookup(), gateway::SendAttempt{});
}

}  // namespace

Test(exchange_translator, word_of_a_servers_load_is_read_with_three_figures_and_with_four) {
  const auto three = ReportWithLoad("3,1,8").load;
  cr_assert(three && three->running == 3 && three->waiting == 1 && three->slots == 8);
  cr_assert(!three->work_percent);
  const auto four = ReportWithLoad("3,1,8,300").load;
  cr_assert(four && four->slots == 8 && four->work_percent == 300);
}

Test(exchange_translator, word_of_a_load_that_is_none_is_left_out_and_told) {
  for (const char* load : {"", "x", "3", "3,1", "3,1,y", "-3,1,8", "3,1,8,0", "3,1,8,-1", "nan,1,8",
                           "3,1,8,nan", "inf,1,8", "3,1,8,1e9"}) {
    const auto report = ReportWithLoad(load);
    cr_expect(!report.load && report.load_unreadable, "%s was taken", load);
    cr_expect(report.end == gateway::AttemptEnd::kAnswered, "its answer is sound");
  }
}

// --- API keys ---

namespace {

daemon::ExchangeTranslator TenantTranslator() {
  daemon::ExchangeNames names = Names();
  names.tenant = "Tenant-Name";
  return daemon::ExchangeTranslator(names);
}

traffic::KeyDigest KeyOf(const std::vector<std::string>& authorizations) {
  event_http::Request request = Lookup();
  for (const std::string& value : authorizations) request.fields.Add("Authorization", value);
  return TenantTranslator().Read(request, {1}).api_key;
}

}  // namespace

Test(exchange_translator, key_is_known_by_its_digest) {
  cr_assert_eq(KeyOf({"Bearer secret"}), runtime::SecretDigest("secret"));
  cr_assert_eq(KeyOf({"bearer   secret"}), runtime::SecretDigest("secret"));
  cr_assert(KeyOf({}).empty());
  cr_assert(KeyOf({"Basic c2VjcmV0"}).empty());
  cr_assert(KeyOf({"Bearer "}).empty());
  // Which one counts is not told.
  cr_assert(KeyOf({"Bearer secret", "Bearer other"}).empty());
}

Test(exchange_translator, server_sees_no_key_and_the_tenant_from_the_gateway_alone) {
  event_http::Request request = Lookup();
  request.fields.Add("authorization", "Bearer secret");
  for (const char* spelled : {"Tenant-Name", "tenant-name", "TENANT_NAME", "Tenant_name"}) {
    request.fields.Add(spelled, "forged");
  }
  gateway::SendAttempt send;
  send.instance = {"i-1"};
  send.hides_api_key = true;
  send.tenant = {"t-1"};
  const std::string bytes = TenantTranslator().ForServer(request, send);
  cr_assert(bytes.find("secret") == std::string::npos, "%s", bytes.c_str());
  cr_assert(bytes.find("forged") == std::string::npos, "%s", bytes.c_str());
  cr_assert(bytes.find("Tenant-Name: t-1\r\n") != std::string::npos, "%s", bytes.c_str());
  send.tenant = {};
  const std::string anonymous = TenantTranslator().ForServer(request, send);
  cr_assert(anonymous.find("Tenant-Name") == std::string::npos);
}

Test(exchange_translator, without_tenants_all_header_fields_are_passed_on) {
  event_http::Request request = Lookup();
  request.fields.Add("Authorization", "Bearer secret");
  gateway::SendAttempt send;
  send.instance = {"i-1"};
  const std::string bytes = TenantTranslator().ForServer(request, send);
  cr_assert(bytes.find("Authorization: Bearer secret\r\n") != std::string::npos);
}

Test(exchange_translator, refusal_of_a_key_tells_the_scheme_and_not_the_key) {
  event_http::Request request = Lookup();
  request.fields.Add("Authorization", "Bearer secret");
  const gateway::Refuse refusal = Refusal(401, gateway::RefusalReason::kUnknownApiKey);
  const auto response = TenantTranslator().ForCaller(refusal, request);
  cr_assert_eq(*response.fields.Find("WWW-Authenticate"), "Bearer");
  cr_assert(event_http::Serialize(response, false).find("secret") == std::string::npos);
}

namespace {

/// What an answer to Lookup() with this status and these fields states.
gateway::BackPressure Stated(int status, const std::vector<event_http::HeaderField>& fields,
                             const std::string& id = "one") {
  daemon::ExchangeNames names = Names();
  names.limit = "Limit";
  names.leaving = "Leaving";
  event_http::CallResult result;
  result.end = event_http::CallEnd::kAnswered;
  result.response.status = status;
  result.response.fields.Add("Id", id);
  result.response.fields.Add("Seal", "s");
  for (const event_http::HeaderField& field : fields) {
    result.response.fields.Add(field.name, field.value);
  }
  return daemon::ExchangeTranslator(names).Read(result, Lookup(), gateway::SendAttempt{}).pressure;
}

}  // namespace

/// Guards against back-pressure that is lost between a server's answer and what decides on
/// requests.
Test(exchange_translator, reads_limits_rests_and_leavings_of_servers) {
  cr_expect(Stated(200, {{"limit", "5.25"}}).limit_per_second == 5.25);
  cr_expect(Stated(500, {{"Limit", "0"}}).limit_per_second == 0.0);
  cr_expect(Stated(200, {{"Leaving", "1"}}).leaving);
  cr_expect(!Stated(200, {{"Leaving", "0"}}).leaving);
  const auto resting = Stated(503, {{"Not-Run", "1"}, {"Retry-After", "1.5"}});
  cr_assert(resting.rest && *resting.rest == std::chrono::milliseconds(1'500));
  cr_expect(!Stated(500, {{"Retry-After", "3"}}).rest, "only a 503 asks for rest");
}

Test(exchange_translator, takes_no_limit_or_rest_from_what_is_none) {
  for (const char* const text : {"", "-1", "5 a second", "nan", "inf", "1e3", "1e400", "0x10"}) {
    const auto limit = Stated(200, {{"Limit", text}});
    cr_expect(!limit.limit_per_second && limit.unreadable, "limit %s", text);
    const auto rest = Stated(503, {{"Retry-After", text}});
    cr_expect(!rest.rest && rest.unreadable, "rest %s", text);
  }
  cr_expect(Stated(503, {{"Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT"}}).unreadable);
  cr_expect(Stated(200, {{"Leaving", "yes"}}).unreadable);
  const auto twice = Stated(200, {{"Limit", "7"}, {"Limit", "none"}, {"Limit", "3"}});
  cr_expect(twice.limit_per_second == 3.0, "the lowest that can be read");
}

/// Another instance at the server's address, or another request's answer, speaks for itself.
Test(exchange_translator, takes_no_back_pressure_from_another_answerer) {
  cr_expect(!Stated(421, {{"Limit", "5"}}).limit_per_second);
  cr_expect(!Stated(200, {{"Limit", "5"}}, "two").limit_per_second);
}

namespace {

/// The request that a gateway reads when another one forwards Lookup() to it.
event_http::Request Forwarded(const gateway::ForwardRequest& forward) {
  const std::string bytes = daemon::ExchangeTranslator(Names()).ForPeer(Lookup(), forward);
  event_http::Request request = Lookup();
  request.fields = {};
  std::size_t at = bytes.find("\r\n") + 2;
  for (std::size_t end = bytes.find("\r\n", at); end > at; end = bytes.find("\r\n", at)) {
    const std::string line = bytes.substr(at, end - at);
    request.fields.Add(line.substr(0, line.find(": ")), line.substr(line.find(": ") + 2));
    at = end + 2;
  }
  return request;
}

gateway::AttemptReport AnswerOfPeer(const event_http::Response& answer) {
  event_http::CallResult result;
  result.end = event_http::CallEnd::kAnswered;
  result.response = answer;
  return daemon::ExchangeTranslator(Names()).Read(result, Lookup(), gateway::ForwardRequest{});
}

}  // namespace

/// Guards against a time limit, or the gateway's own delay, that is read as a failed connection.
Test(exchange_translator, failed_call_is_read_with_its_cause) {
  using event_http::CallFault;
  using gateway::FailureCause;
  const std::pair<CallFault, FailureCause> causes[] = {
      {CallFault::kConnection, FailureCause::kConnection},
      {CallFault::kTimeout, FailureCause::kTimeout},
      {CallFault::kDelay, FailureCause::kDelay}};
  const daemon::ExchangeTranslator translator(Names());
  for (const auto& [fault, cause] : causes) {
    event_http::CallResult result;
    result.end = event_http::CallEnd::kNotSent;
    result.fault = fault;
    cr_assert(translator.Read(result, Lookup(), gateway::SendAttempt{}).cause == cause);
    cr_assert(translator.Read(result, Lookup(), gateway::ForwardRequest{}).cause == cause);
  }
}

/// Guards against a hop that loses the deadline, or what the next gateway may do with the request.
Test(exchange_translator, forwarded_request_is_read_as_its_caller_sent_it_with_its_limits) {
  const daemon::ExchangeTranslator translator(Names());
  gateway::ForwardRequest forward;
  forward.time_left = std::chrono::milliseconds(431);
  forward.hop = {{12}, 1};
  const event_http::Request request = Forwarded(forward);
  const gateway::ArrivedRequest arrived = translator.Read(request, {1});
  cr_assert(arrived.hop.has_value());
  cr_expect_eq(arrived.hop->configuration.value, 12);
  cr_expect_eq(arrived.hop->attempts, 1);
  cr_expect(arrived.time_left == std::chrono::milliseconds(431));
  cr_expect(arrived.digest == DigestOf(Lookup()));
  cr_expect(arrived.key == translator.Read(Lookup(), {1}).key);
  cr_expect(translator.AttemptId(request) == "one");
  cr_expect(!translator.Read(Lookup(), {1}).hop);
  const std::string for_server = translator.ForServer(request, {});
  cr_expect(for_server.find("Hop") == std::string::npos, "%s", for_server.c_str());
}

Test(exchange_translator,
     gateway_that_forwarded_learns_whose_answer_it_is_and_its_caller_does_not) {
  const daemon::ExchangeTranslator translator(Names());
  event_http::Response answer;
  answer.status = 200;
  answer.fields.Add("Id", "one");
  answer.fields.Add("Seal", "s");
  gateway::HopReport hop;
  hop.server = traffic::InstanceId{"i-1"};
  hop.configuration = {12};
  const auto told = translator.ForCaller(answer, hop);
  const auto report = AnswerOfPeer(told);
  cr_expect(report.end == gateway::AttemptEnd::kAnswered && !report.hop.declined);
  cr_assert(report.hop.server.has_value());
  cr_expect(report.hop.server->value == "i-1");
  cr_expect_eq(report.hop.configuration.value, 12);
  const auto passed_on = event_http::Serialize(translator.ForCaller(told, std::nullopt), false);
  cr_expect(passed_on.find("Hop") == std::string::npos, "%s", passed_on.c_str());
}

/// Guards against a peer's Retry-After that counts as a server's request to back off.
Test(exchange_translator, refusal_of_a_peer_states_nothing_of_a_server) {
  gateway::Refuse refusal = Refusal(503, gateway::RefusalReason::kOverloaded);
  refusal.retry_after = std::chrono::seconds(1);
  const auto answer = daemon::ExchangeTranslator(Names()).ForCaller(refusal, Lookup());
  cr_expect(!AnswerOfPeer(answer).pressure.rest);
}

Test(exchange_translator, gateway_that_declines_says_so_to_a_gateway_alone) {
  const daemon::ExchangeTranslator translator(Names());
  gateway::Refuse refusal = Refusal(503, gateway::RefusalReason::kPartitioned);
  cr_expect(!AnswerOfPeer(translator.ForCaller(refusal, Lookup())).hop.declined);
  refusal.declines_hop = true;
  cr_expect(AnswerOfPeer(translator.ForCaller(refusal, Lookup())).hop.declined);
}
