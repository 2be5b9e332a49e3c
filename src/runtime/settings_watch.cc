#include "src/runtime/settings_watch.h"

#include <utility>

#include "src/runtime/setting_value.h"

namespace graniteseam::runtime {
namespace {

constexpr Duration kLookInterval{1'000'000};

}  // namespace

SettingsWatch::SettingsWatch(std::string path) : path_(std::move(path)) { TakeChange(); }

bool SettingsWatch::TakeChange() {
  if (path_.empty()) return false;
  std::optional<std::string> content = ReadWholeFile(path_);
  if (!content || content == content_) return false;
  content_ = std::move(content);
  return true;
}

void WaitWithReloads(StopSignals& stop, const std::string& path, const ReloadHooks& hooks) {
  SettingsWatch watch(path);
  stop.OnReload([&] {
    watch.TakeChange();
    hooks.reload();
  });
  while (!stop.WaitFor(kLookInterval)) {
    if (hooks.wanted() && watch.TakeChange()) hooks.reload();
  }
  stop.OnReload({});
}

}  // namespace graniteseam::runtime
