/// @file
/// Reads a program's settings again while it runs.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "src/runtime/stop_signals.h"

namespace graniteseam::runtime {

/// Compares a file's content with that at the last look, so that each content is read once, also a
/// faulty one. Not thread safe.
class SettingsWatch {
 public:
  /// Takes the present content as read.
  /// @param path the file; empty when the settings came from flags alone.
  explicit SettingsWatch(std::string path);

  /// @return whether the file can be read and has another content than at the last look.
  bool TakeChange();

 private:
  std::string path_;
  std::optional<std::string> content_;
};

struct ReloadHooks {
  /// Whether a changed settings file is to be read without a signal.
  std::function<bool()> wanted;
  /// Reads the settings and takes what may change while the program runs.
  std::function<void()> reload;
};

/// Waits until a stop was asked for. Meanwhile calls `reload` at SIGHUP, and while `wanted` says
/// so, once for each content of the file.
void WaitWithReloads(StopSignals& stop, const std::string& path, const ReloadHooks& hooks);

}  // namespace graniteseam::runtime
