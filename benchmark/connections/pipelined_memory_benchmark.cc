// What a connection holds whose client pipelines the maximum and does not read.
#include <benchmark/benchmark.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "src/event_http/server.h"
#include "tests/support/process_limits.h"
#include "tests/support/raw_client.h"

namespace {

namespace event_http = graniteseam::event_http;
using graniteseam::test::HeapBytes;

constexpr std::size_t kClients = 1'000;
/// Both ends of each connection are descriptors of this process.
constexpr std::size_t kDescriptors = 4 * kClients;
constexpr int kTurnsMaximum = 10'000;

/// A thousand connections with all requests in progress, of which all but the first of each
/// connection are answered.
class SilentClients {
 public:
  SilentClients() {
    event_http::ServerOptions options;
    options.address = {"127.0.0.1", 0};
    options.may_run_beside = [](const event_http::Request&) { return true; };
    ahead_ = options.requests_ahead_maximum;
    server_ = std::make_unique<event_http::Server>(
        context_, options, [this](const auto& exchange) { exchanges_.push_back(exchange); });
    static_cast<void>(graniteseam::Attempt([this] { return server_->Start(); }));
    Turn();
  }

  /// @return whether all requests are in progress.
  bool Send() {
    std::string bytes;
    for (std::size_t number = 0; number < ahead_; ++number) {
      bytes += "GET /read HTTP/1.1\r\nHost: a.example\r\nAccept: */*\r\n\r\n";
    }
    for (std::size_t client = 0; client < kClients; ++client) {
      clients_.push_back(std::make_unique<graniteseam::test::RawClient>(server_->port()));
      clients_.back()->Send(bytes);
      Turn();
    }
    for (int turn = 0; turn < kTurnsMaximum && exchanges_.size() < kClients * ahead_; ++turn) {
      Turn();
    }
    return exchanges_.size() == kClients * ahead_;
  }

  void Answer(std::size_t body_bytes) {
    event_http::Response response;
    response.body.assign(body_bytes, 'x');
    for (std::size_t index = 0; index < exchanges_.size(); ++index) {
      if (index % ahead_ == 0) continue;
      exchanges_[index]->Respond(response);
      exchanges_[index].reset();
    }
    Turn();
  }

 private:
  void Turn() {
    context_.restart();
    while (context_.poll() > 0) {
    }
  }

  boost::asio::io_context context_;
  std::vector<std::shared_ptr<event_http::Exchange>> exchanges_;
  std::unique_ptr<event_http::Server> server_;
  std::vector<std::unique_ptr<graniteseam::test::RawClient>> clients_;
  std::size_t ahead_ = 0;
};

void PipelinedConnection(benchmark::State& state) {
  if (!graniteseam::test::AllowDescriptors(kDescriptors)) {
    state.SkipWithError("The limit of descriptors can't be set.");
    return;
  }
  for ([[maybe_unused]] const auto _ : state) {
    SilentClients clients;
    const std::size_t before = HeapBytes();
    if (!clients.Send()) {
      state.SkipWithError("Not all requests began.");
      return;
    }
    const std::size_t begun = HeapBytes();
    clients.Answer(static_cast<std::size_t>(state.range(0)));
    const auto each = [before](std::size_t bytes) {
      return static_cast<double>(bytes - before) / kClients;
    };
    state.counters["bytes_in_progress"] = each(begun);
    state.counters["bytes_answered"] = each(HeapBytes());
  }
}
BENCHMARK(PipelinedConnection)
    ->ArgName("body_bytes")
    ->Arg(0)
    ->Arg(1'024)
    ->Arg(16'384)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
