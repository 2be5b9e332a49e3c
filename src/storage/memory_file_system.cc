#include "src/storage/memory_file_system.h"

#include <algorithm>
#include <limits>

namespace graniteseam::storage {
namespace {

constexpr std::uint64_t kSectorBytes = 512;

std::string FolderOf(const std::string& path) { return path.substr(0, path.rfind('/')); }

boost::leaf::error_id NotFound(const std::string& path) {
  return Fail(ErrorKind::kStorageIo, path + " does not exist.", "Check the path.");
}

}  // namespace

class MemoryAppendFile : public AppendFile {
 public:
  MemoryAppendFile(MemoryFileSystem& files, std::shared_ptr<MemoryFileSystem::Inode> inode,
                   std::string path)
      : files_(files), inode_(std::move(inode)), path_(std::move(path)) {}

  Result<void> Append(std::string_view bytes) override {
    return files_.AppendTo(*inode_, path_, bytes);
  }
  Result<void> Sync() override { return files_.SyncInode(*inode_, path_); }
  Result<void> Truncate(std::uint64_t size) override {
    inode_->content.resize(size);
    inode_->synced_size = std::min(inode_->synced_size, size);
    return {};
  }

 private:
  MemoryFileSystem& files_;
  std::shared_ptr<MemoryFileSystem::Inode> inode_;
  std::string path_;
};

namespace {

class MemoryFileLock : public FileLock {
 public:
  MemoryFileLock(std::set<std::string>& locks, std::string path)
      : locks_(locks), path_(std::move(path)) {}
  ~MemoryFileLock() override { locks_.erase(path_); }

