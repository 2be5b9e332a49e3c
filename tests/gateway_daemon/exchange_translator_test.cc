// What a request's digest stands for.
#include "src/daemon/gateway/exchange_translator.h"

#include <criterion/criterion.h>

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

namespace {

/// What is read of an answer that tells this of the server's load.
gateway::AttemptReport ReportWithLoad(const std::string& load) {
  event_http::CallResult result;
  result.end = event_http::CallEnd::kAnswered;
  result.response.status = 200;
  result.response.fields.Add("Id", "one");
  result.response.fields.Add("Seal", "s");
  result.response.fields.Add("Load", load);
  return daemon::ExchangeTranslator(Names()).Read(result, Lookup(), {});
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
