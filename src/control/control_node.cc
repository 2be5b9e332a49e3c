#include "graniteseam/control/control_node.h"

#include <utility>

#include "src/control/control_node_impl.h"

namespace graniteseam::control {

ControlNode::ControlNode(ControlOptions options, consensus::RecoveredState recovered,
                         std::uint64_t seed, Instant now)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(recovered), seed, now)) {}

ControlNode::~ControlNode() = default;

ControlEffects ControlNode::Tick(Instant now, std::int64_t wall_ms) {
  return impl_->Tick(now, wall_ms);
}

Instant ControlNode::NextTick() const { return impl_->NextTick(); }

ControlEffects ControlNode::OnPeerMessage(const consensus::PeerMessage& message, Instant now) {
  return impl_->OnPeerMessage(message, now);
}

ControlEffects ControlNode::OnPersistDone(std::uint64_t sequence, Instant now) {
  return impl_->OnPersistDone(sequence, now);
}

ControlEffects ControlNode::OnServerAnswer(const lease::LeaseAnswer& answer, Instant now) {
  return impl_->OnServerAnswer(answer, now);
}

ControlEffects ControlNode::OnRouterMessage(ConnectionId connection, const RouterToControl& message,
                                            Instant now, std::int64_t wall_ms) {
  return impl_->OnRouterMessage(connection, message, now, wall_ms);
}

ControlEffects ControlNode::OnRouterDisconnected(ConnectionId connection, Instant now) {
  return impl_->OnRouterDisconnected(connection, now);
}

ControlEffects ControlNode::OnOperatorRequest(RequestId request, const OperatorRequest& command,
                                              Instant now, std::int64_t /*wall_ms*/) {
  return impl_->OnOperatorRequest(request, command, now);
}

ControlEffects ControlNode::OnPlatformList(const PlatformList& list, Instant now) {
  return impl_->OnPlatformList(list, now);
}

ControlEffects ControlNode::OnRangeOrderResult(const RangeOrderResult& result, Instant now) {
  return impl_->OnRangeOrderResult(result, now);
}

ControlEffects ControlNode::OnPushSent(std::uint64_t push, Instant now) {
  return impl_->OnPushSent(push, now);
}

ControlEffects ControlNode::OnFeedPushSent(std::uint64_t push, Instant now) {
  return impl_->OnFeedPushSent(push, now);
}

ControlEffects ControlNode::PrepareStop(Instant now) { return impl_->PrepareStop(now); }

void ControlNode::SetSeeds(std::vector<consensus::Member> seeds) {
  impl_->SetSeeds(std::move(seeds));
}

bool ControlNode::ReadyToStop(Instant now) const { return impl_->ReadyToStop(now); }

const consensus::RaftConsensus& ControlNode::consensus() const { return impl_->consensus(); }

bool ControlNode::Leading(Instant now) const { return impl_->Leading(now); }

FleetView ControlNode::Fleet(Instant now) const { return impl_->Fleet(now); }

std::uint64_t ControlNode::decision_evaluations() const { return impl_->decision_evaluations(); }

}  // namespace graniteseam::control
