#include "testbed/registered/lagging_list.h"

#include <algorithm>

#include "src/runtime/clock.h"

namespace graniteseam::testbed {

LaggingList::LaggingList(std::vector<std::string> addresses, Duration lag) : lag_(lag) {
  versions_.push_back({Instant{}, std::move(addresses)});
}

auto LaggingList::Change(std::vector<std::string> addresses) -> void {
  std::lock_guard const lock(mutex_);
  versions_.push_back({runtime::BootTimeNow(), std::move(addresses)});
}

auto LaggingList::Addresses() const -> std::vector<std::string> {
  std::lock_guard const lock(mutex_);
  auto const seen = runtime::BootTimeNow() - lag_;
  // The first one holds from the start on.
  auto const it = std::find_if(versions_.rbegin(), versions_.rend() - 1,
                               [&](auto const& version) { return version.since <= seen; });
  return it->addresses;
}

}  // namespace graniteseam::testbed
