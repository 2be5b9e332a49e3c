#include "src/membership/server_registry.h"

#include <criterion/criterion.h>

using graniteseam::Incarnation;
using graniteseam::ServerId;
using graniteseam::ServiceName;
using graniteseam::ZoneName;
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
  cr_assert(registry.removed_at() == 0);
  registry.Remove(kServer, 9);
  cr_assert(registry.removed_at() == 9);
  cr_assert(registry.servers().empty());
}

Test(server_registry, restored_state_is_equal) {
  ServerRegistry registry;
  registry.Register(Record(1), 1);
  registry.SetDraining(kServer, true, 2);
  registry.Remove(ServerId{"another"}, 8);
  ServerRegistry restored;
  restored.Restore(registry.State());
  cr_assert(restored.servers() == registry.servers());
  cr_assert(restored.removed_at() == registry.removed_at());
  cr_assert(restored.version() == registry.version());
}
