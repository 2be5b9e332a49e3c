#include "testbed/fleet/layout.h"

#include <openssl/sha.h>
#include <sys/stat.h>

#include <cmath>
#include <cstdio>

#include "graniteseam/bundle/signature.h"
#include "src/runtime/clock.h"
#include "testbed/support/text_file.h"

namespace graniteseam::testbed {

namespace {

constexpr std::int64_t kCallerSenders = 96;
constexpr double kMicrosPerSecond = 1e6;
/// Each caller of a scenario draws from a seed of its own.
constexpr std::int64_t kSeedsPerScenario = 1'000;

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::string Hex(const unsigned char* bytes, std::size_t size) {
  std::string text;
  for (std::size_t index = 0; index < size; ++index) {
    char digits[3] = {};
    std::snprintf(digits, sizeof(digits), "%02x", bytes[index]);
    text += digits;
  }
  return text;
}

std::string Sha256Hex(const std::string& text) {
  unsigned char digest[SHA256_DIGEST_LENGTH] = {};
  ::SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
  return Hex(digest, sizeof(digest));
}

/// The list of all members of a role, each written by `write`, as a TOML array.
template <class Write>
std::string TomlArray(const Members& members, Role role, Write write) {
  std::string text;
  for (const auto& [name, member] : members) {
    if (member.role != role) continue;
    if (!text.empty()) text += ", ";
    text += Quoted(write(member));
  }
  return "[" + text + "]";
}

/// Where a member listens.
std::string HttpAddress(const Member& member) { return runtime::ToString(member.http_address()); }
std::string PeerAddress(const Member& member) { return runtime::ToString(member.peer_address()); }

/// Where the others reach it: at the link layer's relay when there is one.
std::string KnownHttpAddress(const Member& member) {
  return runtime::ToString(member.KnownAddress(member.http_address()));
}
std::string KnownPeerAddress(const Member& member) {
  return runtime::ToString(member.KnownAddress(member.peer_address()));
}

std::string BootstrapEntry(const Member& member) {
  return std::to_string(member.control_id) + "@" + member.zone + "@" + KnownPeerAddress(member);
}

}  // namespace

Result<Credentials> MakeCredentials(const FleetPaths& paths) {
  Credentials credentials;
  credentials.operator_credential = "fleet-" + std::to_string(runtime::RandomBits());
  credentials.credential_file = paths.folder + "/operator.credential";
  credentials.reviewer_key_file = paths.folder + "/reviewer.key";
  BOOST_LEAF_AUTO(keys, bundle::GenerateKeyPair());
  credentials.reviewer_public_key = keys.public_key_base64;
  BOOST_LEAF_CHECK(
      WriteTextFile(credentials.credential_file, credentials.operator_credential + "\n"));
  BOOST_LEAF_CHECK(WriteTextFile(credentials.reviewer_key_file, keys.private_key_base64 + "\n"));
  constexpr mode_t kOwnerOnly = 0600;
  ::chmod(credentials.credential_file.c_str(), kOwnerOnly);
  ::chmod(credentials.reviewer_key_file.c_str(), kOwnerOnly);
  return credentials;
}

Layout::Layout(const Scenario& scenario, FleetPaths paths, const Credentials& credentials)
    : scenario_(scenario), paths_(std::move(paths)), credentials_(credentials) {}

Result<void> Layout::AddAll(Members& members) {
  BOOST_LEAF_CHECK(AddPlatform(members));
  BOOST_LEAF_CHECK(AddControl(members));
  BOOST_LEAF_CHECK(AddRouters(members));
  BOOST_LEAF_CHECK(AddServers(members));
  return AddCallers(members);
}

Result<Member*> Layout::AddMember(Members& members, const std::string& name, Role role,
                                  std::size_t zone, std::size_t port_count) {
  Member member;
  member.name = name;
  member.role = role;
  member.zone = ZoneName(zone);
  const int number = ++members_in_zone_[zone];
  const std::string place = std::to_string(zone + 1) + "." + std::to_string(number);
  member.ip = "127.0." + place;
  for (std::size_t port = 0; port < port_count; ++port) {
    BOOST_LEAF_AUTO(reserved, ReservedPort::Reserve(member.ip, "127.1." + place));
    member.ports.push_back(std::move(reserved));
  }
  member.command.log = paths_.Log(name);
  member.relayed = scenario_.links.enabled;
  return &members.emplace(name, std::move(member)).first->second;
}

Result<void> Layout::AddPlatform(Members& members) {
  BOOST_LEAF_AUTO(member, AddMember(members, "platform", Role::kPlatform, 0, 1));
  member->command.words = {Program("graniteseam-testbed-platform"),
                           "--http-address",
                           HttpAddress(*member),
                           "--machines",
                           paths_.MachineList(),
                           "--lag-ms",
                           std::to_string(scenario_.platform_lag.count() / 1'000)};
  return {};
}

Result<void> Layout::AddControl(Members& members) {
  std::uint64_t id = 0;
  for (std::size_t zone = 0; zone < scenario_.zone_count(); ++zone) {
    for (std::int64_t count = 0; count < scenario_.voters_per_zone[zone]; ++count) {
      std::string name = "control-" + std::to_string(++id);
      BOOST_LEAF_AUTO(member, AddMember(members, name, Role::kControl, zone, 2));
      member->control_id = id;
      member->data_folder = paths_.folder + "/data/" + name;
      member->command.words = {Program("graniteseam-control"), "--settings", paths_.Settings(name)};
    }
  }
  for (const auto& [name, member] : members) {
    if (member.role == Role::kControl) {
      BOOST_LEAF_CHECK(WriteControlSettings(members, member, true));
    }
  }
  return {};
}

Result<void> Layout::WriteControlSettings(const Members& members, const Member& member,
                                          bool initialise) const {
  std::string text = "id = " + std::to_string(member.control_id) + "\n";
  text += "zone = " + Quoted(member.zone) + "\n";
  text += "data_folder = " + Quoted(member.data_folder) + "\n";
  text += "peer_address = " + Quoted(PeerAddress(member)) + "\n";
  text += "http_address = " + Quoted(HttpAddress(member)) + "\n";
  if (member.relayed) {
    text += "advertised_peer_address = " + Quoted(KnownPeerAddress(member)) + "\n";
    text += "advertised_http_address = " + Quoted(KnownHttpAddress(member)) + "\n";
  }
  text += "platform = " + TomlArray(members, Role::kPlatform, KnownHttpAddress) + "\n";
  if (initialise) {
    text += "initialise = true\n";
    text += "bootstrap = " + TomlArray(members, Role::kControl, BootstrapEntry) + "\n";
  }
  text += "[operators]\nfleet = " + Quoted(Sha256Hex(credentials_.operator_credential)) + "\n";
  text += "[reviewers]\n" + Quoted(credentials_.reviewer) + " = " +
          Quoted(credentials_.reviewer_public_key) + "\n";
  return WriteTextFile(paths_.Settings(member.name), text);
}

Result<void> Layout::AddRouters(Members& members) {
  for (std::size_t zone = 0; zone < scenario_.zone_count(); ++zone) {
    for (std::int64_t count = 1; count <= scenario_.routers_per_zone; ++count) {
      std::string name = "router-" + ZoneName(zone) + "-" + std::to_string(count);
      BOOST_LEAF_AUTO(member, AddMember(members, name, Role::kRouter, zone, 1));
      member->command.words = {Program("graniteseam-router"), "--settings", paths_.Settings(name)};
      BOOST_LEAF_CHECK(WriteRouterSettings(members, *member));
    }
  }
  return {};
}

Result<void> Layout::WriteRouterSettings(const Members& members, const Member& member) const {
  std::string text = "id = " + Quoted(member.name) + "\n";
  text += "zone = " + Quoted(member.zone) + "\n";
  text += "http_address = " + Quoted(HttpAddress(member)) + "\n";
  text += "control = " + TomlArray(members, Role::kControl, KnownPeerAddress) + "\n";
  return WriteTextFile(paths_.Settings(member.name), text);
}

Result<void> Layout::AddServers(Members& members) {
  std::size_t next_zone = 0;
  for (const auto& deployment : scenario_.deployments) {
    for (const auto& group : deployment.servers) {
      const auto count =
          static_cast<int>(std::ceil(static_cast<double>(group.count) * scenario_.server_factor));
      for (int server = 0; server < count; ++server) {
        BOOST_LEAF_CHECK(AddServer(members, group, next_zone++ % scenario_.zone_count()));
      }
    }
  }
  return {};
}

Result<std::string> Layout::AddServer(Members& members, const ServerGroup& group,
                                      std::size_t zone) {
  const int number = ++servers_of_service_[group.service];
  std::string name = group.service + "-" + std::to_string(number);
  BOOST_LEAF_AUTO(member, AddMember(members, name, Role::kServer, zone, 1));
  member->service = group.service;
  auto& words = member->command.words;
  words = {Program("graniteseam-testbed-server"),
           "--id",
           name,
           "--service",
           group.service,
           "--zone",
           member->zone,
           "--http-address",
           HttpAddress(*member),
           "--slots",
           std::to_string(group.slots),
           "--connections",
           std::to_string(group.connections),
           "--work-ms",
           std::to_string(group.work_ms),
           "--cold-start-ms",
           std::to_string(group.cold_start_ms),
           "--hint-lag-ms",
           std::to_string(group.hint_lag_ms),
           "--seed",
           std::to_string(scenario_.seed + number)};
  if (scenario_.servers_record) words.insert(words.end(), {"--record", paths_.Record(name)});
  if (group.keyed) words.emplace_back("--keyed");
  if (number <= group.liars) {
    words.insert(words.end(), {"--claimed-load-percent", "0", "--always-healthy"});
  }
  return name;
}

Result<void> Layout::AddCallers(Members& members) {
  for (const auto& deployment : scenario_.deployments) {
    for (std::size_t zone = 0; zone < scenario_.zone_count(); ++zone) {
      BOOST_LEAF_CHECK(AddCaller(members, deployment, zone));
    }
  }
  return {};
}

Result<void> Layout::AddCaller(Members& members, const Deployment& deployment, std::size_t zone) {
  std::string name = "caller-" + deployment.name + "-" + ZoneName(zone);
  BOOST_LEAF_AUTO(member, AddMember(members, name, Role::kCaller, zone, 0));
  std::string routers;
  for (const auto& [router_name, router] : members) {
    if (router.role != Role::kRouter || router.zone != member->zone) continue;
    routers += (routers.empty() ? "" : ",") + KnownHttpAddress(router);
  }
  const double zones = static_cast<double>(scenario_.zone_count());
  const double rate = deployment.rate * scenario_.rate_factor / zones;
  const double seconds = static_cast<double>(scenario_.duration.count()) / kMicrosPerSecond;
  member->command.words = {Program("graniteseam-testbed-caller"),
                           "--router",
                           routers,
                           "--traffic",
                           deployment.traffic,
                           "--rate",
                           std::to_string(rate),
                           "--duration-s",
                           std::to_string(seconds),
                           "--senders",
                           std::to_string(kCallerSenders),
                           "--seed",
                           std::to_string(scenario_.seed * kSeedsPerScenario +
                                          static_cast<std::int64_t>(members.size())),
                           "--report",
                           paths_.folder + "/" + name + ".json",
                           "--record",
                           paths_.Record(name)};
  return {};
}

}  // namespace graniteseam::testbed
