/// @file
/// FileSystem on POSIX system calls.
#pragma once

#include "src/storage/file_system.h"

namespace graniteseam::storage {

/// FileSystem of the operating system. Stateless; thread safe for calls on different paths.
class PosixFileSystem : public FileSystem {
 public:
  Result<void> CreateFolder(const std::string& path) override;
  Result<std::unique_ptr<AppendFile>> OpenForAppend(const std::string& path) override;
  Result<std::string> Read(const std::string& path) override;
  bool Exists(const std::string& path) override;
  Result<std::vector<std::string>> List(const std::string& folder) override;
  Result<void> Rename(const std::string& from, const std::string& to) override;
  Result<void> Remove(const std::string& path) override;
  Result<void> SyncFolder(const std::string& path) override;
  Result<std::unique_ptr<FileLock>> Lock(const std::string& path) override;
  Result<std::uint64_t> FreeBytes(const std::string& path) override;
};

}  // namespace graniteseam::storage
