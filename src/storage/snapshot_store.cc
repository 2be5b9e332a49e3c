#include "src/storage/snapshot_store.h"

#include "graniteseam/codec/codec.h"
#include "src/storage/frame.h"

namespace graniteseam::storage {
namespace {

constexpr const char* kSnapshotName = "snapshot";

/// The fields of StoredSnapshot after its snapshot. Encoded on their own, so that the snapshot is
/// not copied.
struct SnapshotEffect {
  bool replaces_log = false;
};
BOOST_DESCRIBE_STRUCT(SnapshotEffect, (), (replaces_log))

}  // namespace

SnapshotStore::SnapshotStore(FileSystem& files, std::string folder)
    : files_(files), folder_(std::move(folder)) {}

Result<std::optional<StoredSnapshot>> SnapshotStore::Load() {
  const std::string path = folder_ + "/" + kSnapshotName;
  if (!files_.Exists(path)) return std::optional<StoredSnapshot>();
  BOOST_LEAF_AUTO(content, files_.Read(path));
  const Frame frame = ReadFrame(content);
  // The file is synced before it is renamed, so an incomplete frame is corruption and never a torn
  // write.
  if (frame.state != FrameState::kValid || frame.Bytes() != content.size()) {
    return Fail(ErrorKind::kStorageCorrupt, path + " does not pass its checksum.",
                "Do not repair the file. Replace this control process's disk as described in "
                "docs/operations/replacing-a-control-disk.md; the other voters hold the "
                "data.");
  }
  BOOST_LEAF_AUTO(stored, codec::Decode<StoredSnapshot>(frame.payload));
  return std::optional<StoredSnapshot>(std::move(stored));
}

Result<void> SnapshotStore::Save(const consensus::Snapshot& snapshot, bool replaces_log) {
  // Fields are encoded one after the other, so this is an encoded StoredSnapshot.
  const std::string frame =
      EncodeFrame(snapshot.last_index.value,
                  codec::Encode(snapshot) + codec::Encode(SnapshotEffect{replaces_log}));
  return WriteFileAtomically(files_, folder_, kSnapshotName, frame);
}

}  // namespace graniteseam::storage
