/// @file
/// Waits, from another thread, until an event loop has nothing of a kind left.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>

#include "graniteseam/common/time.h"

namespace graniteseam::runtime {

/// Evaluates `count` on the loop until it is 0. An event loop that is late does not delay the
/// return beyond `latest`; `count` may then still run once on the loop after the return.
/// @param earliest not to return before this.
/// @return the newest count; none when the loop has not answered at all by then.
std::optional<std::size_t> WaitUntilNone(boost::asio::io_context& loop,
                                         const std::function<std::size_t()>& count,
                                         Instant earliest, Instant latest);

}  // namespace graniteseam::runtime
