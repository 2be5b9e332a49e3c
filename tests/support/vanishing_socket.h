/// @file
/// A TCP socket whose peer hears nothing of it any more, neither data nor acknowledgements nor
/// ends.
#pragma once

#include <linux/filter.h>
#include <sys/socket.h>

namespace graniteseam::test {

/// Makes the kernel drop every segment that arrives for the socket before TCP sees it.
inline void Vanish(int descriptor) {
  sock_filter drop_all[] = {{BPF_RET | BPF_K, 0, 0, 0}};
  const sock_fprog program{1, drop_all};
  setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

}  // namespace graniteseam::test
