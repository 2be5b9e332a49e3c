/// @file
/// Runs random requests, losses of power and full disks on the storage and on a model that is too
/// simple to be wrong: what was answered survives, and nothing else comes back.
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>

#include "src/storage/consensus_storage.h"
#include "src/storage/memory_file_system.h"
#include "tests/support/fixed_seed.h"

using graniteseam::Attempt;
using graniteseam::ControlId;
using graniteseam::DiskIncarnation;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::LogIndex;
using graniteseam::Term;
using graniteseam::consensus::EntryKind;
using graniteseam::consensus::LogEntry;
using graniteseam::consensus::PersistRequest;
using graniteseam::consensus::Snapshot;
using graniteseam::storage::ConsensusStorage;
using graniteseam::storage::MemoryFileSystem;
using graniteseam::storage::StorageOptions;

namespace {

struct Model {
  std::uint64_t term = 0;
  std::uint64_t snapshot_index = 0;
  std::map<std::uint64_t, std::string> entries;  ///< Those after the snapshot.

  std::uint64_t last_index() const {
    return entries.empty() ? snapshot_index : entries.rbegin()->first;
  }
};

struct System {
  MemoryFileSystem files{7};
  std::unique_ptr<ConsensusStorage> storage;

  void Open() {
    StorageOptions options;
    options.folder = "/data";
    options.id = ControlId{1};
    options.fresh_incarnation = DiskIncarnation{5};
    options.segment_bytes = 600;
    auto opened = Attempt([&] { return ConsensusStorage::Open(files, options); });
    RC_ASSERT(ErrorOf(opened) == nullptr);
    storage = std::move(std::get<std::unique_ptr<ConsensusStorage>>(opened));
  }

  void CheckRecovered(const Model& model) {
    const auto recovered = storage->TakeRecovered();
    RC_ASSERT(recovered.hard_state.term.value == model.term);
    RC_ASSERT((recovered.snapshot ? recovered.snapshot->last_index.value : 0) ==
              model.snapshot_index);
    RC_ASSERT(recovered.entries.size() == model.entries.size());
    for (const LogEntry& entry : recovered.entries) {
      RC_ASSERT(model.entries.at(entry.index.value) == entry.payload);
    }
  }

  std::optional<ErrorKind> Persist(const PersistRequest& request) {
    const auto outcome = Attempt([&] { return storage->Persist(request); });
    const auto* error = ErrorOf(outcome);
    return error == nullptr ? std::nullopt : std::optional(error->kind);
  }
};

using StorageCommand = rc::state::Command<Model, System>;

/// One request of any shape.
struct Write : StorageCommand {
  int shape = *rc::gen::inRange(0, 4);
  std::uint64_t back = *rc::gen::inRange<std::uint64_t>(0, 6);
  std::uint64_t count = *rc::gen::inRange<std::uint64_t>(0, 6);
  std::size_t bytes = *rc::gen::inRange<std::size_t>(0, 300);
  char letter = static_cast<char>(*rc::gen::inRange(97, 123));
  bool disk_full_first = *rc::gen::inRange(0, 4) == 0;

  PersistRequest Request(const Model& model) const {
    PersistRequest request;
    std::uint64_t first = model.last_index() + 1;
    if (shape == 1) {  // A conflict: the end of the log is replaced.
      first = std::max(model.snapshot_index + 1, first - std::min(first, back));
      request.truncate_from = LogIndex{first};
    } else if (shape == 2 && !model.entries.empty()) {  // Compaction.
      const auto through = std::min(model.last_index(), model.snapshot_index + 1 + back);
      request.snapshot = std::make_shared<const Snapshot>(
          Snapshot{LogIndex{through}, Term{1}, {}, std::string(bytes, letter)});
    } else if (shape == 3) {  // A snapshot of the leader replaces the log.
      const auto through = model.last_index() + 1 + back;
      request.snapshot = std::make_shared<const Snapshot>(
          Snapshot{LogIndex{through}, Term{2}, {}, std::string(bytes, letter)});
      request.truncate_from = LogIndex{through + 1};
      first = through + 1;
    }
    for (auto index = first; index < first + count; ++index) {
      request.entries.push_back(
          {Term{1}, LogIndex{index}, EntryKind::kCommand, std::string(bytes, letter)});
    }
    if (back % 2 == 0) request.hard_state = {Term{model.term + 1}, std::nullopt};
    return request;
  }

  void apply(Model& model) const override {
    const PersistRequest request = Request(model);
    if (request.snapshot) {
      model.snapshot_index = request.snapshot->last_index.value;
      model.entries.erase(model.entries.begin(), model.entries.upper_bound(model.snapshot_index));
    }
    if (request.truncate_from) {
      model.entries.erase(model.entries.lower_bound(request.truncate_from->value),
                          model.entries.end());
    }
    for (const auto& entry : request.entries) model.entries[entry.index.value] = entry.payload;
    if (request.hard_state) model.term = request.hard_state->term.value;
  }
  void run(const Model& before, System& system) const override {
    const PersistRequest request = Request(before);
    if (disk_full_first && !request.Empty()) {
      system.files.SetCapacity(0);
      RC_ASSERT(system.Persist(request) == ErrorKind::kStorageFull);
      system.files.SetCapacity(std::nullopt);
    }
    RC_ASSERT(!system.Persist(request).has_value());
  }
};

/// Power goes, maybe in the middle of a write that nobody was told of.
struct LosePower : StorageCommand {
  bool during_write = *rc::gen::inRange(0, 2) == 0;

  void run(const Model& before, System& system) const override {
    if (during_write) {
      // The write repeats what is there, so that the model is right whether or not it survives.
      PersistRequest request;
      request.hard_state = {Term{before.term}, std::nullopt};
      for (const auto& [index, payload] : before.entries) {
        request.entries.push_back({Term{1}, LogIndex{index}, EntryKind::kCommand, payload});
      }
      system.files.FailSyncs(1);
      RC_ASSERT(system.Persist(request) == ErrorKind::kStorageIo);
    }
    system.storage.reset();
    system.files.LosePower();
    system.Open();
    system.CheckRecovered(before);
  }
};

}  // namespace

Test(storage_model, what_was_answered_survives_and_nothing_else) {
  const bool held = rc::check("storage against a model", [] {
    System system;
    system.Open();
    rc::state::check(Model{}, system, rc::state::gen::execOneOfWithArgs<Write, Write, LosePower>());
  });
  cr_assert(held);
}
