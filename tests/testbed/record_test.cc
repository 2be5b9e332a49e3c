#include "testbed/support/record.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "testbed/support/record_file.h"

using graniteseam::Attempt;
using graniteseam::Epoch;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::ServiceName;
using graniteseam::ShardId;
using namespace graniteseam::testbed;

namespace {

std::vector<Record> Examples() {
  LeaseRecord lease{"a", 7, 10, 20, std::nullopt};
  lease.held = {{ShardId{ServiceName{"meters"}, 3}, Epoch{9}}};
  AnswerRecord answer;
  answer.nonce = "n";
  answer.kind = "overloaded";
  answer.own = false;
  return {lease,
          LeaseRecord{"a", 7, 15, 25, std::nullopt},
          RunRecord{"a", 7, "meters", "k", 3, 9, "op", "n", "t", 11, 12},
          answer,
          VersionRecord{"router-1", 4, 1, 2, true},
          LeavingRecord{"a", 5, false}};
}

struct TemporaryFile {
  std::string path =
      std::filesystem::temp_directory_path() / ("graniteseam-record-" + std::to_string(::getpid()));
  ~TemporaryFile() { std::filesystem::remove(path); }
};

}  // namespace

Test(record, each_kind_is_read_back_as_it_was_written) {
  for (const auto& record : Examples()) {
    const auto decoded = Attempt([&] { return DecodeRecord(EncodeRecord(record)); });
    cr_assert(ErrorOf(decoded) == nullptr);
    cr_assert(std::get<Record>(decoded) == record);
  }
}

Test(record, line_that_is_no_record_is_a_malformed_message) {
  for (const std::string line :
       {"", "{}", "[1]", R"({"record": "other"})", R"({"record": "run"})"}) {
    const auto decoded = Attempt([&] { return DecodeRecord(line); });
    cr_assert(ErrorOf(decoded) != nullptr);
    cr_assert(ErrorOf(decoded)->kind == ErrorKind::kMalformedMessage);
  }
}

Test(record, file_gives_back_all_lines_but_one_that_a_kill_cut) {
  const TemporaryFile file;
  {
    auto opened = Attempt([&] { return RecordFile::Open(file.path); });
    cr_assert(ErrorOf(opened) == nullptr);
    for (const auto& record : Examples()) std::get<RecordFile>(opened).Append(record);
  }
  std::ofstream(file.path, std::ios::app) << R"({"record": "ru)";
  const auto read = Attempt([&] { return ReadRecords(file.path); });
  cr_assert(ErrorOf(read) == nullptr);
  cr_assert(std::get<std::vector<Record>>(read) == Examples());
}
