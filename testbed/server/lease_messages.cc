#include "testbed/server/lease_messages.h"

#include <nlohmann/json.hpp>

namespace graniteseam::testbed {

namespace {

using Json = nlohmann::json;

std::vector<lease::ShardGrant> ParseGrants(const Json& list) {
  std::vector<lease::ShardGrant> grants;
  for (const auto& item : list) {
    grants.push_back({ShardId{ServiceName{item.at("service").get<std::string>()},
                              item.at("shard").get<std::uint32_t>()},
                      Epoch{item.at("epoch").get<std::uint64_t>()}});
  }
  return grants;
}

Json FormatGrants(const std::vector<lease::ShardGrant>& grants) {
  Json list = Json::array();
  for (const auto& grant : grants) {
    list.push_back({{"service", grant.shard.service.value},
                    {"shard", grant.shard.index},
                    {"epoch", grant.epoch.value}});
  }
  return list;
}

lease::LeaseRequest Parse(const Json& json) {
  lease::LeaseRequest request;
  request.server = ServerId{json.at("server").get<std::string>()};
  request.order.term = Term{json.at("term").get<std::uint64_t>()};
  request.order.sequence = json.at("sequence").get<std::uint64_t>();
  if (!json.at("incarnation").is_null()) {
    request.incarnation = Incarnation{json.at("incarnation").get<std::uint64_t>()};
  }
  if (!json.at("valid_until_us").is_null()) {
    request.valid_until = InstantFromMicros(json.at("valid_until_us").get<std::int64_t>());
  }
  request.base_version = json.at("base_version").get<std::uint64_t>();
  request.target_version = json.at("target_version").get<std::uint64_t>();
  request.grants = ParseGrants(json.at("grants"));
  request.revocations = ParseGrants(json.at("revocations"));
  return request;
}

}  // namespace

Result<lease::LeaseRequest> ParseLeaseRequest(const std::string& body) {
  try {
    return Parse(Json::parse(body));
  } catch (const Json::exception& error) {
    return Fail(ErrorKind::kMalformedMessage,
                std::string("A lease request is malformed: ") + error.what(),
                "Compare it with docs/interface/servers.md.");
  }
}

std::string FormatLeaseAnswer(const lease::LeaseAnswer& answer) {
  const Json json = {{"server", answer.server.value},
                     {"incarnation", answer.incarnation.value},
                     {"reading_us", ToMicros(answer.reading)},
                     {"accepted", answer.accepted},
                     {"shard_set_version", answer.shard_set_version},
                     {"released", FormatGrants(answer.released)},
                     {"leaving", answer.leaving},
                     {"load", answer.load}};
  return json.dump();
}

}  // namespace graniteseam::testbed
