#include "src/daemon/operator_cli/files.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace graniteseam::operator_cli {
namespace {

constexpr std::size_t kFileBytesMaximum = std::size_t{2} << 20;

}  // namespace

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(kFileBytesMaximum + 1, '\0');
  // A folder opens, but does not read.
  if (!file || (!file.read(text.data(), static_cast<std::streamsize>(text.size())) &&
                (file.bad() || !file.eof()))) {
    return Fail(ErrorKind::kInvalidArgument, "The file " + path + " can't be read.",
                "Check the path and its permissions.");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kFileBytesMaximum) {
    return Fail(ErrorKind::kTooLarge, "The file " + path + " is larger than 2 MiB.",
                "Check that it is the file you mean.");
  }
  return text;
}

Result<std::string> ReadFirstLine(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  constexpr char kBlanks[] = " \t\r";
  std::string line = text.substr(0, text.find('\n'));
  line.erase(0, line.find_first_not_of(kBlanks));
  line.erase(line.find_last_not_of(kBlanks) + 1);
  return line;
}

Result<void> WriteSecretFile(const std::string& path, const std::string& text) {
  const int descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  if (descriptor < 0) {
    const int cause = errno;
    return Fail(cause == EEXIST ? ErrorKind::kFailedPrecondition : ErrorKind::kInvalidArgument,
                "The file " + path + " can't be created (" + std::strerror(cause) + ").",
                "Name a new file in a folder that you may write to.");
  }
  const bool written =
      write(descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size()) &&
      fsync(descriptor) == 0;
  if (close(descriptor) == 0 && written) return {};
  unlink(path.c_str());
  return Fail(ErrorKind::kStorageIo, "The file " + path + " could not be written whole.",
              "Check the disk; the file was removed.");
}

}  // namespace graniteseam::operator_cli
