/// @file
/// File names of log segments.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace graniteseam::storage {

/// Returns "log-" and the sequence number of the segment's first frame in 20 digits, so that names
/// sort by sequence.
std::string SegmentName(std::uint64_t first_sequence);

/// Parses the sequence number from a segment's name; nullopt for other files.
std::optional<std::uint64_t> SegmentSequence(std::string_view name);

}  // namespace graniteseam::storage
