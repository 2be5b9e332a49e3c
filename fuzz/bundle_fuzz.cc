/// @file
/// Bundle files with any content. A bundle that is accepted has one canonical text.
#include <cstdlib>
#include <string>

#include "fuzz/fuzz_target.h"
#include "graniteseam/bundle/bundle.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace graniteseam;
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto parsed = Attempt([&] { return bundle::ParseBundle(text, "fuzz.toml"); });
  if (ErrorOf(parsed) != nullptr) return 0;
  const auto& bundle = std::get<bundle::Bundle>(parsed);
  if (bundle::CanonicalText(bundle).empty() || bundle.version.value == 0) std::abort();
  return 0;
}
