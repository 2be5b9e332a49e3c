/// @file
/// The append-only file that a stand-in writes its records to.
#pragma once

#include <string>

#include "graniteseam/common/error.h"
#include "testbed/support/record.h"

namespace graniteseam::testbed {

/// Appends records, each by one write(2) of a whole line: a kill of the process loses no line that
/// Append() returned from, and tears none in the middle of the file. Thread safe.
class RecordFile {
 public:
  /// An empty path drops all records.
  static Result<RecordFile> Open(const std::string& path);

  RecordFile(RecordFile&& other) noexcept;
  RecordFile& operator=(RecordFile&& other) = delete;
  ~RecordFile();

  /// Ends the process when the line can't be written: a stand-in that can't write down what it did
  /// would make the check worthless.
  void Append(const Record& record);

 private:
  explicit RecordFile(int descriptor) : descriptor_(descriptor) {}

  int descriptor_ = -1;
};

}  // namespace graniteseam::testbed
