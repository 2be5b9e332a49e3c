/// @file
/// Runs the graniteseamctl program for tests.
#pragma once

#include <string>
#include <vector>

namespace graniteseam::test {

struct CommandResult {
  int exit_code = -1;
  std::string out;
  std::string errors;
};

/// Runs graniteseamctl with these arguments and waits for its end.
CommandResult RunCommand(const std::vector<std::string>& arguments);

/// A folder of this test's own, removed with the object.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  /// Writes a file and returns its path.
  std::string Write(const std::string& name, const std::string& text) const;
  std::string Path(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

std::string ReadText(const std::string& path);

}  // namespace graniteseam::test
