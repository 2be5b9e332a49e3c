/// @file
/// Digests by which secrets are compared and sent on in place of themselves.
#pragma once

#include <string>
#include <string_view>

namespace graniteseam::runtime {

/// SHA-256 in hexadecimal digits. Enough for secrets that are drawn at random: whoever finds such a
/// digest, or times a comparison with one, learns nothing of the secret.
std::string SecretDigest(std::string_view secret);

}  // namespace graniteseam::runtime
