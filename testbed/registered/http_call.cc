#include "testbed/registered/http_call.h"

#include <boost/asio/post.hpp>
#include <future>

namespace graniteseam::testbed {

namespace {

constexpr int kRedirectsMaximum = 2;
constexpr int kTemporaryRedirect = 307;

}  // namespace

event_http::CallResult HttpCaller::Call(const std::string& address,
                                        const event_http::Request& request, Duration limit) {
  std::promise<event_http::CallResult> ended;
  boost::asio::post(loop_.context(), [&] {
    event_http::Call call;
    call.address = address;
    call.bytes = event_http::Serialize(request);
    call.limit = limit;
    pool_.Start(std::move(call),
                [&ended](event_http::CallResult result) { ended.set_value(std::move(result)); });
  });
  return ended.get_future().get();
}

event_http::CallResult HttpCaller::CallFollowing(std::string address,
                                                 const event_http::Request& request,
                                                 Duration limit) {
  for (int redirects = 0;; ++redirects) {
    event_http::CallResult result = Call(address, request, limit);
    const std::string* location = result.response.fields.Find("Location");
    const bool redirected = result.end == event_http::CallEnd::kAnswered &&
                            result.response.status == kTemporaryRedirect && location != nullptr;
    if (!redirected || redirects == kRedirectsMaximum) return result;
    constexpr std::size_t kScheme = sizeof("http://") - 1;
    const std::string rest = location->substr(kScheme);
    address = rest.substr(0, rest.find('/'));
  }
}

}  // namespace graniteseam::testbed
