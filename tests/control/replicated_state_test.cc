#include "src/control/replicated_state.h"

#include <criterion/criterion.h>

#include "graniteseam/codec/codec.h"

using graniteseam::Attempt;
using graniteseam::Epoch;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::Incarnation;
using graniteseam::LogIndex;
using graniteseam::ServerId;
using graniteseam::ServiceName;
using graniteseam::ShardId;
using graniteseam::Term;
using graniteseam::ZoneName;
using graniteseam::consensus::EntryKind;
using graniteseam::consensus::LogEntry;
using graniteseam::control::ApplyOutcome;
using graniteseam::control::AssignShardsCommand;
using graniteseam::control::BeginMovesCommand;
using graniteseam::control::CommandBody;
using graniteseam::control::EncodeCommand;
using graniteseam::control::LoseServerCommand;
using graniteseam::control::RegisterServerCommand;
using graniteseam::control::ReplicatedState;
using graniteseam::placement::OwnershipState;

namespace {

const ServiceName kService{"transcripts"};
const ServerId kFirst{"t-1"};
const ServerId kSecond{"t-2"};

ShardId Shard(std::uint32_t index) { return {kService, index}; }

struct Log {
  ReplicatedState state;
  std::uint64_t last = 0;

  ApplyOutcome Add(const CommandBody& command) {
    return state.Apply({Term{1}, LogIndex{++last}, EntryKind::kCommand, EncodeCommand(command)});
  }
  void Register(const ServerId& server, std::uint64_t incarnation) {
    Add(RegisterServerCommand{server, kService, "127.0.0.1:1", ZoneName{"a"},
                              Incarnation{incarnation}});
  }
  /// A state with four shards: two of each server. Bundles are tested with the whole group.
  void Found() {
    const auto restored = Attempt([&] {
      graniteseam::control::ReplicatedStateImage image;
      graniteseam::placement::ShardTable shards;
      static_cast<void>(shards.AddService(kService, 4, 0));
      image.shards = shards.State();
      return state.Restore(graniteseam::codec::Encode(image));
    });
    cr_assert(ErrorOf(restored) == nullptr);
    Register(kFirst, 1);
    Register(kSecond, 1);
    Add(AssignShardsCommand{{{Shard(0), Epoch{0}, kFirst},
                             {Shard(1), Epoch{0}, kFirst},
                             {Shard(2), Epoch{0}, kSecond},
                             {Shard(3), Epoch{0}, kSecond}}});
  }
};

}  // namespace

Test(replicated_state, lost_servers_shards_go_where_the_command_says_at_a_higher_epoch) {
  Log log;
  log.Found();
  const auto outcome =
      log.Add(LoseServerCommand{kFirst, Incarnation{1}, {{Shard(0), Epoch{1}, kSecond}}});
  cr_assert(outcome.lost == std::vector{kFirst});
  cr_assert(log.state.shards().Find(Shard(0))->owner == kSecond);
  cr_assert(log.state.shards().Find(Shard(0))->epoch == Epoch{2});
  cr_assert(log.state.shards().Find(Shard(1))->state == OwnershipState::kUnassigned);
}

Test(replicated_state, loss_of_an_earlier_incarnation_changes_nothing) {
  Log log;
  log.Found();
  log.Register(kFirst, 2);
  cr_assert(log.Add(LoseServerCommand{kFirst, Incarnation{1}, {}}).lost.empty());
  cr_assert(log.state.shards().OwnedCount(kFirst) == 2);
}

Test(replicated_state, restarted_server_gets_its_shards_back_at_new_epochs) {
  Log log;
  log.Found();
  log.Add(BeginMovesCommand{{{Shard(1), Epoch{1}, kSecond}}});
  log.Register(kFirst, 2);
  cr_assert(log.state.shards().Find(Shard(0))->owner == kFirst);
  cr_assert(log.state.shards().Find(Shard(0))->epoch == Epoch{2});
  cr_assert(log.state.shards().Find(Shard(1))->owner == kSecond, "its move is done");
}

Test(replicated_state, shard_is_not_given_to_a_server_that_was_lost_meanwhile) {
  Log log;
  log.Found();
  log.Add(BeginMovesCommand{{{Shard(0), Epoch{1}, kSecond}}});
  log.Add(LoseServerCommand{kSecond, Incarnation{1}, {}});
  log.Add(AssignShardsCommand{{{Shard(0), Epoch{1}, kSecond}}});
  cr_assert(log.state.shards().Find(Shard(0))->state == OwnershipState::kUnassigned);
}

Test(replicated_state, restored_state_is_the_same_and_goes_on_alike) {
  Log log;
  log.Found();
  log.Add(BeginMovesCommand{{{Shard(0), Epoch{1}, kSecond}}});
  Log other;
  other.last = log.last;
  const auto restored = Attempt([&] { return other.state.Restore(log.state.Save()); });
  cr_assert(ErrorOf(restored) == nullptr);
  cr_assert(other.state.Save() == log.state.Save());
  log.Add(AssignShardsCommand{{{Shard(0), Epoch{1}, kSecond}}});
  other.Add(AssignShardsCommand{{{Shard(0), Epoch{1}, kSecond}}});
  cr_assert(other.state.Save() == log.state.Save());
  cr_assert(other.state.map_version() == log.last);
}

Test(replicated_state, entry_that_does_not_decode_is_refused_and_counted) {
  ReplicatedState state;
  const auto outcome = state.Apply({Term{1}, LogIndex{1}, EntryKind::kCommand, "garbage"});
  cr_assert(outcome.error && outcome.error->kind == ErrorKind::kMalformedMessage);
  cr_assert(state.applied() == LogIndex{1});
  const auto restored = Attempt([&] { return state.Restore("garbage"); });
  cr_assert(ErrorOf(restored) != nullptr);
}

Test(replicated_state, snapshots_of_earlier_releases_are_read) {
  ReplicatedState state;
  const std::string whole = state.Save();
  const std::size_t tenants =
      graniteseam::codec::Encode(graniteseam::traffic::TenancyImage{}).size();
  const std::size_t drains =
      tenants + graniteseam::codec::Encode(graniteseam::traffic::ZoneDrainImage{}).size();
  const std::size_t suspects =
      graniteseam::codec::Encode(graniteseam::traffic::SuspectImage{}).size();
  for (const std::size_t unknown : {tenants, drains, drains + suspects}) {
    ReplicatedState restored;
    const auto outcome =
        Attempt([&] { return restored.Restore(whole.substr(0, whole.size() - unknown)); });
    cr_assert(ErrorOf(outcome) == nullptr);
    cr_assert(restored.Save() == whole);
  }
}

Test(replicated_state, changes_of_earlier_releases_are_read) {
  graniteseam::control::ChangeConfigurationCommand command;
  command.change.version = {4};
  command.change.whole = true;
  command.change.digest = "d";
  const std::string payload = EncodeCommand(command);
  const std::size_t tenants =
      graniteseam::codec::Encode(graniteseam::traffic::TenancyChange{}).size();
  ReplicatedState state;
  state.Apply(
      {Term{1}, LogIndex{1}, EntryKind::kCommand, payload.substr(0, payload.size() - tenants)});
  cr_assert_eq(state.traffic().configuration().current().version.value, 4U);
}