 private:
  std::set<std::string>& locks_;
  std::string path_;
};

}  // namespace

Result<void> MemoryFileSystem::CreateFolder(const std::string&) { return {}; }

Result<std::unique_ptr<AppendFile>> MemoryFileSystem::OpenForAppend(const std::string& path) {
  auto& inode = names_[path];
  if (!inode) inode = std::make_shared<Inode>();
  return std::unique_ptr<AppendFile>(new MemoryAppendFile(*this, inode, path));
}

Result<std::string> MemoryFileSystem::Read(const std::string& path) {
  const auto found = names_.find(path);
  if (found == names_.end()) return NotFound(path);
  return found->second->content;
}

bool MemoryFileSystem::Exists(const std::string& path) { return names_.contains(path); }

Result<std::vector<std::string>> MemoryFileSystem::List(const std::string& folder) {
  std::vector<std::string> listed;
  for (const auto& [path, inode] : names_) {
    if (FolderOf(path) == folder) listed.push_back(path.substr(folder.size() + 1));
  }
  return listed;
}

Result<void> MemoryFileSystem::Rename(const std::string& from, const std::string& to) {
  const auto found = names_.find(from);
  if (found == names_.end()) return NotFound(from);
  names_[to] = found->second;
  names_.erase(from);
  return {};
}

Result<void> MemoryFileSystem::Remove(const std::string& path) {
  if (names_.erase(path) == 0) return NotFound(path);
  return {};
}

Result<void> MemoryFileSystem::SyncFolder(const std::string& path) {
  const auto in_folder = [&](const auto& entry) { return FolderOf(entry.first) == path; };
  std::erase_if(synced_names_, in_folder);
  for (const auto& entry : names_) {
    if (in_folder(entry)) synced_names_.insert(entry);
  }
  return {};
}

Result<std::unique_ptr<FileLock>> MemoryFileSystem::Lock(const std::string& path) {
  if (!locks_.insert(path).second) {
    return Fail(ErrorKind::kFailedPrecondition, "Another process holds the lock " + path + ".",
                "Stop the other process, or give this one a data folder of its own.");
  }
  return std::unique_ptr<FileLock>(new MemoryFileLock(locks_, path));
}

Result<std::uint64_t> MemoryFileSystem::FreeBytes(const std::string&) {
  if (!capacity_) return std::numeric_limits<std::uint64_t>::max();
  return *capacity_ - std::min(*capacity_, UsedBytes());
}

Result<void> MemoryFileSystem::AppendTo(Inode& inode, const std::string& path,
                                        std::string_view bytes) {
  std::size_t fitting = bytes.size();
  if (capacity_) {
    const std::uint64_t used = UsedBytes();
    fitting = std::min<std::uint64_t>(fitting, *capacity_ - std::min(*capacity_, used));
  }
  inode.content += bytes.substr(0, fitting);
  if (fitting == bytes.size()) return {};
  return Fail(ErrorKind::kStorageFull, "Cannot write to " + path + ": no space is left.",
              "Free space on this file system; the process then resumes without a restart.");
}

Result<void> MemoryFileSystem::SyncInode(Inode& inode, const std::string& path) {
  if (passing_syncs_ > 0) {
    --passing_syncs_;
  } else if (failing_syncs_ > 0) {
    --failing_syncs_;
    return Fail(ErrorKind::kStorageIo, "Cannot sync " + path + ": input/output error.",
                "Replace the disk; restart the process only once the disk is healthy.");
  }
  inode.synced_size = inode.content.size();
  ++syncs_;
  return {};
}

std::uint64_t MemoryFileSystem::UsedBytes() const {
  std::uint64_t used = 0;
  for (const auto& [path, inode] : names_) used += inode->content.size();
  return used;
}

void MemoryFileSystem::TearUnsynced(Inode& inode) {
  const std::uint64_t unsynced = inode.content.size() - inode.synced_size;
  inode.content.resize(inode.synced_size + random_() % (unsynced + 1));
  // Sectors are written in any order; one that was not written yet reads as zeros.
  for (std::uint64_t begin = inode.synced_size; begin < inode.content.size();) {
    const std::uint64_t sector_end = (begin / kSectorBytes + 1) * kSectorBytes;
    const std::uint64_t end = std::min<std::uint64_t>(sector_end, inode.content.size());
    if (end == sector_end && random_() % 4 == 0) {
      std::fill(inode.content.begin() + static_cast<std::ptrdiff_t>(begin),
                inode.content.begin() + static_cast<std::ptrdiff_t>(end), '\0');
    }
    begin = end;
  }
  inode.synced_size = inode.content.size();
}

/// A renamed file keeps at least one of its two names, whichever part of the rename survives.
MemoryFileSystem::Names MemoryFileSystem::NamesAfterPowerLoss() {
  Names after = names_;
  std::set<const Inode*> named;
  for (const auto& [path, inode] : names_) {
    const auto synced = synced_names_.find(path);
    const bool changed = synced == synced_names_.end() || synced->second != inode;
    if (changed && random_() % 2 == 0) {
      after.erase(path);
      if (synced != synced_names_.end()) after.insert(*synced);
    }
  }
  for (const auto& [path, inode] : after) named.insert(inode.get());
  for (const auto& [path, inode] : synced_names_) {
    const bool renamed =
        std::any_of(names_.begin(), names_.end(),
                    [&moved = inode](const auto& entry) { return entry.second == moved; });
    const bool lost = renamed && !named.contains(inode.get());
    if (!names_.contains(path) && (lost || random_() % 2 == 0)) after.insert({path, inode});
  }
  return after;
}

void MemoryFileSystem::LosePower() {
  constexpr std::uint64_t kLoseAllUnsyncedOneIn = 4;
  if (randomize_name_loss_ && random_() % kLoseAllUnsyncedOneIn == 0) {
    names_ = synced_names_;
    for (const auto& [path, inode] : names_) inode->content.resize(inode->synced_size);
    locks_.clear();
    return;
  }
  names_ = randomize_name_loss_ ? NamesAfterPowerLoss() : synced_names_;
  synced_names_ = names_;
  for (const auto& [path, inode] : names_) TearUnsynced(*inode);
  locks_.clear();
}

void MemoryFileSystem::LoseDisk() {
  names_.clear();
  synced_names_.clear();
  locks_.clear();
}

void MemoryFileSystem::FlipBit(const std::string& path, std::uint64_t byte, int bit) {
  auto& value = names_.at(path)->content.at(byte);
  value = static_cast<char>(static_cast<unsigned char>(value) ^ (1U << static_cast<unsigned>(bit)));
}

std::uint64_t MemoryFileSystem::SizeOf(const std::string& path) const {
  return names_.at(path)->content.size();
}

}  // namespace graniteseam::storage
