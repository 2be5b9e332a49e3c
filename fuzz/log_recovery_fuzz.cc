/// @file
/// Recovery of a log whose newest segment has any content. What was recovered once, with its torn
/// tail cut, is recovered again alike.
#include <cstdlib>
#include <string>
#include <string_view>

#include "fuzz/fuzz_target.h"
#include "src/storage/frame.h"
#include "src/storage/log_store.h"
#include "src/storage/memory_file_system.h"
#include "src/storage/segment_name.h"

namespace {

using graniteseam::storage::LogStore;

constexpr const char* kFolder = "/data";
constexpr std::size_t kSegmentBytes = 1 << 20;

/// @return the number of entries found, or -1 for a refusal.
long Recover(graniteseam::storage::MemoryFileSystem& files) {
  auto opened = graniteseam::Attempt([&] { return LogStore::Open(files, kFolder, kSegmentBytes); });
  if (graniteseam::ErrorOf(opened) != nullptr) return -1;
  auto content = std::get<std::unique_ptr<LogStore>>(opened)->TakeContent();
  return static_cast<long>(content.entries.size());
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace graniteseam;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  storage::MemoryFileSystem files;
  const std::string path = std::string(kFolder) + "/" + storage::SegmentName(1);
  const auto written = Attempt([&]() -> Result<void> {
    BOOST_LEAF_AUTO(file, files.OpenForAppend(path));
    // The first byte says whether the rest is a frame's payload or the segment's raw bytes.
    const bool framed = !bytes.empty() && bytes[0] == 'f';
    const std::string_view rest = bytes.substr(bytes.empty() ? 0 : 1);
    BOOST_LEAF_CHECK(file->Append(framed ? storage::EncodeFrame(1, rest) : std::string(rest)));
    BOOST_LEAF_CHECK(file->Sync());
    return files.SyncFolder(kFolder);
  });
  if (ErrorOf(written) != nullptr) return 0;
  const long first = Recover(files);
  if (first >= 0 && Recover(files) != first) std::abort();
  return 0;
}
