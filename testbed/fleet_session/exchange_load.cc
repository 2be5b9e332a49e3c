#include "testbed/fleet_session/exchange_load.h"

#include <chrono>
#include <cmath>
#include <thread>

namespace graniteseam::testbed {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kOk = 200;

/// One connection's share of the load.
ExchangeResult RunOne(const ExchangeTarget& target, Clock::time_point start, Clock::time_point end,
                      Clock::duration interval) {
  ExchangeResult result;
  httplib::Client client(target.address.ip, target.address.port);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  Clock::time_point due = start;
  while (Clock::now() < end) {
    if (interval > Clock::duration::zero()) {
      std::this_thread::sleep_until(due);
    } else {
      due = Clock::now();
    }
    const auto response = client.Get(target.path, target.headers);
    const std::chrono::duration<double, std::milli> latency = Clock::now() - due;
    if (response && response->status == kOk) {
      result.latencies_ms.push_back(latency.count());
    } else {
      ++result.failed;
    }
    due += interval;
  }
  return result;
}

}  // namespace

double ExchangeResult::PerSecond() const {
  return seconds > 0 ? static_cast<double>(latencies_ms.size()) / seconds : 0.0;
}

ExchangeResult RunExchanges(const std::vector<ExchangeTarget>& targets, Duration length,
                            double requests_per_second) {
  const auto start = Clock::now();
  Clock::duration interval{0};
  if (requests_per_second > 0) {
    const std::chrono::duration<double> gap(static_cast<double>(targets.size()) /
                                            requests_per_second);
    interval = std::chrono::duration_cast<Clock::duration>(gap);
  }
  std::vector<ExchangeResult> parts(targets.size());
  std::vector<std::thread> threads;
  for (std::size_t index = 0; index < targets.size(); ++index) {
    threads.emplace_back([&, index] {
      // Connections of one rate take turns, so that they do not all send at once.
      const auto turn =
          interval * static_cast<std::int64_t>(index) / static_cast<std::int64_t>(targets.size());
      parts[index] = RunOne(targets[index], start + turn, start + length, interval);
    });
  }
  for (std::thread& thread : threads) thread.join();
  ExchangeResult whole;
  whole.seconds = std::chrono::duration<double>(Clock::now() - start).count();
  for (const ExchangeResult& part : parts) {
    whole.failed += part.failed;
    whole.latencies_ms.insert(whole.latencies_ms.end(), part.latencies_ms.begin(),
                              part.latencies_ms.end());
  }
  return whole;
}

}  // namespace graniteseam::testbed
