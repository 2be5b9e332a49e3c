/// @file
/// The bundle commands against the shipped bundle store behind real HTTP, also raced.

#include <criterion/criterion.h>
#include <sys/stat.h>

#include <nlohmann/json.hpp>

#include "graniteseam/bundle/bundle_store.h"
#include "graniteseam/bundle/signature.h"
#include "tests/bundle/bundle_samples.h"
#include "tests/operator_cli/command_runner.h"
#include "tests/operator_cli/scripted_control.h"

using graniteseam::Attempt;
using graniteseam::Error;
using graniteseam::ErrorOf;
using graniteseam::Result;
using graniteseam::test::CommandResult;
using graniteseam::test::kSampleToml;
using graniteseam::test::ReadText;
using graniteseam::test::RunCommand;
using graniteseam::test::ScriptedControl;
using graniteseam::test::TemporaryFolder;
using namespace graniteseam::bundle;  // NOLINT(google-build-using-namespace)
namespace http = graniteseam::http;
namespace control = graniteseam::control;

namespace {

/// A control process that has only the shipped bundle store.
class BundleControl {
 public:
  BundleControl()
      : control_([this](const auto& request, auto& response, std::size_t number) {
          Handle(request, response, number);
        }) {}

  std::string address() const { return control_.address(); }
  /// Loses every `interval`th answer after the change was made.
  void LoseEvery(std::size_t interval) { lose_every_ = interval; }
  void Trust(const std::string& reviewer, const std::string& key) { keys_[reviewer] = key; }
  const BundleStore& store() const { return store_; }

 private:
  Result<void> Apply(const httplib::Request& request) {
    if (request.path == "/v1/bundles") {
      BOOST_LEAF_AUTO(body, http::ReadSubmitBody(request.body));
      BOOST_LEAF_AUTO(bundle, ParseBundle(body.toml, "bundle"));
      return store_.Submit(bundle, Digest(bundle), body.toml);
    }
    const graniteseam::BundleVersion version{std::stoull(request.path.substr(12))};
    if (request.path.ends_with("/roll")) {
      BOOST_LEAF_AUTO(body, http::ReadRollBody(request.body));
      return store_.Roll(version, body.digest);
    }
    BOOST_LEAF_AUTO(body, http::ReadSignatureBody(request.body));
    BOOST_LEAF_AUTO(key, TrustedKey(keys_, body.reviewer));
    return store_.Sign({version, body.digest, body.reviewer, key, body.signature});
  }

  void Handle(const httplib::Request& request, httplib::Response& response, std::size_t number) {
    if (request.method == "GET") {
      const control::BundlesView view{store_.in_force_version(),
                                      store_.Records(),
                                      {{"router-1", "router", store_.in_force_version(), 5}}};
      return ScriptedControl::Answer(response, http::ToJson(view));
    }
    const auto outcome = Attempt([&] { return Apply(request); });
    if (lose_every_ != 0 && number % lose_every_ == 0) return ScriptedControl::LoseAnswer(response);
    if (const Error* error = ErrorOf(outcome)) {
      response.status = http::HttpStatus(error->kind);
      return ScriptedControl::Answer(response, http::ToJson(http::OperatorProblem{*error, ""}));
    }
    ScriptedControl::Answer(response, http::ToJson(control::Accepted{{number}}));
  }

  BundleStore store_;
  std::map<std::string, std::string> keys_;
  std::size_t lose_every_ = 0;
  ScriptedControl control_;
};

std::string Versioned(int version, const std::string& author = "ayse", double share = 2.5) {
  std::string text = kSampleToml;
  text.replace(text.find("version = 3"), 11, "version = " + std::to_string(version));
  text.replace(text.find("\"ayse\""), 6, "\"" + author + "\"");
  return text.replace(text.find("share = 2.5"), 11, "share = " + std::to_string(share));
}

struct Desk {
  TemporaryFolder folder;
  BundleControl control;

  Desk() {
    const CommandResult key = RunCommand({"key", "generate", "--key-file", folder.Path("key")});
    cr_assert(key.exit_code == 0, "%s", key.errors.c_str());
    control.Trust("mehmet", key.out.substr(0, key.out.size() - 1));
  }

  CommandResult Run(std::vector<std::string> arguments) const {
    arguments.insert(arguments.end(), {"--control", control.address(), "--reviewer", "mehmet",
                                       "--key-file", folder.Path("key")});
    return RunCommand(arguments);
  }

  void PutInForce(const std::string& file) const {
    for (const char* action : {"submit", "sign", "roll"}) {
      const CommandResult result = Run({"bundle", action, file});
      cr_assert(result.exit_code == 0, "%s: %s", action, result.errors.c_str());
    }
  }
};

}  // namespace

