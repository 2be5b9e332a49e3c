#include "src/control/state_feed.h"

#include <algorithm>
#include <ratio>
#include <utility>

namespace graniteseam::control {
namespace {

/// Messages a second that pushes may take, so that a process has time for its other duties: a
/// change that goes to 300 routers is 300 messages. With so many, changes are told each 30 ms; with
/// ten, each millisecond.
constexpr std::int64_t kPushesPerSecond = 10'000;
/// A message is made by looking at all instances and ranges, and taking it costs each router as
/// well. With 20,000 of them, changes are told each 100 ms at most, however few routers there are.
constexpr Duration kPushIntervalPerItem{5};
/// What routers need not know at once waits so long for what they must.
constexpr Duration kDeferrableUpdateDelay{250'000};
/// Without word that a push has left, the next one goes out all the same after this.
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
