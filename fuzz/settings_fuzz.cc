/// @file
/// Settings files with any content.
#include <unistd.h>

#include <cstdio>
#include <string>

#include "fuzz/fuzz_target.h"
#include "src/runtime/setting_value.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace graniteseam;
  static const std::string path = "/tmp/graniteseam-settings-fuzz." + std::to_string(getpid());
  std::FILE* file = std::fopen(path.c_str(), "wb");
  if (file == nullptr) return 0;
  std::fwrite(data, 1, size, file);
  std::fclose(file);
  const auto settings = Attempt([&] { return runtime::ReadSettingsFile(path); });
  static_cast<void>(settings);
  std::remove(path.c_str());
  return 0;
}
