/// @file
/// How the instances that own keys are called: a dialect of paths and headers.
#pragma once

#include <string>

namespace graniteseam::daemon {

/// Bodies are JSON: {"from","to","fence","hold_ms","handover"}. A composition gives the names.
struct OwnerCallNames {
  std::string grant_path;
  std::string release_path;
  std::string handover_header;  ///< Of a release's answer.
  /// Of an order: the instance that it is meant for. Any other one that it reaches answers 421 and
  /// does not carry it out. Empty: not sent; then addresses must never pass to another process.
  std::string target_header{};
  /// Of an answer: the instance that gave it. Empty, or left out by the instance: not told.
  std::string answerer_header{};
};

}  // namespace graniteseam::daemon
