/// @file
/// How the process's allocator treats memory that is freed.
#pragma once

namespace graniteseam::runtime {

/// Makes large blocks go back to the system as they are freed. To be called first in main(): blocks
/// that were taken before stay as they are. Does nothing without glibc.
void ReturnFreedMemory();

}  // namespace graniteseam::runtime
