#include "simulation/simulator/control_process.h"

#include <algorithm>
#include <utility>

#include "simulation/simulator/reviewer.h"

namespace graniteseam::simulation {

namespace {

constexpr Duration kSyncMinimum{100};
constexpr Duration kSyncMaximum{2'000};
constexpr Duration kSpaceRetry{50'000};
constexpr std::size_t kCompactAfter = 400;
constexpr std::size_t kSegmentBytes = std::size_t{64} * 1024;
/// The virtual run begins at some day of the year 2026.
constexpr std::int64_t kWallStartMs = 1'780'000'000'000;

}  // namespace

ControlProcess::ControlProcess(World& world, ControlPorts& ports, std::uint32_t number,
                               std::uint32_t zone)
    : Process(world, {NodeKind::kControl, number}, zone),
      ports_(ports),
      address_("10.0.0." + std::to_string(number) + ":7000"),
      disk_(world.random.Next()) {}

consensus::Member ControlProcess::FirstSelf() const {
  return {ControlId{name().number}, DiskIncarnation{100 + name().number}, address_,
          ZoneName{"zone-" + std::to_string(world_.ZoneOf(name()))}};
}

std::int64_t ControlProcess::WallMs() const {
  return kWallStartMs + world_.now() / 1000 + wall_offset_ms_;
}

void ControlProcess::OnStart() {
  failed_ = false;
  waits_for_space_ = false;
  busy_until_ = world_.now();
  storage::StorageOptions options;
  options.folder = "/data";
  options.id = ControlId{name().number};
  options.address = address_;
  options.zone = FirstSelf().zone;
  options.segment_bytes = kSegmentBytes;
  options.fresh_incarnation = DiskIncarnation{present_disk()};
  if (!founded_) options.bootstrap = consensus::Membership{first_voters_, {}};
  founded_ = true;
  for (consensus::Member seed : seeds_.empty() ? first_voters_ : seeds_) {
    seed.disk = {};
    options.seeds.push_back(seed);
  }
  auto opened = Attempt([&] { return storage::ConsensusStorage::Open(disk_, options); });
  if (const Error* error = ErrorOf(opened)) {
    failed_ = true;
    if (error->kind == ErrorKind::kStorageIo || error->kind == ErrorKind::kStorageFull) {
      StopByDiskFault();
      return;
    }
    world_.oracle.Violate(world_.now(), ToString(name()) + " does not start: " + ToString(*error));
    return;
  }
  storage_ = std::move(std::get<std::unique_ptr<storage::ConsensusStorage>>(opened));
  if (storage_->torn_bytes() > 0) world_.Count("torn tail cut");
  control::ControlOptions control;
  control.compact_after_entries = kCompactAfter;
  control.consensus.entries_kept_after_snapshot = kCompactAfter / 2;
  control.membership = repair_options_;
  control.traffic = traffic_options_;
  control.reviewer_keys[kReviewerName] = ReviewerPublicKey();
  node_ = std::make_unique<control::ControlNode>(control, storage_->TakeRecovered(),
                                                 world_.random.Next(), Now());
}

void ControlProcess::OnKill() {
  node_.reset();
  storage_.reset();
  disk_.EndProcess();
}

void ControlProcess::LosePower() {
  Kill();
  disk_.LosePower();
  disk_.FailSyncs(0);
}

void ControlProcess::LosePowerAtWrite() {
  disk_.FailSyncsAfter(static_cast<int>(world_.random.Below(4)), 1);
}

void ControlProcess::LoseDisk() {
  Kill();
  disk_.LoseDisk();
  disk_.FailSyncs(0);
  ++disks_;
}

void ControlProcess::SetDiskFull(bool full) {
  disk_.SetCapacity(full ? std::optional<std::uint64_t>(1024) : std::nullopt);
}

Instant ControlProcess::NextTick() const { return node_ ? node_->NextTick() : Instant::max(); }

void ControlProcess::OnTick() {
  Run([this](control::ControlNode& node, Instant now) { return node.Tick(now, WallMs()); });
}

void ControlProcess::Run(const Step& step) {
  if (!works()) return;
  TakeEffects(step(*node_, Now()));
}

void ControlProcess::TakeEffects(const control::ControlEffects& effects) {
  const std::uint64_t start = starts();
  const auto carry_out = [this, start, effects] {
    if (!alive() || starts() != start) return;
    // What a process hands to the kernel leaves it even when it pauses right after.
    CarryOut(effects);
  };
  if (effects.persist.Empty()) {
    world_.queue.At(busy_until_, carry_out);
    return;
  }
  const std::uint64_t sequence = effects.persist.sequence;
  Persist(effects.persist, start, [this, start, sequence, carry_out] {
    busy_until_ = std::max(busy_until_, world_.now()) +
                  world_.random.Between(kSyncMinimum, kSyncMaximum).count();
    world_.queue.At(busy_until_, carry_out);
    world_.queue.At(busy_until_, [this, start, sequence] {
      if (!alive() || starts() != start) return;
      Deliver([this, sequence] {
        Run([sequence](control::ControlNode& node, Instant now) {
          return node.OnPersistDone(sequence, now);
        });
      });
    });
  });
}

void ControlProcess::Persist(const consensus::PersistRequest& request, std::uint64_t start,
                             const std::function<void()>& done) {
  if (!alive() || starts() != start) return;
  const auto persisted = Attempt([&] { return storage_->Persist(request); });
  const Error* error = ErrorOf(persisted);
  if (error == nullptr) {
    waits_for_space_ = false;
    done();
    return;
  }
  if (error->kind == ErrorKind::kStorageFull) {
    world_.Count("disk full met");
    waits_for_space_ = true;
    world_.queue.After(kSpaceRetry,
                       [this, request, start, done] { Persist(request, start, done); });
    return;
  }
  failed_ = true;
  StopByDiskFault();
}

void ControlProcess::StopByDiskFault() {
  // The process stops; here the power goes with it, so that the write is torn.
  world_.Count("stopped by its disk");
  world_.queue.After(Duration(1), [this, start = starts()] {
    if (alive() && starts() == start) LosePower();
  });
  world_.queue.After(world_.random.Between(Duration(50'000), Duration(2'000'000)),
                     [this] { Start(); });
}

void ControlProcess::CarryOut(const control::ControlEffects& effects) {
  for (const auto& message : effects.peer_messages) ports_.SendToPeer(name(), message);
  for (const auto& send : effects.lease_sends) ports_.SendToServer(*this, send);
  for (const auto& send : effects.router_sends) ports_.SendToRouter(*this, send);
  for (const auto& reply : effects.operator_replies) ports_.SendToOperator(name(), reply);
  for (const auto& order : effects.range_orders) ports_.SendToOwner(*this, order);
  for (const auto& note : effects.range_notes) {
    world_.Trace(ToString(name()) + " " + std::string(note.what) + " " + note.service.value + " " +
                 std::to_string(note.span.first) + " to " + std::to_string(note.span.last) +
                 " fence " + std::to_string(note.fence.value) + " of " + note.instance.value +
                 ": " + note.inputs);
  }
  for (const auto& note : effects.suspect_notes) {
    world_.Trace(ToString(name()) + " " + std::string(note.what) + " " +
                 std::to_string(note.digest.value) + ": " + note.inputs);
  }
}

}  // namespace graniteseam::simulation
