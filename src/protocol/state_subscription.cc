#include "src/protocol/state_subscription.h"

namespace graniteseam::protocol {
namespace {

/// A connection with more than this in its queue is behind. Over a link of 2 Mbit/s this takes a
/// quarter of a second.
constexpr std::size_t kBehindBytes = 65'536;

}  // namespace

std::optional<StateUpdate> StateUpdateOf(const control::ControlToRouter& message) {
  const auto* update = std::get_if<control::TrafficUpdate>(&message);
  if (update == nullptr || update->sequence != 0) return std::nullopt;
  return StateUpdate{update->base, update->version};
}

void StateSubscription::Subscribe(const control::FeedRequest& request) {
  request_.reset();
  if (!request.ends) request_ = request;
  skipped_ = requested_ = false;
}

bool StateSubscription::Admit(const StateUpdate& update, std::size_t queued_bytes) {
  // A router without a subscription polls the leader again for what it lacks.
  if (!request_) return queued_bytes <= kBehindBytes;
  if (update.version <= request_->version) return false;
  // It does not apply to the router's version: what lies between was skipped, or was never sent.
  if (update.base > request_->version) {
    skipped_ = true;
    return false;
  }
  if (queued_bytes > kBehindBytes) {
    skipped_ = true;
    requested_ = false;
    return false;
  }
  request_->version = update.version;
  skipped_ = requested_ = false;
  return true;
}

std::optional<control::FeedRequest> StateSubscription::TakeRequest(std::size_t queued_bytes) {
  if (!request_ || !skipped_ || requested_ || queued_bytes > 0) return std::nullopt;
  requested_ = true;
  return request_;
}

}  // namespace graniteseam::protocol
