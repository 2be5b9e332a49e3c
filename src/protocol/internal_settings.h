/// @file
/// Settings of internal connections, common to all programs that have them.
#pragma once

#include "src/protocol/internal_security.h"
#include "src/runtime/settings.h"

namespace graniteseam::protocol {

/// Declares `internal_secret_file` and checks that it can be read. Without it, every address in
/// `own` and `peers` must be a loopback address; `own` may be unset. The pointers must stay valid
/// until Read().
void AddInternalSecuritySettings(runtime::SettingsReader& reader, InternalSecurity& security,
                                 const runtime::SocketAddress* own,
                                 const std::vector<runtime::SocketAddress>* peers);

}  // namespace graniteseam::protocol
