/// @file
/// Statuses of the server's own answers (RFC 9110, section 15; RFC 6585, section 5).
#pragma once

namespace graniteseam::event_http {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kServiceUnavailable = 503;

}  // namespace graniteseam::event_http
