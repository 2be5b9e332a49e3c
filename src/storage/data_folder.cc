#include "src/storage/data_folder.h"

#include <random>

#include "graniteseam/codec/codec.h"
#include "src/storage/frame.h"

namespace graniteseam::storage {
namespace {

constexpr const char* kIdentityName = "identity";
constexpr const char* kLockName = "lock";

/// Identity file of a data folder. New fields are added only at the end; a reader checks `format`
/// first.
struct Identity {
  std::int32_t format = 0;
  ControlId id;
  DiskIncarnation incarnation;
};
BOOST_DESCRIBE_STRUCT(Identity, (), (format, id, incarnation))

Result<Identity> ReadIdentity(FileSystem& files, const std::string& path) {
  BOOST_LEAF_AUTO(content, files.Read(path));
  const Frame frame = ReadFrame(content);
  if (frame.state != FrameState::kValid) {
    return Fail(ErrorKind::kStorageCorrupt, path + " does not pass its checksum.",
                "Replace this control process's disk as described in "
                "docs/operations/replacing-a-control-disk.md.");
  }
  // The frame's sequence number holds the format, so that it is checked before decoding.
  if (frame.sequence != static_cast<std::uint64_t>(kDataFolderFormat)) {
    return Fail(ErrorKind::kIncompatibleFormat,
                path + " has format " + std::to_string(frame.sequence) +
                    "; this program supports " + std::to_string(kDataFolderFormat) + ".",
                "Start the version of the program that wrote the folder.");
  }
  return codec::Decode<Identity>(frame.payload);
}

Result<void> CheckEmpty(FileSystem& files, const std::string& path) {
  BOOST_LEAF_AUTO(names, files.List(path));
  for (const std::string& name : names) {
    if (name == kLockName) continue;
    std::string message = "The data folder ";
    message.append(path).append(" holds ").append(name).append(" but no identity.");
    return Fail(ErrorKind::kStorageCorrupt, message,
                "Name an empty folder, or replace this control process's disk as described in "
                "docs/operations/replacing-a-control-disk.md.");
  }
  return {};
}

}  // namespace

Result<DataFolder> DataFolder::Open(FileSystem& files, const std::string& path, ControlId id,
                                    DiskIncarnation fresh_incarnation) {
  DataFolder folder;
  BOOST_LEAF_CHECK(files.CreateFolder(path));
  BOOST_LEAF_ASSIGN(folder.lock_, files.Lock(path + "/" + kLockName));
  BOOST_LEAF_CHECK(RemoveTemporaryFiles(files, path));
  const std::string identity_path = path + "/" + kIdentityName;
  if (!files.Exists(identity_path)) {
    BOOST_LEAF_CHECK(CheckEmpty(files, path));
    const Identity fresh{kDataFolderFormat, id, fresh_incarnation};
    const std::string frame =
        EncodeFrame(static_cast<std::uint64_t>(kDataFolderFormat), codec::Encode(fresh));
    BOOST_LEAF_CHECK(WriteFileAtomically(files, path, kIdentityName, frame));
    folder.initialised_now_ = true;
  }
  BOOST_LEAF_AUTO(identity, ReadIdentity(files, identity_path));
  if (identity.id != id) {
    return Fail(ErrorKind::kInvalidSettings,
                "The data folder " + path + " belongs to control process " +
                    std::to_string(identity.id.value) + ", not " + std::to_string(id.value) + ".",
                "Correct `id` or `data_folder` in the settings.");
  }
  folder.incarnation_ = identity.incarnation;
  return folder;
}

DiskIncarnation GenerateIncarnation() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> any(1, (std::uint64_t{1} << 62U) - 1);
  return DiskIncarnation{any(device)};
}

}  // namespace graniteseam::storage
