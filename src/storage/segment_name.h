/// @file
/// Names of the log's segment files.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace graniteseam::storage {

/// "log-" and the sequence number of the segment's first frame in 20 digits, so that names sort.
std::string SegmentName(std::uint64_t first_sequence);

/// The sequence number in a segment's name; nullopt for other files.
std::optional<std::uint64_t> SegmentSequence(std::string_view name);

}  // namespace graniteseam::storage
