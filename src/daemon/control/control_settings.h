/// @file
/// Settings of graniteseam-control; docs/operations/settings.md explains each.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "graniteseam/consensus/types.h"
#include "graniteseam/control/control_node.h"
#include "src/http/tls.h"
#include "src/platform/settings.h"
#include "src/protocol/internal_security.h"

namespace graniteseam::daemon {

struct ControlSettings {
  std::int64_t id = 0;
  std::string zone;
  std::string data_folder;
  platform::SocketAddress peer_address;
  platform::SocketAddress http_address;
  platform::TextList bootstrap;  ///< "id@zone@ip:port" of the group's first voters.
  bool initialise = false;
  std::vector<platform::SocketAddress> platform;
  platform::TextTable operators;
  platform::TextTable reviewers;
  protocol::InternalSecurity security;
  http::TlsFiles operator_tls;
  http::TlsFiles server_tls;
  control::ControlOptions node;

  std::vector<consensus::Member> first_voters;  ///< Read from `bootstrap`; disks 0.
};

/// Declares all settings with their checks. `settings` must stay valid until the reader is gone.
void DeclareControlSettings(platform::SettingsReader& reader, ControlSettings& settings);

/// Reads "id@zone@ip:port".
/// @return kInvalidArgument when it has another form.
Result<consensus::Member> ParseFirstVoter(const std::string& text);

}  // namespace graniteseam::daemon
