#include "testbed/support/record_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace graniteseam::testbed {

Result<RecordFile> RecordFile::Open(const std::string& path) {
  if (path.empty()) return RecordFile(-1);
  constexpr int kMode = 0644;
  const int descriptor = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kMode);
  if (descriptor < 0) {
    return Fail(ErrorKind::kStorageIo,
                "The record file " + path + " can't be opened: " + std::strerror(errno) + ".",
                "Name a file in a folder that this process may write to.");
  }
  return RecordFile(descriptor);
}

RecordFile::RecordFile(RecordFile&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

RecordFile::~RecordFile() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

void RecordFile::Append(const Record& record) {
  if (descriptor_ < 0) return;
  const std::string line = EncodeRecord(record) + "\n";
  const ssize_t written = ::write(descriptor_, line.data(), line.size());
  if (written == static_cast<ssize_t>(line.size())) return;
  std::fprintf(stderr, "testbed: A record could not be written: %s.\n", std::strerror(errno));
  std::abort();
}

}  // namespace graniteseam::testbed
