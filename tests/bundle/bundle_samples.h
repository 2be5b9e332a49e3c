/// @file
/// A bundle for tests.
#pragma once

#include <criterion/criterion.h>

#include <string>

#include "graniteseam/bundle/bundle.h"

namespace graniteseam::test {

inline const std::string kSampleToml = R"(version = 3
author = "ayse"

[services.transcripts]
kind = "keyed"
repeatable = true
shard_count = 64
hedging = true
[services.transcripts.weights]
unavailability = 3

[services.billing]
kind = "pooled"
repeatable = false
operation_retention_ms = 3600000

[groups.carrier-a]
services = ["transcripts", "billing"]
key_prefix = "a/"
share = 2.5
)";

inline bundle::Bundle Parsed(const std::string& toml_text) {
  const auto outcome = Attempt([&] { return bundle::ParseBundle(toml_text, "bundle.toml"); });
  const Error* error = ErrorOf(outcome);
  cr_assert(error == nullptr, "%s", error == nullptr ? "" : ToString(*error).c_str());
  return std::get<bundle::Bundle>(outcome);
}

}  // namespace graniteseam::test
