// What a request's digest stands for.
#include "src/daemon/gateway/exchange_translator.h"

#include <criterion/criterion.h>

using namespace graniteseam;

namespace {

daemon::ExchangeNames Names() { return {"Id", "Left", "Key", "Target", "Seal", "Load", "Not-Run"}; }

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
