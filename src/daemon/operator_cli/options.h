/// @file
/// Flags and settings of graniteseamctl.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "graniteseam/common/time.h"
#include "src/runtime/settings.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::operator_cli {

struct Options {
  std::vector<runtime::SocketAddress> control;
  std::string credential_file;
  std::string tls_ca;
  std::string reviewer;
  std::string key_file;
  std::string digest;
  bool json = false;
  bool wait = false;
  Duration time_limit{10'000'000};
};

/// Declares every flag; `options` must outlive the reader.
void DeclareOptions(runtime::SettingsReader& reader, Options& options);

}  // namespace graniteseam::operator_cli
