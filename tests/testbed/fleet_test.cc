#include "testbed/fleet/fleet.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "graniteseam/bundle/bundle.h"
#include "testbed/fleet/bundle_file.h"
#include "testbed/fleet/child_process.h"
#include "testbed/fleet/report.h"
#include "testbed/fleet/reserved_port.h"
#include "testbed/fleet/scenario.h"

using graniteseam::Attempt;
using graniteseam::Duration;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using namespace graniteseam::testbed;

namespace {

constexpr Duration kLimit{60'000'000};
const std::string kSource = GRANITESEAM_SOURCE_DIR;

/// A scenario file that is removed again.
class ScenarioFile {
 public:
  explicit ScenarioFile(const std::string& text) { std::ofstream(path_) << text; }
  ~ScenarioFile() { std::filesystem::remove(path_); }
  auto Read() const {
    return Attempt([this] { return ReadScenario(path_, kSource); });
  }

 private:
  std::string path_ = std::filesystem::temp_directory_path() /
                      ("graniteseam-scenario-" + std::to_string(::getpid()) + ".toml");
};

Command CommandOf(std::vector<std::string> words) { return {std::move(words), {}, "/dev/null"}; }

}  // namespace

Test(fleet, every_scenario_of_the_repository_can_be_read) {
  int scenarios = 0;
  for (const char* folder : {"/scenarios", "/scenarios/faults"}) {
    for (const auto& entry : std::filesystem::directory_iterator(kSource + folder)) {
      if (entry.path().extension() != ".toml") continue;
      const auto scenario = Attempt([&] { return ReadScenario(entry.path(), kSource); });
      cr_assert(ErrorOf(scenario) == nullptr, "%s", entry.path().c_str());
      ++scenarios;
    }
  }
  cr_assert(scenarios > 5);
}

Test(fleet, misspelt_key_or_action_or_a_cut_without_links_is_refused) {
  const std::string head = "name = \"x\"\ndeployments = [\"transcription\"]\n";
  cr_assert(ErrorOf(ScenarioFile(head).Read()) == nullptr);
  for (const std::string fault :
       {"duration = 3", "[[fault]]\naction = \"explode\"", "[[fault]]\nat = 3\naction = \"kill\"",
        "[[fault]]\naction = \"cut\"\ntarget = \"zone-1\"", "name ="}) {
    const auto scenario = ScenarioFile(head + fault).Read();
    cr_assert(ErrorOf(scenario) != nullptr, "%s", fault.c_str());
    cr_assert(ErrorOf(scenario)->kind == ErrorKind::kInvalidSettings);
  }
}

Test(fleet, joined_bundle_of_both_users_is_valid) {
  const auto text = Attempt([] {
    return JoinBundles({kSource + "/examples/transcription/bundle.toml",
                        kSource + "/examples/heat-network/bundle.toml"},
                       7, "someone");
  });
  cr_assert(ErrorOf(text) == nullptr);
  const auto bundle = Attempt(
      [&] { return graniteseam::bundle::ParseBundle(std::get<std::string>(text), "joined"); });
  cr_assert(ErrorOf(bundle) == nullptr);
  const auto& parsed = std::get<graniteseam::bundle::Bundle>(bundle);
  cr_assert(parsed.version.value == 7 && parsed.author == "someone");
  cr_assert(parsed.FindService({"transcripts"}) != nullptr);
  cr_assert(parsed.FindService({"shut-offs"}) != nullptr);
}

Test(fleet, process_is_ended_by_its_id_and_tells_how) {
  auto started = Attempt([] { return ChildProcess::Start(CommandOf({"/bin/sleep", "600"})); });
  auto& process = std::get<ChildProcess>(started);
  cr_assert(process.Running());
  cr_assert_not(process.Wait(Duration(0)));
  process.Signal(SIGTERM);
  cr_assert(process.Wait(kLimit) == 128 + SIGTERM);
  cr_assert_not(process.Running());

  auto missing = Attempt([] { return ChildProcess::Start(CommandOf({"/no/such/program"})); });
  cr_assert(std::get<ChildProcess>(missing).Wait(kLimit) == 127);
}

Test(fleet, process_that_nobody_holds_any_more_is_killed) {
  pid_t id = 0;
  {
    auto started = Attempt([] { return ChildProcess::Start(CommandOf({"/bin/sleep", "600"})); });
    id = std::get<ChildProcess>(started).id();
    cr_assert(::kill(id, 0) == 0);
  }
  cr_assert(::kill(id, 0) != 0);
}

Test(fleet, reserved_ports_differ) {
  auto first = Attempt([] { return ReservedPort::Reserve("127.0.9.1", "127.1.9.1"); });
  auto second = Attempt([] { return ReservedPort::Reserve("127.0.9.1", "127.1.9.1"); });
  cr_assert(ErrorOf(first) == nullptr && ErrorOf(second) == nullptr);
  cr_assert(std::get<ReservedPort>(first).address().port !=
            std::get<ReservedPort>(second).address().port);
}

Test(fleet, report_of_a_run_without_answers_is_bad) {
  Scenario scenario;
  scenario.answered_minimum = 0.5;
  cr_assert_not(MakeReport(scenario, History()).Good());
  AnswerRecord answer;
  answer.nonce = "n";
  answer.service = "readings";
  answer.deadline_us = 100;
  answer.outcome = "not_run";
  History history;
  history.answers = {answer};
  cr_assert_not(MakeReport(scenario, history).Good());
  history.answers[0].sending = 1;
  answer.sending = 2;
  answer.outcome = "answered";
  history.answers.push_back(answer);
  const auto report = MakeReport(scenario, history);
  cr_assert(report.Good());
  cr_assert(report.services.at("readings").requests() == 1);
}

Test(fleet, folder_with_records_of_an_earlier_run_is_refused) {
  const auto folder =
      std::filesystem::temp_directory_path() / ("graniteseam-folder-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder / "records");
  Fleet fleet(Scenario(), FleetPaths{"/no/programs", folder});
  const auto prepared = Attempt([&] { return fleet.Prepare(); });
  std::filesystem::remove_all(folder);
  cr_assert(ErrorOf(prepared) != nullptr);
  cr_assert(ErrorOf(prepared)->kind == ErrorKind::kFailedPrecondition);
}
