#include "testbed/server/request_handler.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

#include "src/runtime/clock.h"
#include "testbed/server/connection_watch.h"

namespace graniteseam::testbed {

namespace {

constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr std::size_t kPaddingMaximum = std::size_t{1} << 20;

void RefuseNotRun(httplib::Response& response, int status, const std::string& why) {
  response.status = status;
  response.set_header("Graniteseam-Outcome", "not-run");
  response.set_content(why + "\n", "text/plain");
}

template <class Integer>
Integer NumberOr(const std::string& text, Integer fallback) {
  Integer number{};
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return whole ? number : fallback;
}

std::string AnswerBody(const RunRecord& run, std::size_t padding) {
  return nlohmann::json{
      {"nonce", run.nonce},   {"service", run.service},     {"key", run.key},
      {"server", run.server}, {"operation", run.operation}, {"padding", std::string(padding, 'x')}}
      .dump();
}

/// Ends a begun request whatever came of it.
class Begun {
 public:
  Begun(Ownership& ownership, const lease::ShardGrant* grant)
      : ownership_(ownership), grant_(grant) {}
  ~Begun() { ownership_.End(grant_); }
  Begun(const Begun&) = delete;
  Begun& operator=(const Begun&) = delete;

 private:
  Ownership& ownership_;
  const lease::ShardGrant* grant_;
};

}  // namespace

RequestHandler::RequestHandler(const ServerOptions& options, Ownership& ownership, Instant started)
    : options_(options),
      ownership_(ownership),
      started_(started),
      slots_(options.slots, options.queue),
      random_(static_cast<std::uint64_t>(options.seed)) {}

void RequestHandler::Handle(const httplib::Request& request, httplib::Response& response) {
  const Instant now = runtime::BootTimeNow();
  last_arrival_us_ = ToMicros(now);
  response.set_header("Graniteseam-Attempt", request.get_header_value("Graniteseam-Attempt"));
  if (closed_) return RefuseNotRun(response, kUnavailable, "This server is stopping.");

  const auto left_ms = NumberOr<std::int64_t>(request.get_header_value("Graniteseam-Deadline-Ms"),
                                              std::numeric_limits<std::int32_t>::max());
  if (left_ms <= 0) return RefuseNotRun(response, kGatewayTimeout, "The deadline has passed.");

  const lease::ShardGrant grant{
      ShardId{ServiceName{options_.service},
              NumberOr<std::uint32_t>(request.get_header_value("Graniteseam-Shard"), 0)},
      Epoch{NumberOr<std::uint64_t>(request.get_header_value("Graniteseam-Epoch"), 0)}};
  Call call;
  call.grant = options_.keyed ? &grant : nullptr;
  call.deadline = now + std::chrono::milliseconds(left_ms);
  call.padding =
      std::min(NumberOr<std::size_t>(request.get_param_value("padding"), 0), kPaddingMaximum);
  call.run = {.server = options_.id,
              .service = options_.service,
              .key = request.get_header_value("Graniteseam-Key"),
              .shard = options_.keyed ? grant.shard.index : 0,
              .epoch = options_.keyed ? grant.epoch.value : 0,
              .operation = request.get_header_value("Idempotency-Key"),
              .nonce = request.get_param_value("nonce"),
              .attempt = request.get_header_value("Graniteseam-Attempt")};

  const auto begun = Attempt([&] { return ownership_.Begin(call.grant, now); });
  if (const auto* error = ErrorOf(begun)) {
    return RefuseNotRun(response, kMisdirected, error->message);
  }
  const Begun hold(ownership_, call.grant);
  RunInSlot(call, request, response);
}

void RequestHandler::RunInSlot(const Call& call, const httplib::Request& request,
                               httplib::Response& response) {
  ConnectionWatch connection(request);
  switch (slots_.Acquire(call.deadline, [&] { return connection.PeerClosed(); })) {
    case Slots::Answer::kShed:
      response.set_header("Retry-After", "1");
      return RefuseNotRun(response, kTooManyRequests, "All slots and the queue are full.");
    case Slots::Answer::kDeadlinePassed:
      return RefuseNotRun(response, kGatewayTimeout, "The deadline passed in the queue.");
    case Slots::Answer::kCancelled:
      return RefuseNotRun(response, kUnavailable, "The request was cancelled in the queue.");
    case Slots::Answer::kAcquired:
      break;
  }
  const SlotHold slot(slots_);
  auto run = call.run;
  const Instant begun = runtime::BootTimeNow();
  run.begun_us = ToMicros(begun);
  std::this_thread::sleep_for(DrawWork(begun));
  if (connection.PeerClosed()) {
    return RefuseNotRun(response, kUnavailable, "The request was cancelled before its effect.");
  }
  const auto committed = Attempt([&] { return ownership_.Commit(call.grant, run); });
  if (const auto* error = ErrorOf(committed)) {
    response.status = kInternalError;
    response.set_header("Graniteseam-Outcome", "unknown");
    response.set_content(error->message + "\n", "text/plain");
    return;
  }
  response.set_content(AnswerBody(run, call.padding), "application/json");
}

Duration RequestHandler::DrawWork(Instant now) {
  double factor = Cold(now) ? options_.cold_factor : 1.0;
  {
    const std::lock_guard lock(random_mutex_);
    factor *= std::uniform_real_distribution<double>(0.5, 1.5)(random_);
  }
  return Duration(static_cast<std::int64_t>(static_cast<double>(options_.work.count()) * factor));
}

}  // namespace graniteseam::testbed
