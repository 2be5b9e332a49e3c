#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <set>

#include "src/runtime/clock.h"
#include "src/runtime/json_text.h"
#include "src/runtime/metrics.h"
#include "src/runtime/socket_address.h"
#include "src/runtime/stop_signals.h"

namespace runtime = graniteseam::runtime;
using graniteseam::Attempt;
using graniteseam::ErrorOf;
using graniteseam::runtime::Metric;

Test(clock, never_goes_back) {
  graniteseam::Instant last = runtime::BootTimeNow();
  for (int reading = 0; reading < 1000; ++reading) {
    const graniteseam::Instant now = runtime::BootTimeNow();
    cr_assert(now >= last);
    last = now;
  }
  cr_assert(runtime::RandomBits() != runtime::RandomBits());
}

Test(socket_address, reads_back_what_it_writes_and_refuses_the_rest) {
  for (const char* text : {"127.0.0.1:7000", "[::1]:80", "10.0.0.1:0"}) {
    const auto parsed = Attempt([&] { return runtime::ParseSocketAddress(text); });
    cr_assert(ErrorOf(parsed) == nullptr);
    cr_assert(runtime::ToString(std::get<runtime::SocketAddress>(parsed)) == text);
  }
  for (const char* text : {"", ":", "localhost:1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                           "::1:80", "[127.0.0.1]:80", "127.0.0.1:80x", "127.0.0.1:-1"}) {
    cr_assert(ErrorOf(Attempt([&] { return runtime::ParseSocketAddress(text); })) != nullptr,
              "%s was taken", text);
  }
  cr_assert(runtime::IsLoopback({"127.0.0.9", 1}) && runtime::IsLoopback({"::1", 1}));
  cr_assert(!runtime::IsLoopback({"0.0.0.0", 1}) && !runtime::IsLoopback({"::", 1}));
}

Test(stop_signals, sees_a_signal) {
  runtime::StopSignals stop;
  cr_assert(!stop.WaitFor(graniteseam::Duration(0)));
  std::raise(SIGTERM);
  cr_assert(stop.WaitFor(std::chrono::seconds(60)));
}

Test(stop_signals, sees_a_request_from_inside) {
  runtime::StopSignals stop;
  stop.RequestStop();
  stop.Wait();
}

Test(json_text, keeps_a_message_within_its_line) {
  cr_assert(runtime::EscapeJson("a\"b\\c\nd\x01") == "a\\\"b\\\\c\\nd\\u0001");
  cr_assert(runtime::EscapeControlCharacters("x\r\n\"y\"") == "x\\r\\n\"y\"");
}

Test(metrics, list_stands_in_the_order_of_its_enumeration_without_doubles) {
  std::set<std::string_view> names;
  for (std::size_t index = 0; index < runtime::kMetricList.size(); ++index) {
    const runtime::MetricDescription& description = runtime::kMetricList[index];
    cr_assert(static_cast<std::size_t>(description.metric) == index);
    cr_assert(description.name.starts_with("graniteseam_"));
    cr_assert(!description.help.empty());
    cr_assert((description.type == runtime::MetricType::kCounter) ==
              description.name.ends_with("_total"));
    cr_assert(names.insert(description.name).second);
  }
}

Test(metrics, every_one_is_on_an_operators_page) {
  std::string pages;
  for (const char* name : {"logs-and-metrics.md", "router-metrics.md"}) {
    std::ifstream page(std::string(GRANITESEAM_SOURCE_DIR "/docs/operations/") + name);
    pages.append(std::istreambuf_iterator<char>(page), {});
  }
  for (const runtime::MetricDescription& description : runtime::kMetricList) {
    const std::string name = "`" + std::string(description.name) + "`";
    cr_assert(pages.find(name) != std::string::npos, "%s is not explained", name.c_str());
  }
}

Test(metrics, writes_what_was_counted) {
  runtime::MetricsRegistry registry;
  registry.Counter(Metric::kRouterRequests, {{"service", "billing"}}).Increment();
  registry.Counter(Metric::kRouterRequests, {{"service", "billing"}}).Increment(2);
  registry.Gauge(Metric::kControlLeading).Set(1);
  registry.Histogram(Metric::kRouterRequestSeconds).Observe(0.003);
  const std::string text = registry.Text();
  cr_assert(text.find("graniteseam_router_requests_total{service=\"billing\"} 3") !=
            std::string::npos);
  cr_assert(text.find("graniteseam_control_leading 1") != std::string::npos);
  cr_assert(text.find("graniteseam_router_request_seconds_count 1") != std::string::npos);
}
