#include "testbed/support/record.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace graniteseam::testbed {

namespace {

using Json = nlohmann::json;

Json EncodeGrants(const std::vector<lease::ShardGrant>& grants) {
  Json list = Json::array();
  for (const auto& grant : grants) {
    list.push_back({grant.shard.service.value, grant.shard.index, grant.epoch.value});
  }
  return list;
}

std::vector<lease::ShardGrant> DecodeGrants(const Json& list) {
  std::vector<lease::ShardGrant> grants;
  for (const auto& item : list) {
    grants.push_back(
        {ShardId{ServiceName{item.at(0).get<std::string>()}, item.at(1).get<std::uint32_t>()},
         Epoch{item.at(2).get<std::uint64_t>()}});
  }
  return grants;
}

Json Encode(const LeaseRecord& record) {
  return {{"record", "lease"},
          {"server", record.server},
          {"incarnation", record.incarnation},
          {"taken_us", record.taken_us},
          {"valid_until_us", record.valid_until_us},
          {"held", record.held ? EncodeGrants(*record.held) : Json()}};
}

Json Encode(const RunRecord& record) {
  return {{"record", "run"},
          {"server", record.server},
          {"incarnation", record.incarnation},
          {"service", record.service},
          {"key", record.key},
          {"shard", record.shard},
          {"epoch", record.epoch},
          {"operation", record.operation},
          {"nonce", record.nonce},
          {"attempt", record.attempt},
          {"begun_us", record.begun_us},
          {"ended_us", record.ended_us}};
}

Json Encode(const AnswerRecord& record) {
  return {{"record", "answer"},
          {"nonce", record.nonce},
          {"operation", record.operation},
          {"service", record.service},
          {"key", record.key},
          {"group", record.group},
          {"router", record.router},
          {"sending", record.sending},
          {"due_us", record.due_us},
          {"deadline_us", record.deadline_us},
          {"sent_us", record.sent_us},
          {"answered_us", record.answered_us},
          {"outcome", record.outcome},
          {"kind", record.kind},
          {"status", record.status},
          {"own", record.own},
          {"whole", record.whole}};
}

Json Encode(const VersionRecord& record) {
  return {{"record", "version"},       {"process", record.process},
          {"version", record.version}, {"asked_us", record.asked_us},
          {"seen_us", record.seen_us}, {"accepted", record.accepted}};
}

Json Encode(const LeavingRecord& record) {
  return {{"record", "leaving"},
          {"server", record.server},
          {"at_us", record.at_us},
          {"leaving", record.leaving}};
}

LeaseRecord DecodeLease(const Json& json) {
  LeaseRecord record{.server = json.at("server"),
                     .incarnation = json.at("incarnation"),
                     .taken_us = json.at("taken_us"),
                     .valid_until_us = json.at("valid_until_us"),
                     .held = std::nullopt};
  if (!json.at("held").is_null()) record.held = DecodeGrants(json.at("held"));
  return record;
}

RunRecord DecodeRun(const Json& json) {
  return {.server = json.at("server"),
          .incarnation = json.at("incarnation"),
          .service = json.at("service"),
          .key = json.at("key"),
          .shard = json.at("shard"),
          .epoch = json.at("epoch"),
          .operation = json.at("operation"),
          .nonce = json.at("nonce"),
          .attempt = json.at("attempt"),
          .begun_us = json.at("begun_us"),
          .ended_us = json.at("ended_us")};
}

AnswerRecord DecodeAnswer(const Json& json) {
  return {.nonce = json.at("nonce"),
          .operation = json.at("operation"),
          .service = json.at("service"),
          .key = json.at("key"),
          .group = json.at("group"),
          .router = json.at("router"),
          .sending = json.at("sending"),
          .due_us = json.at("due_us"),
          .deadline_us = json.at("deadline_us"),
          .sent_us = json.at("sent_us"),
          .answered_us = json.at("answered_us"),
          .outcome = json.at("outcome"),
          .kind = json.at("kind"),
          .status = json.at("status"),
          .own = json.at("own"),
          .whole = json.at("whole")};
}

VersionRecord DecodeVersion(const Json& json) {
  return {.process = json.at("process"),
          .version = json.at("version"),
          .asked_us = json.at("asked_us"),
          .seen_us = json.at("seen_us"),
          .accepted = json.at("accepted")};
}

LeavingRecord DecodeLeaving(const Json& json) {
  return {.server = json.at("server"), .at_us = json.at("at_us"), .leaving = json.at("leaving")};
}

Record Decode(const Json& json) {
  const std::string name = json.at("record");
  if (name == "lease") return DecodeLease(json);
  if (name == "run") return DecodeRun(json);
  if (name == "answer") return DecodeAnswer(json);
  if (name == "version") return DecodeVersion(json);
  if (name == "leaving") return DecodeLeaving(json);
  throw std::invalid_argument("no record is called " + name);
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  return std::visit([](const auto& value) { return Encode(value).dump(); }, record);
}

Result<Record> DecodeRecord(const std::string& line) {
  try {
    return Decode(Json::parse(line));
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kMalformedMessage, std::string("A record is malformed: ") + error.what(),
                "Look at the record file; records are written by the stand-ins alone.");
  }
}

Result<std::vector<Record>> ReadRecords(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail(ErrorKind::kNotFound, "The record file " + path + " can't be read.",
                "Check that its process was started with --record.");
  }
  std::vector<Record> records;
  std::string line;
  while (std::getline(file, line)) {
    if (file.eof()) break;
    BOOST_LEAF_AUTO(record, DecodeRecord(line));
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace graniteseam::testbed
