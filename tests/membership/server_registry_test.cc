#include "src/membership/server_registry.h"

#include <criterion/criterion.h>

using graniteseam::Incarnation;
using graniteseam::ServerId;
using graniteseam::ServiceName;
using graniteseam::ZoneName;
using graniteseam::membership::kRemovedMaximum;
using graniteseam::membership::ServerRecord;
using graniteseam::membership::ServerRegistry;

namespace {

const ServerId kServer{"transcripts-1"};

ServerRecord Record(std::uint64_t incarnation) {
  return {kServer, ServiceName{"transcripts"}, "127.0.0.1:7100", ZoneName{"a"},
          Incarnation{incarnation}};
}

}  // namespace

Test(server_registry, registering_again_replaces_all_but_the_drain) {
  ServerRegistry registry;
  registry.Register(Record(1), 1);
  cr_assert(registry.SetDraining(kServer, true, 2));
  registry.Register(Record(2), 3);
  const auto* record = registry.Find(kServer);
  cr_assert(record != nullptr);
  cr_assert(record->incarnation == Incarnation{2});
  cr_assert(record->draining);
  cr_assert(record->changed_at == 3);
}

Test(server_registry, serves_from_registration_until_its_lease_is_over) {
  ServerRegistry registry;
  registry.Register(Record(1), 1);
  cr_assert(registry.Find(kServer)->AcceptsNewWork());
  cr_assert(registry.SetServing(kServer, false, 2));
  cr_assert_not(registry.Find(kServer)->AcceptsNewWork());
  registry.Register(Record(1), 3);
  cr_assert(registry.Find(kServer)->AcceptsNewWork());
}

Test(server_registry, only_a_change_is_dated) {
  ServerRegistry registry;
  registry.Register(Record(1), 1);
  cr_assert(registry.SetLeaving(kServer, false, 2));
  cr_assert(registry.version() == 1);
  cr_assert(registry.SetLeaving(kServer, true, 3));
  cr_assert(registry.version() == 3);
  cr_assert(registry.Find(kServer)->changed_at == 3);
  cr_assert_not(registry.Find(kServer)->AcceptsNewWork());
  registry.Register(Record(2), 4);
  cr_assert_not(registry.Find(kServer)->leaving);
}

Test(server_registry, unknown_server_can_not_be_drained) {
  ServerRegistry registry;
  cr_assert_not(registry.SetDraining(kServer, true, 2));
  cr_assert(registry.Find(kServer) == nullptr);
}

Test(server_registry, removal_is_dated) {
  ServerRegistry registry;
  registry.Register(Record(1), 1);
  registry.Remove(ServerId{"another"}, 8);
  cr_assert(registry.RemovedSince(0).empty());
  registry.Remove(kServer, 9);
  cr_assert(registry.version() == 9);
  cr_assert(registry.RemovedSince(8) == std::vector{kServer});
  cr_assert(registry.RemovedSince(9).empty());
  cr_assert(registry.servers().empty());
}

Test(server_registry, server_that_came_back_does_not_count_as_removed) {
  ServerRegistry registry;
  registry.Register(Record(1), 1);
  registry.Remove(kServer, 2);
  registry.Register(Record(2), 3);
  cr_assert(registry.RemovedSince(0).empty());
}

Test(server_registry, old_removals_are_forgotten_and_their_age_is_known) {
  ServerRegistry registry;
  for (std::uint64_t version = 1; version <= 2 * kRemovedMaximum + 2; version += 2) {
    registry.Register(Record(version), version);
    registry.Remove(kServer, version + 1);
  }
  cr_assert(registry.removals_known_after() == 2);
}

Test(server_registry, restored_state_is_equal) {
  ServerRegistry registry;
  registry.Register(Record(1), 1);
  registry.SetDraining(kServer, true, 2);
  auto other = Record(1);
  other.id = ServerId{"another"};
  registry.Register(other, 7);
  registry.Remove(other.id, 8);
  ServerRegistry restored;
  restored.Restore(registry.State());
  cr_assert(restored.servers() == registry.servers());
  cr_assert(restored.RemovedSince(0) == registry.RemovedSince(0));
  cr_assert(restored.version() == registry.version());
}
