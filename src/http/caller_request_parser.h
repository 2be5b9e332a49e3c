/// @file
/// Reads a caller's request as docs/interface/callers.md has it.
#pragma once

#include <httplib.h>

#include <string>
#include <string_view>

#include "graniteseam/common/error.h"
#include "src/http/caller_messages.h"

namespace graniteseam::http {

/// Undoes percent-encoding (RFC 3986, section 2.1).
/// @return kInvalidArgument for an incomplete or malformed sequence.
Result<std::string> DecodePercent(std::string_view text);

/// Checks that the head leaves no doubt where the request ends: bytes that one side takes for a
/// body and the other for a request would let a caller speak in another's name.
/// @return kInvalidArgument.
Result<void> CheckFraming(const httplib::Request& request);

/// Whether a body follows the head.
bool HasBody(const httplib::Request& request);

/// Reads path and headers, and takes the body.
/// @return kNotFound for a path of another form, kInvalidArgument for a malformed header or key.
Result<CallerMessage> ParseCallerRequest(const httplib::Request& request,
                                         const std::string& content_type, std::string body);

}  // namespace graniteseam::http
