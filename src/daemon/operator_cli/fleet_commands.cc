/// @file
/// The commands on the fleet: its state, shards and servers.

#include <cstdio>
#include <ostream>

#include "src/daemon/operator_cli/command.h"
#include "src/daemon/operator_cli/control_calls.h"
#include "src/daemon/operator_cli/json_output.h"
#include "src/daemon/operator_cli/table.h"

namespace graniteseam::operator_cli {
namespace {

std::string Decimal(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", value);
  return text;
}

std::string StateText(control::ShardState state) {
  switch (state) {
    case control::ShardState::kUnassigned:
      return "unassigned";
    case control::ShardState::kAssigned:
      return "assigned";
    case control::ShardState::kMoving:
      break;
  }
  return "moving";
}

void AddMembers(Table& table, const control::FleetView& view,
                const std::vector<consensus::Member>& members, const std::string& role) {
  for (const consensus::Member& member : members) {
    const bool leads = view.leader.has_value() && view.leader->IsSameMemberAs(member);
    table.AddRow({std::to_string(member.id.value), leads ? "leader" : role, member.zone.value,
                  member.address, std::to_string(member.disk.value)});
  }
}

void PrintServers(std::ostream& out, const control::FleetView& view) {
  Table table({"SERVER", "SERVICE", "ZONE", "ADDRESS", "LEASE", "WORK", "SHARDS", "LOAD HINT"});
  for (const control::ServerView& server : view.servers) {
    const control::ServerEntry& entry = server.entry;
    table.AddRow({entry.id.value, entry.service.value, entry.zone.value, entry.address,
                  server.leased ? std::to_string(server.lease_remaining_ms) + " ms left" : "none",
                  server.draining ? "draining" : (entry.accepts_new_work ? "yes" : "no"),
                  std::to_string(server.shards), Decimal(entry.load_hint)});
  }
  table.Print(out);
}

void PrintFleet(std::ostream& out, const control::FleetView& view) {
  out << "Term " << view.term.value << ", committed up to " << view.commit_index.value
      << ", bundle " << view.bundle_version.value << " in force, " << view.shard_moves
      << " shard moves so far.\n";
  for (const ZoneName& zone : view.drained_zones) out << "Zone " << zone.value << " is drained.\n";
  out << "\n";
  Table members({"CONTROL", "ROLE", "ZONE", "ADDRESS", "DISK"});
  AddMembers(members, view, view.membership.voters, "voter");
  AddMembers(members, view, view.membership.learners, "learner");
  members.Print(out);
  out << "\n";
  PrintServers(out, view);
  out << "\n";
  Table routers({"ROUTER", "BUNDLE", "HEARD OF"});
  for (const control::ProcessVersion& router : view.routers) {
    routers.AddRow({router.process, std::to_string(router.version.value),
                    std::to_string(router.age_ms) + " ms ago"});
  }
  routers.Print(out);
}

/// @param area of the API, "servers" or "zones".
/// @param what begins the line that is printed.
Result<void> Drain(const CommandContext& context, const std::string& area,
                   const std::string& action, const std::string& what, const std::string& done) {
  const std::string& name = context.arguments[0];
  const std::string path = "/v1/" + area + "/" + PathSegment(name) + "/" + action;
  BOOST_LEAF_AUTO(accepted, Change(context, path, "{}"));
  if (context.options.json) {
    PrintJson(context.out, accepted);
  } else {
    context.out << what << " " << name << " " << done << "\n";
  }
  return {};
}

}  // namespace

Result<void> FleetStatus(const CommandContext& context) {
  BOOST_LEAF_AUTO(view, GetFleet(context));
  if (context.options.json) {
    PrintJson(context.out, view);
  } else {
    PrintFleet(context.out, view);
  }
  return {};
}

Result<void> ShardShow(const CommandContext& context) {
  const std::string service = context.arguments.empty() ? "" : context.arguments[0];
  BOOST_LEAF_AUTO(view, GetShards(context, service));
  if (context.options.json) {
    PrintJson(context.out, view);
    return {};
  }
  Table table({"SERVICE", "SHARD", "STATE", "OWNER", "EPOCH"});
  for (const control::ShardEntry& entry : view.shards) {
    table.AddRow({entry.shard.service.value, std::to_string(entry.shard.index),
                  StateText(entry.state), entry.owner.value, std::to_string(entry.epoch.value)});
  }
  table.Print(context.out);
  return {};
}

Result<void> ShardMove(const CommandContext& context) {
  const std::string& service = context.arguments[0];
  const std::string& target = context.arguments[2];
  BOOST_LEAF_AUTO(index, ParseNumber(context.arguments[1], "shard"));
  const std::string path =
      "/v1/shards/" + PathSegment(service) + "/" + std::to_string(index) + "/move";
  BOOST_LEAF_AUTO(accepted, Change(context, path, http::ToJson(http::MoveBody{{target}})));
  if (context.options.json) {
    PrintJson(context.out, accepted);
  } else {
    context.out << "Shard " << index << " of " << service << " moves to " << target
                << "; see `graniteseamctl shard show " << service << "`.\n";
  }
  return {};
}

Result<void> ServerDrain(const CommandContext& context) {
  return Drain(context, "servers", "drain", "Server", "gets no new work; its shards move away.");
}

Result<void> ServerUndrain(const CommandContext& context) {
  return Drain(context, "servers", "undrain", "Server", "takes work again.");
}

Result<void> ZoneDrain(const CommandContext& context) {
  return Drain(context, "zones", "drain", "Zone", "gets no new work; its keys move to others.");
}

Result<void> ZoneUndrain(const CommandContext& context) {
  return Drain(context, "zones", "undrain", "Zone", "takes work again.");
}

}  // namespace graniteseam::operator_cli
