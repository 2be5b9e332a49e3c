#include "src/control/state_feed.h"

#include <algorithm>
#include <ratio>
#include <utility>

namespace graniteseam::control {
namespace {

/// Maximum messages per second for pushes, so that a process has time for its other work: a change
/// sent to 300 routers is 300 messages. With 300 routers, changes are pushed every 30 ms; with ten,
/// every millisecond.
constexpr std::int64_t kPushesPerSecond = 10'000;
/// Minimum push interval for each instance and range. Building a message iterates over all of them,
/// and processing it costs every router as well. With 20,000 of them, changes are pushed at most
/// every 100 ms, however few routers there are.
constexpr Duration kPushIntervalPerItem{5};
/// Delay after the last push of changes that are not urgent, so that they are sent together with
/// urgent ones.
constexpr Duration kDeferrableUpdateDelay{250'000};
/// If no report arrives that a push was sent, the next one is sent after this time.
constexpr Duration kPushConfirmationTimeout{500'000};

}  // namespace

StateFeed::Message StateFeed::Subscribe(ConnectionId connection, std::uint64_t version) {
  MarkCurrent(connection);
  return version >= state_.version() ? nullptr : UpdateSince(version);
}

Duration StateFeed::PushInterval(std::size_t routers) const {
  const auto messages = static_cast<std::int64_t>(routers);
  const Duration sending = std::chrono::microseconds(messages * std::micro::den / kPushesPerSecond);
  if (!options_.pushes_all_changes) return sending;
  const auto items = static_cast<std::int64_t>(state_.item_count());
  return std::max(sending, items * kPushIntervalPerItem);
}

std::vector<RouterSend> StateFeed::Push(Instant now) {
  std::vector<RouterSend> sends;
  const bool urgent = pushed_version_ < state_.urgent_version();
  const bool any = urgent || (options_.pushes_all_changes && pushed_version_ < state_.version());
  wait_until_ = urgent ? push_due_ : std::max(push_due_, pushed_at_ + kDeferrableUpdateDelay);
  held_back_ = any && now < wait_until_;
  if (!any || held_back_) return sends;
  const std::uint64_t wanted =
      options_.pushes_all_changes ? state_.version() : state_.urgent_version();
  for (auto& [connection, version] : versions_) {
    if (version >= wanted) continue;
    sends.push_back({connection, UpdateSince(version)});
    version = state_.version();
  }
  pushed_version_ = wanted;
  if (sends.empty()) return sends;
  push_due_ = now + PushInterval(sends.size());
  pushed_at_ = now;
  ++last_push_;
  if (options_.reports_push_completion)
    push_due_ = std::max(push_due_, now + kPushConfirmationTimeout);
  return sends;
}

void StateFeed::PushSent(std::uint64_t push, Instant now) {
  if (push != last_push_) return;
  push_due_ = std::max(now + (now - pushed_at_), pushed_at_ + PushInterval(versions_.size()));
}

StateFeed::Message StateFeed::UpdateSince(std::uint64_t base) {
  if (updates_version_ != state_.version()) updates_.clear();
  updates_version_ = state_.version();
  Message& message = updates_[base];
  if (message) return message;
  ++updates_made_;
  message = std::make_shared<const ControlToRouter>(state_.UpdateSince(base));
  return message;
}

}  // namespace graniteseam::control
