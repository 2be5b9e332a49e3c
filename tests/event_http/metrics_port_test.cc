#include "src/event_http/metrics_port.h"

#include <criterion/criterion.h>

#include "src/runtime/event_loop.h"
#include "tests/support/raw_client.h"

using namespace graniteseam;
using namespace graniteseam::event_http;

namespace {

std::string Ask(std::uint16_t port, const std::string& path) {
  test::RawClient client(port);
  client.Send("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  bool closed = false;
  return client.ReadToEnd(closed);
}

}  // namespace

Test(metrics_port, tells_the_statistics_and_nothing_else) {
  runtime::EventLoop loop;
  runtime::MetricsRegistry registry;
  registry.Counter(runtime::Metric::kGatewaySends).Increment();
  const auto port = OpenMetricsPort(loop.context(), {"127.0.0.1", 0}, registry);
  cr_assert(port != nullptr);
  const std::string text = Ask(port->port(), "/metrics");
  cr_assert(text.find(" 200 ") != std::string::npos);
  cr_assert(text.find("graniteseam_gateway_sends_total 1") != std::string::npos, "%s",
            text.c_str());
  cr_assert(Ask(port->port(), "/other").find(" 404 ") != std::string::npos);
  loop.Stop();
}

Test(metrics_port, port_that_is_taken_costs_no_more_than_the_statistics) {
  runtime::EventLoop loop;
  runtime::MetricsRegistry registry;
  const auto first = OpenMetricsPort(loop.context(), {"127.0.0.1", 0}, registry);
  cr_assert(first != nullptr);
  cr_assert(OpenMetricsPort(loop.context(), {"127.0.0.1", first->port()}, registry) == nullptr);
  cr_assert(Ask(first->port(), "/metrics").find(" 200 ") != std::string::npos);
  loop.Stop();
}

Test(metrics_port, without_an_address_there_is_none) {
  runtime::EventLoop loop;
  const runtime::MetricsRegistry registry;
  cr_assert(OpenMetricsPort(loop.context(), {}, registry) == nullptr);
  loop.Stop();
}
