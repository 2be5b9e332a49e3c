#include "testbed/fleet/bundle_file.h"

#include <fstream>

namespace graniteseam::testbed {

namespace {

bool IsHeaderLine(const std::string& line) {
  return line.starts_with("version =") || line.starts_with("author =");
}

}  // namespace

Result<std::string> JoinBundles(const std::vector<std::string>& files, std::uint64_t version,
                                const std::string& author) {
  std::string joined = "version = " + std::to_string(version) + "\nauthor = \"" + author + "\"\n";
  for (const auto& path : files) {
    std::ifstream file(path);
    if (!file) {
      return Fail(ErrorKind::kNotFound, "The bundle " + path + " can't be read.",
                  "Run the fleet from the repository, or name the folder with --source-folder.");
    }
    std::string line;
    while (std::getline(file, line)) {
      if (!IsHeaderLine(line)) joined += line + "\n";
    }
  }
  return joined;
}

}  // namespace graniteseam::testbed
