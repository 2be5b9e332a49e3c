#include "src/http/lease_json.h"

#include <utility>

#include "src/http/json_binding.h"

namespace graniteseam::http {
namespace {

/// One shard with its epoch, as the interface writes it.
struct WireGrant {
  ServiceName service;
  std::uint32_t shard = 0;
  Epoch epoch;
};
BOOST_DESCRIBE_STRUCT(WireGrant, (), (service, shard, epoch))

struct WireRequest {
  ServerId server;
  Term term;
  std::uint64_t sequence = 0;
  std::optional<Incarnation> incarnation;
  std::optional<std::int64_t> valid_until_us;
  std::uint64_t base_version = 0;
  std::uint64_t target_version = 0;
  std::vector<WireGrant> grants;
  std::vector<WireGrant> revocations;
};
BOOST_DESCRIBE_STRUCT(WireRequest, (),
                      (server, term, sequence, incarnation, valid_until_us, base_version,
                       target_version, grants, revocations))

struct WireAnswer {
  ServerId server;
  Incarnation incarnation;
  std::int64_t reading_us = 0;
  bool accepted = false;
  std::uint64_t shard_set_version = 0;
  std::vector<WireGrant> released;
  bool leaving = false;
  double load = 0;
};
BOOST_DESCRIBE_STRUCT(WireAnswer, (),
                      (server, incarnation, reading_us, accepted, shard_set_version, released,
                       leaving, load))

std::vector<WireGrant> ToWire(const std::vector<lease::ShardGrant>& grants) {
  std::vector<WireGrant> wire;
  wire.reserve(grants.size());
  for (const lease::ShardGrant& grant : grants) {
    wire.push_back({grant.shard.service, grant.shard.index, grant.epoch});
  }
  return wire;
}

std::vector<lease::ShardGrant> FromWire(const std::vector<WireGrant>& wire) {
  std::vector<lease::ShardGrant> grants;
  grants.reserve(wire.size());
  for (const WireGrant& grant : wire) {
    grants.push_back({{grant.service, grant.shard}, grant.epoch});
  }
  return grants;
}

}  // namespace

std::string ToJson(const lease::LeaseRequest& request) {
  WireRequest wire;
  wire.server = request.server;
  wire.term = request.order.term;
  wire.sequence = request.order.sequence;
  wire.incarnation = request.incarnation;
  if (request.valid_until) wire.valid_until_us = ToMicros(*request.valid_until);
  wire.base_version = request.base_version;
  wire.target_version = request.target_version;
  wire.grants = ToWire(request.grants);
  wire.revocations = ToWire(request.revocations);
  return ToJsonText(wire);
}

Result<lease::LeaseAnswer> ReadLeaseAnswer(const std::string& json,
                                           const lease::LeaseRequest& request) {
  BOOST_LEAF_AUTO(wire, FromJsonText<WireAnswer>(json, /*lenient=*/false));
  if (wire.server != request.server) {
    return Fail(
        ErrorKind::kMalformedMessage,
        "Server \"" + wire.server.value + "\" answered for \"" + request.server.value + "\".",
        "Correct the platform list: two servers share an address.");
  }
  lease::LeaseAnswer answer;
  answer.server = wire.server;
  answer.order = request.order;
  answer.incarnation = wire.incarnation;
  answer.reading = InstantFromMicros(wire.reading_us);
  answer.accepted = wire.accepted;
  answer.shard_set_version = wire.shard_set_version;
  answer.released = FromWire(wire.released);
  answer.leaving = wire.leaving;
  answer.load = wire.load;
  return answer;
}

}  // namespace graniteseam::http