Test(bundle_commands, take_a_bundle_from_check_to_being_in_force) {
  const Desk desk;
  const std::string file = desk.folder.Write("bundle.toml", Versioned(3));
  cr_assert(desk.Run({"bundle", "check", file}).exit_code == 0);
  const std::string digest = desk.Run({"bundle", "digest", file}).out.substr(0, 64);
  desk.PutInForce(file);
  cr_assert(desk.control.store().in_force_version().value == 3);
  cr_assert(desk.control.store().InForceDigest() == digest);
  cr_assert(desk.Run({"bundle", "roll", "3", "--wait"}).exit_code == 0);
  const CommandResult status = desk.Run({"bundle", "status"});
  cr_assert(status.out.find("3        in force  " + digest.substr(0, 12)) != std::string::npos,
            "%s", status.out.c_str());
  const auto json = nlohmann::json::parse(desk.Run({"bundle", "status", "--json"}).out);
  cr_assert(json["in_force"] == 3 && json["bundles"][0]["state"] == "rolled");
  cr_assert(desk.Run({"bundle", "history", "3"}).out == Versioned(3));
}

Test(bundle_commands, show_what_differs_from_the_bundle_in_force) {
  const Desk desk;
  const std::string file = desk.folder.Write("bundle.toml", Versioned(3));
  cr_assert(desk.Run({"bundle", "diff", file}).exit_code == 7, "nothing is in force yet");
  desk.PutInForce(file);
  const std::string next = desk.folder.Write("next.toml", Versioned(4, "ayse", 3.5));
  const CommandResult diff = desk.Run({"bundle", "diff", next});
  cr_assert(diff.out ==
                "- groups.carrier-a.share = 2.5\n+ groups.carrier-a.share = 3.5\n"
                "- version = 3\n+ version = 4\n",
            "%s", diff.out.c_str());
  cr_assert(desk.Run({"bundle", "diff", "3", file}).out == "The two bundles are the same.\n");
  cr_assert(desk.Run({"bundle", "diff", "9"}).exit_code == 7);
}

Test(bundle_commands, end_with_distinct_codes_when_control_refuses) {
  const Desk desk;
  const std::string file = desk.folder.Write("bundle.toml", Versioned(3));
  cr_assert(desk.Run({"bundle", "roll", file}).exit_code == 7);
  desk.Run({"bundle", "submit", file});
  cr_assert(desk.Run({"bundle", "roll", file}).exit_code == 5);
  const std::string own = desk.folder.Write("own.toml", Versioned(4, "mehmet"));
  desk.Run({"bundle", "submit", own});
  cr_assert(desk.Run({"bundle", "sign", own}).exit_code == 6);
  const std::string rival = desk.folder.Write("rival.toml", Versioned(3, "ayse", 9));
  cr_assert(desk.Run({"bundle", "submit", rival}).exit_code == 4);
  cr_assert(desk.Run({"bundle", "sign", rival}).exit_code == 4);
}

Test(bundle_commands, come_through_lost_answers_unharmed) {
  Desk desk;
  desk.control.LoseEvery(2);
  for (int version = 1; version <= 3; ++version) {
    desk.PutInForce(desk.folder.Write("bundle.toml", Versioned(version)));
    cr_assert(desk.control.store().in_force_version().value == static_cast<std::uint64_t>(version));
  }
  cr_assert(desk.control.store().Records().size() == 3);
}

Test(bundle_commands, let_one_of_racing_operators_win_and_tell_the_others) {
  constexpr int kOperators = 6;
  Desk desk;
  desk.control.LoseEvery(3);
  std::vector<std::thread> operators;
  std::vector<std::string> files;
  std::vector<int> codes(kOperators);
  for (int i = 0; i < kOperators; ++i) {
    files.push_back(
        desk.folder.Write("bundle-" + std::to_string(i) + ".toml", Versioned(5, "ayse", i + 1)));
  }
  for (int i = 0; i < kOperators; ++i) {
    operators.emplace_back([&, i] {
      codes[i] = desk.Run({"bundle", "submit", files[i]}).exit_code;
    });
  }
  for (std::thread& thread : operators) thread.join();
  cr_assert(std::count(codes.begin(), codes.end(), 0) == 1);
  cr_assert(std::count(codes.begin(), codes.end(), 4) == kOperators - 1);
  const auto winner = std::find(codes.begin(), codes.end(), 0) - codes.begin();
  desk.PutInForce(files[static_cast<std::size_t>(winner)]);
  cr_assert(desk.control.store().InForce()->groups[0].share == static_cast<double>(winner + 1));
}

Test(key_commands, write_a_private_file_and_never_over_another) {
  const TemporaryFolder folder;
  const std::string path = folder.Path("key");
  cr_assert(RunCommand({"key", "generate", "--key-file", path}).exit_code == 0);
  struct stat status {};
  cr_assert(stat(path.c_str(), &status) == 0 && (status.st_mode & 0777) == 0600);
  const std::string before = ReadText(path);
  cr_assert(RunCommand({"key", "generate", "--key-file", path}).exit_code == 5);
  cr_assert(ReadText(path) == before);
}
