#include "src/runtime/socket_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <optional>

namespace graniteseam::runtime {
namespace {

bool IsIp(int family, const std::string& text) {
  in6_addr parsed{};  // Large enough for both families.
  return inet_pton(family, text.c_str(), &parsed) == 1;
}

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return port;
}

boost::leaf::error_id FailAddress(std::string_view text) {
  return Fail(ErrorKind::kInvalidArgument,
              "\"" + std::string(text) + "\" is no IP address and port.",
              "Write ip:port, for example 127.0.0.1:7000 or [::1]:7000.");
}

}  // namespace

Result<SocketAddress> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return FailAddress(text);
  const std::optional<std::uint16_t> port = ParsePort(text.substr(colon + 1));
  std::string ip(text.substr(0, colon));
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed) ip = ip.substr(1, ip.size() - 2);
  if (!port || !IsIp(bracketed ? AF_INET6 : AF_INET, ip)) return FailAddress(text);
  return SocketAddress{ip, *port};
}

std::string ToString(const SocketAddress& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  const std::string ip = is_v6 ? "[" + address.ip + "]" : address.ip;
  return ip + ":" + std::to_string(address.port);
}

bool IsLoopback(const SocketAddress& address) {
  return address.ip == "::1" || address.ip.starts_with("127.");
}

void UsePort(std::vector<SocketAddress>& addresses, std::int64_t port) {
  if (port == 0) return;
  for (SocketAddress& address : addresses) address.port = static_cast<std::uint16_t>(port);
}

}  // namespace graniteseam::runtime
