#include "src/daemon/control/persist_batch.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "tests/support/fixed_seed.h"

namespace consensus = graniteseam::consensus;
namespace program = graniteseam::daemon;

namespace {

/// What is on a disk after requests were made durable in order.
struct Disk {
  std::vector<consensus::LogEntry> entries;
  std::optional<consensus::HardState> hard_state;
  std::optional<consensus::Snapshot> snapshot;

  void Apply(const consensus::PersistRequest& request) {
    if (request.snapshot) {
      snapshot = *request.snapshot;
      std::erase_if(entries, [&](const consensus::LogEntry& entry) {
        return entry.index <= snapshot->last_index;
      });
    }
    if (request.truncate_from) {
      std::erase_if(entries, [&](const consensus::LogEntry& entry) {
        return entry.index >= *request.truncate_from;
      });
    }
    entries.insert(entries.end(), request.entries.begin(), request.entries.end());
    if (request.hard_state) hard_state = request.hard_state;
  }
  bool operator==(const Disk&) const = default;
};

/// Requests as a member's consensus could make them: entries continue the log.
std::vector<consensus::PersistRequest> DrawRequests() {
  std::vector<consensus::PersistRequest> requests;
  std::uint64_t last = 0;
  const int count = *rc::gen::inRange(0, 12);
  for (int sequence = 1; sequence <= count; ++sequence) {
    consensus::PersistRequest request;
    request.sequence = static_cast<std::uint64_t>(sequence);
    if (*rc::gen::inRange(0, 5) == 0 && last > 0) {
      const std::uint64_t from = *rc::gen::inRange<std::uint64_t>(1, last + 1);
      request.truncate_from = graniteseam::LogIndex{from};
      last = from - 1;
    }
    if (*rc::gen::inRange(0, 6) == 0) {
      consensus::Snapshot snapshot;
      snapshot.last_index = graniteseam::LogIndex{last};
      request.snapshot = std::make_shared<const consensus::Snapshot>(std::move(snapshot));
    }
    for (int entry = *rc::gen::inRange(0, 4); entry > 0; --entry) {
      request.entries.push_back({{request.sequence}, {++last}, {}, ""});
    }
    if (*rc::gen::arbitrary<bool>()) request.hard_state.emplace().term.value = request.sequence;
    requests.push_back(request);
  }
  return requests;
}

}  // namespace

Test(persist_batch, joined_requests_leave_what_single_ones_leave) {
  const bool held = rc::check([] {
    const auto requests = DrawRequests();
    const auto joined = program::JoinRequests(requests);
    Disk one_by_one;
    for (const auto& request : requests) one_by_one.Apply(request);
    Disk together;
    for (const auto& request : joined) together.Apply(request);
    RC_ASSERT(one_by_one == together);
    RC_ASSERT(joined.size() <= requests.size());
    if (!requests.empty()) RC_ASSERT(joined.back().sequence == requests.back().sequence);
  });
  cr_assert(held);
}

Test(persist_batch, appends_need_one_sync) {
  std::vector<consensus::PersistRequest> requests(100);
  for (std::uint64_t index = 0; index < requests.size(); ++index) {
    requests[index].entries.push_back({{1}, {index + 1}, {}, ""});
  }
  cr_assert(program::JoinRequests(requests).size() == 1);
}
