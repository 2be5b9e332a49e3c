#include "tests/operator_cli/command_runner.h"

#include <criterion/criterion.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace graniteseam::test {

TemporaryFolder::TemporaryFolder() {
  char path[] = "/tmp/graniteseamctl-test-XXXXXX";
  cr_assert(mkdtemp(path) != nullptr);
  path_ = path;
}

TemporaryFolder::~TemporaryFolder() { std::filesystem::remove_all(path_); }

std::string TemporaryFolder::Write(const std::string& name, const std::string& text) const {
  std::ofstream(Path(name)) << text;
  return Path(name);
}

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

CommandResult RunCommand(const std::vector<std::string>& arguments) {
  const TemporaryFolder folder;
  std::string line = GRANITESEAM_BINARY_DIR "/bin/graniteseamctl";
  for (const std::string& argument : arguments) line += " '" + argument + "'";
  line += " >" + folder.Path("out") + " 2>" + folder.Path("errors");
  const int status = std::system(line.c_str());
  cr_assert(WIFEXITED(status), "graniteseamctl crashed: %s", line.c_str());
  return {WEXITSTATUS(status), ReadText(folder.Path("out")), ReadText(folder.Path("errors"))};
}

}  // namespace graniteseam::test
