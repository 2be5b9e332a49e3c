#include "src/http/operator_requests.h"

#include <charconv>
#include <utility>
#include <vector>

#include "graniteseam/bundle/bundle.h"
#include "src/http/operator_json.h"
#include "src/http/traffic_json.h"

namespace graniteseam::http {
namespace {

using control::OperatorRequest;

constexpr char kVersionPrefix[] = "v1";

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  std::size_t begin = 1;
  while (begin <= path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    parts.push_back(path.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

template <class T>
Result<T> ReadNumber(const std::string& text) {
  T value{};
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc() || end != last) {
    return Fail(ErrorKind::kInvalidArgument, "\"" + text + "\" is no number of its range.",
                "Write it in decimal digits.");
  }
  return value;
}

boost::leaf::error_id FailUnknown(const IncomingCall& call) {
  return Fail(ErrorKind::kNotFound, "There is no " + call.method + " " + call.path + ".",
              "See docs/interface/operators.md for the calls.");
}

Result<OperatorRequest> ReadSubmit(const std::string& body) {
  BOOST_LEAF_AUTO(submit, ReadSubmitBody(body));
  BOOST_LEAF_AUTO(bundle, bundle::ParseBundle(submit.toml, "bundle"));
  std::string digest = bundle::Digest(bundle);
  return OperatorRequest(
      control::SubmitBundle{std::move(bundle), std::move(digest), std::move(submit.toml)});
}

Result<OperatorRequest> ReadBundleAction(const std::string& version_text, const std::string& action,
                                         const IncomingCall& call) {
  BOOST_LEAF_AUTO(number, ReadNumber<std::uint64_t>(version_text));
  const BundleVersion version{number};
  if (action == "signatures") {
    BOOST_LEAF_AUTO(body, ReadSignatureBody(call.body));
    return OperatorRequest(
        control::SignBundle{version, body.digest, body.reviewer, body.signature});
  }
  if (action == "roll") {
    BOOST_LEAF_AUTO(body, ReadRollBody(call.body));
    return OperatorRequest(control::RollBundle{version, body.digest});
  }
  return FailUnknown(call);
}

Result<OperatorRequest> ReadMove(const std::string& service, const std::string& index,
                                 const std::string& body) {
  BOOST_LEAF_AUTO(number, ReadNumber<std::uint32_t>(index));
  BOOST_LEAF_AUTO(move, ReadMoveBody(body));
  return OperatorRequest(control::MoveShard{{{service}, number}, move.target});
}

Result<OperatorRequest> ReadPost(const std::vector<std::string>& parts, const IncomingCall& call) {
  const std::string& area = parts[1];
  if (area == "bundles" && parts.size() == 2) return ReadSubmit(call.body);
  if (area == "bundles" && parts.size() == 4) return ReadBundleAction(parts[2], parts[3], call);
  if (area == "shards" && parts.size() == 5 && parts[4] == "move") {
    return ReadMove(parts[2], parts[3], call.body);
  }
  if (area == "servers" && parts.size() == 4 && (parts[3] == "drain" || parts[3] == "undrain")) {
    return OperatorRequest(control::DrainServer{{parts[2]}, parts[3] == "drain"});
  }
  if (area == "zones" && parts.size() == 4 && (parts[3] == "drain" || parts[3] == "undrain")) {
    return OperatorRequest(control::DrainZone{{parts[2]}, parts[3] == "drain"});
  }
  if (area == "control" && parts.size() == 3 && parts[2] == "members") {
    BOOST_LEAF_AUTO(change, ReadMembershipBody(call.body));
    return OperatorRequest(std::move(change));
  }
  return FailUnknown(call);
}

}  // namespace

Result<OperatorRequest> ReadOperatorCall(const IncomingCall& call) {
  const std::vector<std::string> parts = SplitPath(call.path);
  if (parts.size() < 2 || parts[0] != kVersionPrefix) return FailUnknown(call);
  if (call.method == "POST") return ReadPost(parts, call);
  if (call.method != "GET" || parts.size() != 2) return FailUnknown(call);
  if (parts[1] == "bundles") return OperatorRequest(control::ReadBundles{});
  if (parts[1] == "fleet") return OperatorRequest(control::ReadFleet{});
  if (parts[1] == "shards") return OperatorRequest(control::ReadShards{{call.service_query}});
  return FailUnknown(call);
}

std::string AnswerBody(const control::OperatorAnswer& answer) {
  return std::visit(
      [](const auto& value) -> std::string {
        if constexpr (std::is_same_v<std::decay_t<decltype(value)>, Error>) {
          return ToJson(OperatorProblem{value, ""});
        } else if constexpr (std::is_same_v<std::decay_t<decltype(value)>,
                                            control::ConfigurationView>) {
          return ToJson(value.configuration);
        } else if constexpr (std::is_same_v<std::decay_t<decltype(value)>, control::KeyLeases>) {
          return HeartbeatAnswerJson(&value, "");
        } else {
          return ToJson(value);
        }
      },
      answer);
}

}  // namespace graniteseam::http
