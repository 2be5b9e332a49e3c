#include "src/http/caller_request_parser.h"

#include <criterion/criterion.h>

using namespace graniteseam;

namespace {

httplib::Request Request(const std::string& target) {
  httplib::Request request;
  request.method = "GET";
  request.target = target;
  request.headers.emplace("Graniteseam-Group", "hostels");
  return request;
}

Outcome<http::CallerMessage> Parse(const httplib::Request& request) {
  return Attempt([&] { return http::ParseCallerRequest(request, "", "body"); });
}

}  // namespace

Test(caller_request_parser, reads_the_documented_form) {
  httplib::Request request = Request("/v1/services/readings/keys/a%2Fb/rest?keys/x");
  request.headers.emplace("Graniteseam-Deadline-Ms", "1500");
  request.headers.emplace("Idempotency-Key", "01890a5d-ac96-774b-bcce-b302099a8057");
  const auto outcome = Parse(request);
  const auto& message = std::get<http::CallerMessage>(outcome);
  cr_assert_eq(message.request.service.value, "readings");
  cr_assert_eq(*message.request.key, "a/b");
  cr_assert_eq(message.request.deadline->count(), 1'500'000);
  cr_assert_eq(message.forwarded.target, request.target);
  cr_assert_eq(message.request.request_digest.size(), 64);
}

Test(caller_request_parser, refuses_malformed_keys_and_numbers) {
  for (const char* target :
       {"/v1/services/readings/keys/%", "/v1/services/readings/keys/%4",
        "/v1/services/readings/keys/%zz", "/v1/services/readings/keys/a%0d%0aX:1",
        "/v1/services/readings/keys/", "/v1/services/", "/v2"}) {
    cr_assert_not_null(ErrorOf(Parse(Request(target))), "%s", target);
  }
  for (const char* deadline : {"-1", "1.5", "abc", "99999999999999999999"}) {
    httplib::Request request = Request("/v1/services/readings/keys/a");
    request.headers.emplace("Graniteseam-Deadline-Ms", deadline);
    cr_assert_not_null(ErrorOf(Parse(request)), "%s", deadline);
  }
}

Test(caller_request_parser, tells_requests_apart_under_one_operation_id) {
  httplib::Request one = Request("/v1/services/shut-offs/a");
  one.headers.emplace("Idempotency-Key", "01890a5d-ac96-774b-bcce-b302099a8057");
  httplib::Request two = one;
  two.target = "/v1/services/shut-offs/b";
  cr_assert_neq(std::get<http::CallerMessage>(Parse(one)).request.request_digest,
                std::get<http::CallerMessage>(Parse(two)).request.request_digest);
}
