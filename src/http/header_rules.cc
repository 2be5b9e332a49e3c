#include "src/http/header_rules.h"

#include <algorithm>
#include <array>

namespace graniteseam::http {

namespace {

char Lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

constexpr std::array<std::string_view, 10> kHopByHop = {
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "content-length",     "proxy-connection"};

}  // namespace

bool SameName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return Lower(a) == Lower(b); });
}

bool GoesToCaller(std::string_view name) {
  constexpr std::string_view kOwnPrefix = "graniteseam-";
  if (name.size() >= kOwnPrefix.size() && SameName(name.substr(0, kOwnPrefix.size()), kOwnPrefix)) {
    return false;
  }
  return std::none_of(kHopByHop.begin(), kHopByHop.end(),
                      [&](std::string_view hop) { return SameName(name, hop); });
}

}  // namespace graniteseam::http
