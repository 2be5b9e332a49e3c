/// @file
/// Clients of a soaked fleet that keep to no limit, beside its ordinary callers.
#pragma once

#include <cstdint>
#include <stop_token>
#include <string>
#include <vector>

namespace graniteseam::testbed::soak {

/// What one of their connections does.
enum class Hostility {
    EndlessTrailer, ///< Sends fields of a trailer without end.
    EndlessExtension, ///< Sends an extension of a chunk without end.
    ShortChunks, ///< Sends a body in chunks but for its end, and stays.
    ShortBody, ///< Sends a body but for its last byte, and stays.
    SlowReader, ///< Asks again and again, and reads nothing of the answers.
};

inline constexpr std::uint32_t hostilities = 5;

/// Opens connections to the addresses, one after the other, and is hostile on each in turn, until it is told
/// to stop. Which hostility comes first differs between seeds.
auto run_hostile_client(std::vector<std::string> const& addresses, std::uint64_t seed, std::stop_token const&)
    -> void;

} // namespace graniteseam::testbed::soak
