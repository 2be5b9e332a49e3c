/// @file
/// The reviewer whose signature the simulated control group trusts.
#pragma once

#include <string>

#include "graniteseam/bundle/bundle.h"

namespace graniteseam::simulation {

inline const char* const kReviewerName = "reviewer";

std::string ReviewerPublicKey();
/// The reviewer's signature over a bundle.
std::string Sign(const bundle::Bundle& bundle, const std::string& digest);

}  // namespace graniteseam::simulation
