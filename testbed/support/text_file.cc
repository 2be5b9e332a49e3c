#include "testbed/support/text_file.h"

#include <fstream>
#include <sstream>

namespace graniteseam::testbed {

Result<void> WriteTextFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text << std::flush;
  if (file) return {};
  return Fail(ErrorKind::kStorageIo, "The file " + path + " can't be written.",
              "Choose a folder that this process may write to.");
}

Result<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail(ErrorKind::kNotFound, "The file " + path + " can't be read.", "Check its path.");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace graniteseam::testbed
