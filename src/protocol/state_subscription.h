/// @file
/// The state updates that one connection carries to a router.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "graniteseam/control/router_messages.h"

namespace graniteseam::protocol {

/// What a state update leads from and to.
struct StateUpdate {
  std::uint64_t base = 0;
  std::uint64_t version = 0;
};

/// @return nullopt for any other message, answers to polls included.
std::optional<StateUpdate> StateUpdateOf(const control::ControlToRouter& message);

/// Updates for a router that receives them more slowly than they are made are skipped. Once it has
/// received the earlier ones, one update from the version that it then has replaces all that were
/// skipped; without this a router would receive each superseded one first and remain behind for as
/// long as that takes. Not thread safe.
class StateSubscription {
 public:
  /// Records the router's own request.
  void Subscribe(const control::FeedRequest& request);

  /// @param queued_bytes that the connection has not passed to the system yet.
  /// @return whether to send this update.
  bool Admit(const StateUpdate& update, std::size_t queued_bytes);

  /// @return the request for the skipped updates, in the router's name; nullopt when none is due.
  std::optional<control::FeedRequest> TakeRequest(std::size_t queued_bytes);

 private:
  std::optional<control::FeedRequest> request_;  ///< With the version last sent.
  bool skipped_ = false;    ///< An update was skipped and nothing has replaced it.
  bool requested_ = false;  ///< Its replacement was requested.
};

}  // namespace graniteseam::protocol
