/// @file
/// graniteseamctl: the operators' command line. See docs/operations/graniteseamctl.md.

#include <iostream>
#include <sstream>

#include "src/daemon/operator_cli/command.h"
#include "src/daemon/operator_cli/exit_code.h"
#include "src/daemon/operator_cli/files.h"
#include "src/daemon/operator_cli/options.h"
#include "src/http/operator_client.h"
#include "src/http/operator_json.h"
#include "src/runtime/settings.h"

namespace graniteseam::operator_cli {
namespace {

Result<void> Run(const Options& options, const std::vector<std::string>& words, std::ostream& out) {
  BOOST_LEAF_AUTO(command, FindCommand(words));
  http::OperatorClientOptions client_options;
  client_options.control = options.control;
  client_options.time_limit = options.time_limit;
  client_options.authorities_file = options.tls_ca;
  if (!options.credential_file.empty()) {
    BOOST_LEAF_ASSIGN(client_options.credential, ReadFirstLine(options.credential_file));
  }
  http::OperatorClient client(client_options);
  const std::vector<std::string> arguments(words.begin() + 2, words.end());
  return command->run({options, arguments, client, out});
}

int Report(const Error& error, bool json) {
  if (json) {
    std::cerr << http::ToJson(http::OperatorProblem{error, ""}) << "\n";
  } else {
    std::cerr << "graniteseamctl: " << ToString(error) << "\n";
  }
  return static_cast<int>(ExitCodeOf(error.kind));
}

int Main(int argc, char** argv) {
  Options options;
  runtime::SettingsReader reader("graniteseamctl",
                                 "Steers a graniteseam fleet.\n\n" + CommandsHelp());
  reader.AllowArguments("COMMAND [ARGUMENT...]");
  DeclareOptions(reader, options);
  if (const std::optional<int> exit_code = reader.Read(argc, argv)) return *exit_code;
  // Nothing of a command that failed halfway goes to standard output with --json.
  std::ostringstream out;
  const auto outcome = Attempt([&] { return Run(options, reader.arguments(), out); });
  const Error* const error = ErrorOf(outcome);
  if (error == nullptr || !options.json) std::cout << out.str();
  std::cout.flush();
  if (error != nullptr) return Report(*error, options.json);
  return std::cout.good() ? 0
                          : Report({ErrorKind::kStorageIo, "The output could not be written.",
                                    "Check where standard output leads."},
                                   options.json);
}

}  // namespace
}  // namespace graniteseam::operator_cli

int main(int argc, char** argv) { return graniteseam::operator_cli::Main(argc, argv); }
