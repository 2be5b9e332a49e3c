#include "testbed/hollow/hollow_router.h"

#include <cmath>

#include "src/runtime/clock.h"

namespace graniteseam::testbed {

namespace {

constexpr std::uint64_t kKeys = 100'000;
constexpr int kOk = 200;
constexpr double kMicrosPerSecond = 1e6;

routing::RouterNodeOptions NodeOptions(const HollowRouterOptions& options) {
  routing::RouterNodeOptions node;
  node.router = options.id;
  node.zone = options.zone;
  return node;
}

}  // namespace

HollowRouter::HollowRouter(HollowRouterOptions options, runtime::MetricsRegistry& metrics,
                           EventLog& events)
    : options_(std::move(options)),
      events_(events),
      random_(runtime::RandomBits()),
      node_(NodeOptions(options_), runtime::RandomBits(), runtime::BootTimeNow()),
      requests_until_(runtime::BootTimeNow()) {
  protocol::RouterControlClientOptions client;
  client.router = options_.id;
  client.control = options_.control;
  // Constructed under the lock: a connection may stand before the pointer is set.
  const std::lock_guard lock(mutex_);
  client_ = std::make_unique<protocol::RouterControlClient>(
      client, metrics,
      [this](const control::ControlToRouter& answer) {
        const std::lock_guard answer_lock(mutex_);
        const Instant now = runtime::BootTimeNow();
        Carry(node_.OnControlMessage(answer, now));
        NoteVersion(now);
      },
      [this](bool connected) {
        if (!connected) return;
        const std::lock_guard connected_lock(mutex_);
        Carry(node_.OnControlConnected(runtime::BootTimeNow()));
      });
}

void HollowRouter::Drive() {
  const std::lock_guard lock(mutex_);
  const Instant now = runtime::BootTimeNow();
  for (const auto& send : std::exchange(in_flight_, {})) {
    routing::AttemptResult result;
    result.request = send.request;
    result.attempt = send.attempt;
    result.end = routing::AttemptEnd::kAnswered;
    result.status = kOk;
    Carry(node_.OnAttemptEnd(result, now));
  }
  SendRequests(now);
  if (node_.NextTick() <= now) Carry(node_.Tick(now));
}

void HollowRouter::ShiftKeys(std::uint64_t seed) {
  const std::lock_guard lock(mutex_);
  key_offset_ = seed % kKeys;
}

bool HollowRouter::Ready() {
  const std::lock_guard lock(mutex_);
  return node_.Ready(runtime::BootTimeNow());
}

void HollowRouter::Carry(routing::RouterEffects effects) {
  for (auto& message : effects.control_messages) client_->Send(std::move(message));
  for (auto& send : effects.sends) in_flight_.push_back(std::move(send));
}

void HollowRouter::SendRequests(Instant now) {
  if (!node_.Ready(now)) {
    requests_until_ = now;
    return;
  }
  std::exponential_distribution<double> gap(options_.requests_per_second / kMicrosPerSecond);
  while (requests_until_ < now) {
    requests_until_ += Duration(std::llround(gap(random_)));
    routing::CallerRequest request;
    request.number = ++last_request_;
    request.service = options_.service;
    request.group = options_.group;
    request.key = DrawKey();
    Carry(node_.OnRequest(request, now));
  }
}

std::string HollowRouter::DrawKey() {
  // Zipf with exponent 1, by the inverse of its continuous form.
  const double fraction = std::generate_canonical<double, 53>(random_);
  const auto rank = static_cast<std::uint64_t>(std::pow(static_cast<double>(kKeys), fraction)) - 1;
  return "key-" + std::to_string((rank + key_offset_) % kKeys);
}

void HollowRouter::NoteVersion(Instant now) {
  const BundleVersion version = node_.Status(now).bundle_version;
  if (version == noted_version_ || !node_.Ready(now)) return;
  noted_version_ = version;
  events_.Add({{"kind", "version"},
               {"at_us", ToMicros(now)},
               {"router", options_.id.value},
               {"version", version.value}});
}

}  // namespace graniteseam::testbed
