#include "src/storage/file_system.h"

namespace graniteseam::storage {

namespace {

Result<void> WriteAndSync(FileSystem& files, const std::string& path, std::string_view content) {
  if (files.Exists(path)) BOOST_LEAF_CHECK(files.Remove(path));
  BOOST_LEAF_AUTO(file, files.OpenForAppend(path));
  BOOST_LEAF_CHECK(file->Append(content));
  return file->Sync();
}

}  // namespace

Result<void> WriteFileAtomically(FileSystem& files, const std::string& folder,
                                 const std::string& name, std::string_view content) {
  const std::string path = folder + "/" + name;
  const std::string temporary = path + std::string(kTemporarySuffix);
  const auto written = Attempt([&] { return WriteAndSync(files, temporary, content); });
  if (const Error* error = ErrorOf(written)) {
    // Frees the space of the incomplete file, which matters when the disk is full.
    static_cast<void>(Attempt([&] { return files.Remove(temporary); }));
    return Fail(*error);
  }
  BOOST_LEAF_CHECK(files.Rename(temporary, path));
  return files.SyncFolder(folder);
}

Result<void> RemoveTemporaryFiles(FileSystem& files, const std::string& folder) {
  BOOST_LEAF_AUTO(names, files.List(folder));
  for (const std::string& name : names) {
    std::string path = folder;
    path.append("/").append(name);
    if (name.ends_with(kTemporarySuffix)) BOOST_LEAF_CHECK(files.Remove(path));
  }
  return {};
}

}  // namespace graniteseam::storage
