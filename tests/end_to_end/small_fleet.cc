#include "tests/end_to_end/small_fleet.h"

#include <criterion/criterion.h>
#include <httplib.h>
#include <stdlib.h>

#include <filesystem>
#include <nlohmann/json.hpp>

#include "testbed/fleet/bundle_file.h"
#include "testbed/fleet/readiness.h"
#include "testbed/support/text_file.h"

namespace graniteseam::testbed {

namespace {

constexpr Duration kLimit{90'000'000};
constexpr int kReadSeconds = 10;
constexpr const char* kBundle = GRANITESEAM_SOURCE_DIR "/examples/transcription/bundle.toml";

Scenario SmallScenario() {
  Scenario scenario;
  scenario.name = "end-to-end";
  scenario.voters_per_zone = {1, 1, 1};
  scenario.routers_per_zone = 1;
  scenario.platform_lag = Duration(0);
  Deployment deployment;
  deployment.name = "transcription";
  deployment.bundle = kBundle;
  ServerGroup keyed;
  keyed.service = "transcripts";
  keyed.keyed = true;
  keyed.count = 3;
  ServerGroup operations;
  operations.service = "billing";
  operations.count = 2;
  deployment.servers = {keyed, operations};
  scenario.deployments = {deployment};
  return scenario;
}

template <class T>
T ValueOrFail(Outcome<T> outcome) {
  const auto* error = ErrorOf(outcome);
  cr_assert(error == nullptr, "%s", error == nullptr ? "" : ToString(*error).c_str());
  return std::get<T>(std::move(outcome));
}

std::string TemporaryFolder() {
  std::string pattern = std::filesystem::temp_directory_path() / "graniteseam-end-to-end-XXXXXX";
  cr_assert(::mkdtemp(pattern.data()) != nullptr);
  return pattern;
}

RouterAnswer ReadAnswer(const httplib::Result& response) {
  RouterAnswer answer;
  if (!response) return answer;
  answer.status = response->status;
  answer.outcome = response->get_header_value("Graniteseam-Outcome");
  answer.body = response->body;
  const auto json = nlohmann::json::parse(response->body, nullptr, false);
  if (json.is_object()) answer.server = json.value("server", "");
  return answer;
}

httplib::Client ClientOf(const runtime::SocketAddress& address) {
  httplib::Client client(address.ip, address.port);
  client.set_read_timeout(kReadSeconds);
  return client;
}

}  // namespace

void AwaitOrFail(const std::string& what, const std::function<Missing()>& condition) {
  ValueOrFail(Attempt([&] { return Await(what, kLimit, condition); }));
}

SmallFleet::SmallFleet() : scenario_(SmallScenario()) {
  const FleetPaths paths{GRANITESEAM_BINARY_DIR "/bin", TemporaryFolder()};
  fleet_ = std::make_unique<Fleet>(scenario_, paths);
  ValueOrFail(Attempt([&] { return fleet_->Prepare(); }));
  std::vector<runtime::SocketAddress> control;
  for (const auto& name : fleet_->Names(Role::kControl)) {
    control.push_back(fleet_->member(name).http_address());
  }
  for (const auto& name : fleet_->Names(Role::kRouter)) {
    routers_.push_back(fleet_->member(name).http_address());
  }
  console_ = std::make_unique<OperatorConsole>(paths, fleet_->credentials(), control);
  for (const auto role : {Role::kPlatform, Role::kControl, Role::kServer, Role::kRouter}) {
    ValueOrFail(Attempt([&] { return fleet_->StartAll(role); }));
  }
  ValueOrFail(Attempt([&] { return AwaitLeader(*console_); }));
}

SmallFleet::~SmallFleet() {
  const std::string folder = fleet_->paths().folder;
  fleet_.reset();
  std::filesystem::remove_all(folder);
}

std::string SmallFleet::Operate(const std::vector<std::string>& words) const {
  const auto result = ValueOrFail(Attempt([&] { return console_->Run(words); }));
  cr_assert(result.exit_code == 0, "graniteseamctl %s %s: %s", words[0].c_str(), words[1].c_str(),
            result.output.c_str());
  return result.output;
}

int SmallFleet::ExitCode(const std::vector<std::string>& words) const {
  return ValueOrFail(Attempt([&] { return console_->Run(words); })).exit_code;
}

std::string SmallFleet::WriteBundle(std::uint64_t version, const std::string& author) const {
  const auto text = ValueOrFail(Attempt([&] { return JoinBundles({kBundle}, version, author); }));
  const std::string path =
      fleet_->paths().folder + "/" + author + "-" + std::to_string(version) + ".toml";
  ValueOrFail(Attempt([&] { return WriteTextFile(path, text); }));
  return path;
}

void SmallFleet::Roll(const std::string& file) const {
  for (const char* action : {"check", "submit", "sign", "roll"}) {
    Operate({"bundle", action, file});
  }
}

void SmallFleet::AwaitServing() {
  ValueOrFail(Attempt([&] { return testbed::AwaitServing(*fleet_, *console_); }));
}

RouterAnswer SmallFleet::Get(const std::string& key, std::size_t router) const {
  auto client = ClientOf(routers_.at(router));
  const std::string path = "/v1/services/transcripts/keys/" + key + "/preview?nonce=" + key;
  return ReadAnswer(client.Get(path, {{"Graniteseam-Group", "carrier-a"}}));
}

RouterAnswer SmallFleet::Post(const std::string& operation, std::size_t router) const {
  auto client = ClientOf(routers_.at(router));
  const std::string path = "/v1/services/billing/confirmations?nonce=" + operation;
  const httplib::Headers headers{{"Graniteseam-Group", "carrier-a"},
                                 {"Idempotency-Key", operation}};
  return ReadAnswer(client.Post(path, headers, operation, "text/plain"));
}

RouterAnswer SmallFleet::GetUntilAnswered(const std::string& key) {
  RouterAnswer answer;
  AwaitOrFail("an answer for " + key, [&]() -> Missing {
    answer = Get(key);
    return answer.outcome == "answered" ? "" : answer.body;
  });
  return answer;
}

std::optional<RunRecord> SmallFleet::LastRunOf(const std::string& key) const {
  std::optional<RunRecord> last;
  for (const auto& run : ReadAll().runs) {
    if (run.key == key && (!last || last->ended_us < run.ended_us)) last = run;
  }
  return last;
}

control::ShardEntry SmallFleet::Shard(std::uint32_t index) const {
  const auto view = ValueOrFail(Attempt([&] { return console_->Shards(); }));
  for (const auto& entry : view.shards) {
    if (entry.shard == ShardId{ServiceName{"transcripts"}, index}) return entry;
  }
  cr_assert_fail("The shard is not in the view.");
  return {};
}

History SmallFleet::ReadAll() const {
  return ValueOrFail(Attempt([&] { return ReadHistory(fleet_->paths().folder + "/records"); }));
}

void SmallFleet::CheckHistoryIsClean() const {
  for (const auto& violation : CheckHistory(ReadAll())) {
    cr_assert_fail("%s: %s", ViolationName(violation.kind).c_str(), violation.description.c_str());
  }
}

}  // namespace graniteseam::testbed
