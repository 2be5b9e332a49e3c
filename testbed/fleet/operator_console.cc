#include "testbed/fleet/operator_console.h"

#include <atomic>

#include "testbed/fleet/child_process.h"
#include "testbed/support/text_file.h"

namespace graniteseam::testbed {

namespace {

constexpr Duration kCommandLimit{30'000'000};
constexpr Duration kViewLimit{2'000'000};
constexpr Duration kOneAnswerLimit{500'000};

/// Numbers the output files of commands that run at the same time.
std::atomic<unsigned> command_count = 0;

}  // namespace

OperatorConsole::OperatorConsole(const FleetPaths& paths, const Credentials& credentials,
                                 std::vector<runtime::SocketAddress> control)
    : paths_(paths), credentials_(credentials), control_(std::move(control)) {
  client_options_.control = control_;
  client_options_.credential = credentials_.operator_credential;
  client_options_.time_limit = kViewLimit;
  client_options_.answer_time_limit = kOneAnswerLimit;
  client_options_.connection_time_limit = kOneAnswerLimit;
}

Result<CommandResult> OperatorConsole::Run(const std::vector<std::string>& words) const {
  std::string control;
  for (const auto& address : control_) {
    control += (control.empty() ? "" : ",") + runtime::ToString(address);
  }
  Command command;
  command.words = {paths_.programs + "/graniteseamctl"};
  command.words.insert(command.words.end(), words.begin(), words.end());
  command.words.insert(command.words.end(),
                       {"--control", control, "--credential-file", credentials_.credential_file,
                        "--reviewer", credentials_.reviewer, "--key-file",
                        credentials_.reviewer_key_file, "--time-limit-ms", "20000"});
  command.log = paths_.folder + "/log/operator-" + std::to_string(++command_count) + ".log";
  BOOST_LEAF_AUTO(process, ChildProcess::Start(command));
  const auto exit_code = process.Wait(kCommandLimit);
  if (!exit_code) {
    return Fail(ErrorKind::kDeadlineExceeded, "graniteseamctl " + words[0] + " does not end.",
                "Look at " + command.log + ".");
  }
  BOOST_LEAF_AUTO(output, ReadTextFile(command.log));
  return CommandResult{*exit_code, output};
}

Result<CommandResult> OperatorConsole::Roll(const std::string& bundle_file) const {
  CommandResult result;
  for (const char* action : {"check", "submit", "sign", "roll"}) {
    BOOST_LEAF_ASSIGN(result, Run({"bundle", action, bundle_file}));
    if (result.exit_code != 0) break;
  }
  return result;
}

Result<control::FleetView> OperatorConsole::Fleet() const {
  http::OperatorClient client(client_options_);
  BOOST_LEAF_AUTO(body, client.Call({"GET", "/v1/fleet", ""}));
  return http::ReadFleetView(body);
}

Result<control::ShardsView> OperatorConsole::Shards() const {
  http::OperatorClient client(client_options_);
  BOOST_LEAF_AUTO(body, client.Call({"GET", "/v1/shards", ""}));
  return http::ReadShardsView(body);
}

std::vector<control::BundlesView> OperatorConsole::BundlesFromEachLeader() const {
  std::vector<control::BundlesView> views;
  http::OperatorClient client(client_options_);
  for (const auto& address : control_) {
    auto view = Attempt([&]() -> Result<control::BundlesView> {
      BOOST_LEAF_AUTO(body, client.CallOne(address, {"GET", "/v1/bundles", ""}));
      return http::ReadBundlesView(body);
    });
    if (ErrorOf(view) == nullptr) {
      views.push_back(std::get<control::BundlesView>(std::move(view)));
    }
  }
  return views;
}

}  // namespace graniteseam::testbed
