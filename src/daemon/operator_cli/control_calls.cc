#include "src/daemon/operator_cli/control_calls.h"

#include <charconv>
#include <string_view>

namespace graniteseam::operator_cli {

Result<control::BundlesView> GetBundles(const CommandContext& context) {
  BOOST_LEAF_AUTO(body, context.client.Call({"GET", "/v1/bundles", ""}));
  return http::ReadBundlesView(body);
}

Result<control::FleetView> GetFleet(const CommandContext& context) {
  BOOST_LEAF_AUTO(body, context.client.Call({"GET", "/v1/fleet", ""}));
  return http::ReadFleetView(body);
}

Result<control::ShardsView> GetShards(const CommandContext& context, const std::string& service) {
  const std::string query = service.empty() ? "" : "?service=" + PathSegment(service);
  BOOST_LEAF_AUTO(body, context.client.Call({"GET", "/v1/shards" + query, ""}));
  return http::ReadShardsView(body);
}

Result<consensus::Member> GetMember(const CommandContext& context,
                                    const runtime::SocketAddress& address) {
  BOOST_LEAF_AUTO(body, context.client.CallOne(address, {"GET", "/v1/self", ""}));
  return http::ReadMember(body);
}

Result<control::Accepted> Change(const CommandContext& context, const std::string& path,
                                 const std::string& body) {
  BOOST_LEAF_AUTO(answer, context.client.Call({"POST", path, body}));
  return http::ReadAccepted(answer);
}

std::string PathSegment(const std::string& text) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string segment;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       std::string_view("-._~").find(c) != std::string_view::npos;
    if (plain) {
      segment += c;
    } else {
      segment += '%';
      segment += kHexDigits[byte >> 4];
      segment += kHexDigits[byte & 0x0f];
    }
  }
  return segment;
}

Result<std::uint64_t> ParseNumber(const std::string& text, const std::string& what) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed, fault] = std::from_chars(text.data(), end, number);
  if (fault == std::errc() && parsed == end) return number;
  return Fail(ErrorKind::kInvalidArgument, "\"" + text + "\" is no " + what + ".",
              "Give the " + what + " as a whole number.");
}

}  // namespace graniteseam::operator_cli
