#include "src/daemon/control/persist_batch.h"

#include <iterator>
#include <utility>

namespace graniteseam::daemon {
namespace {

bool Joins(const consensus::PersistRequest& next) { return !next.truncate_from && !next.snapshot; }

void Append(consensus::PersistRequest& into, consensus::PersistRequest next) {
  into.entries.insert(into.entries.end(), std::make_move_iterator(next.entries.begin()),
                      std::make_move_iterator(next.entries.end()));
  if (next.hard_state) into.hard_state = std::move(next.hard_state);
  into.sequence = next.sequence;
}

}  // namespace

std::vector<consensus::PersistRequest> JoinRequests(
    std::vector<consensus::PersistRequest> requests) {
  std::vector<consensus::PersistRequest> joined;
  for (consensus::PersistRequest& request : requests) {
    if (!joined.empty() && Joins(request)) {
      Append(joined.back(), std::move(request));
    } else {
      joined.push_back(std::move(request));
    }
  }
  return joined;
}

}  // namespace graniteseam::daemon
