#include "testbed/registered/late_heartbeats.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace graniteseam::testbed {

namespace {

constexpr Duration kCallLimit{1'000'000};
constexpr int kRedirectsMaximum = 2;
constexpr int kRedirected = 307;

}  // namespace

auto LateHeartbeats::Deliver(std::string const& registry, WorkerBeat const& beat, Duration after)
    -> void {
  boost::asio::post(loop_.context(), [this, registry, beat, after] {
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_.context(), after);
    timer->async_wait([this, timer, registry, beat](auto) { Send(registry, beat, 0); });
  });
}

auto LateHeartbeats::Send(std::string const& registry, WorkerBeat const& beat, int redirects)
    -> void {
  event_http::Request request;
  request.method = "POST";
  request.target = beat.target;
  request.fields.Add("Host", registry);
  request.body = beat.body;
  event_http::Call call;
  call.address = registry;
  call.bytes = event_http::Serialize(request);
  call.limit = kCallLimit;
  pool_.Start(std::move(call), [this, beat, redirects](event_http::CallResult const& result) {
    auto const* location = result.response.fields.Find("Location");
    auto const redirected = result.end == event_http::CallEnd::kAnswered &&
                            result.response.status == kRedirected && location != nullptr;
    if (!redirected || redirects == kRedirectsMaximum) return;
    constexpr std::size_t kScheme = sizeof("http://") - 1;
    auto const rest = location->substr(kScheme);
    Send(rest.substr(0, rest.find('/')), beat, redirects + 1);
  });
}

}  // namespace graniteseam::testbed
