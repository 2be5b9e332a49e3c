/// @file
/// The entry that libFuzzer and the replay of the corpus call.
#pragma once

#include <cstddef>
#include <cstdint>

/// Runs one input. Whatever the bytes are, it returns 0; a crash or an abort is a finding.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);
