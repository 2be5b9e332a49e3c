#include "src/daemon/control/control_settings.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/http/operator_credentials.h"
#include "src/protocol/internal_settings.h"

namespace graniteseam::daemon {
namespace {

using runtime::SettingFault;
using runtime::SettingsReader;

constexpr std::int64_t kLargestId = 1'000'000;

boost::leaf::error_id FailFirstVoter(const std::string& text) {
  return Fail(ErrorKind::kInvalidArgument, "\"" + text + "\" names no first voter.",
              "Write id@zone@ip:port, for example 1@istanbul-1@127.0.0.1:7001.");
}

void CheckFirstVoters(ControlSettings& settings, std::vector<SettingFault>& faults) {
  settings.first_voters.clear();
  if (settings.id == 0 && settings.seeds.empty()) {
    faults.push_back({"settings", "id", "The process has neither an id nor seeds.",
                      "Set id, or list the internal addresses of some members under seeds."});
  }
  runtime::UsePort(settings.seeds, settings.seed_port);
  for (const runtime::SocketAddress& seed : settings.seeds) {
    settings.first_voters.push_back({IdOfAddress(seed), {}, ToString(seed), {}});
  }
  for (const std::string& text : settings.bootstrap) {
    const auto member = Attempt([&] { return ParseFirstVoter(text); });
    if (const Error* error = ErrorOf(member)) {
      faults.push_back({"settings", "bootstrap", error->message, error->remedy});
      continue;
    }
    settings.first_voters.push_back(std::get<consensus::Member>(member));
  }
  if (settings.initialise && settings.first_voters.empty() && settings.bootstrap.empty()) {
    faults.push_back({"settings", "initialise", "There are no first voters to initialise with.",
                      "List the first voters under bootstrap, or leave initialise out."});
  }
}

void CheckOperators(const ControlSettings& settings, std::vector<SettingFault>& faults) {
  for (const auto& [name, digest] : settings.operators) {
    if (http::IsCredentialDigest(digest)) continue;
    faults.push_back({"settings", "operators." + name, "The value is no SHA-256 digest.",
                      "Write the 64 lower-case hex digits of: printf %s CREDENTIAL | sha256sum."});
  }
}

/// A follower must not vote within the time in which an old leader may still act: the lease must
/// end before the shortest election timeout by more than the clocks may drift.
void CheckTimes(const ControlSettings& settings, std::vector<SettingFault>& faults) {
  const consensus::ConsensusOptions& times = settings.node.consensus;
  const double slowest = 1.0 + 2.0 * settings.node.clock_drift_bound;
  const auto lease = static_cast<double>(times.leader_lease.count());
  if (lease * slowest >= static_cast<double>(times.election_timeout_minimum.count())) {
    faults.push_back({"settings", "leader_lease_ms",
                      "The leader lease is not shorter than the shortest election timeout.",
                      "Lower leader_lease_ms, or raise election_timeout_minimum_ms."});
  }
  if (times.election_timeout_minimum >= times.election_timeout_maximum) {
    faults.push_back({"settings", "election_timeout_maximum_ms",
                      "The longest election timeout is not above the shortest.",
                      "Raise election_timeout_maximum_ms."});
  }
  if (times.heartbeat_interval * 2 > times.leader_lease) {
    faults.push_back({"settings", "heartbeat_interval_ms",
                      "Fewer than two heartbeats fit into the leader lease.",
                      "Lower heartbeat_interval_ms."});
  }
}

void DeclareTimes(SettingsReader& reader, ControlSettings& settings) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  consensus::ConsensusOptions& times = settings.node.consensus;
  reader.AddMilliseconds("heartbeat_interval_ms", "Interval of the leader's heartbeats.",
                         times.heartbeat_interval, milliseconds(5), seconds(5));
  reader.AddMilliseconds("election_timeout_minimum_ms", "Shortest silence before an election.",
                         times.election_timeout_minimum, milliseconds(20), seconds(30));
  reader.AddMilliseconds("election_timeout_maximum_ms", "Longest silence before an election.",
                         times.election_timeout_maximum, milliseconds(20), seconds(60));
  reader.AddMilliseconds("leader_lease_ms", "How long a leader may act after a quorum answered.",
                         times.leader_lease, milliseconds(10), seconds(30));
  reader.AddMilliseconds("router_lease_ms", "Length of a router's lease.",
                         settings.node.router_lease, milliseconds(100), seconds(30));
  reader.AddNumber("clock_drift_bound", "Rate by which two machines' clocks may differ.",
                   settings.node.clock_drift_bound, 0.0, 0.1);
}

}  // namespace

ControlId IdOfAddress(const runtime::SocketAddress& address) {
  constexpr unsigned kPortBits = 16;
  constexpr unsigned kPartBits = 8;
  std::uint64_t ip = 0;
  std::uint64_t part = 0;
  for (const char c : address.ip + ".") {
    if (c != '.') {
      part = part * 10 + static_cast<std::uint64_t>(c - '0');
      continue;
    }
    ip = (ip << kPartBits) | part;
    part = 0;
  }
  return ControlId{(ip << kPortBits) | address.port};
}

const runtime::SocketAddress& ControlSettings::KnownPeerAddress() const {
  return advertised_peer_address.ip.empty() ? peer_address : advertised_peer_address;
}

std::size_t ControlSettings::WantedVoters() const {
  return static_cast<std::size_t>(losses_tolerated == 0 ? voters : 2 * losses_tolerated + 1);
}

Duration ControlSettings::ReplaceAfter() const {
  const Duration shortest =
      std::max(control::kMemberReachableWithin, 2 * node.consensus.election_timeout_maximum);
  return std::max(replacement_time / 3, shortest);
}

std::size_t ControlSettings::RegistryConnections() const {
  constexpr double kRegistryPart = 0.5;
  return static_cast<std::size_t>(static_cast<double>(descriptors_maximum) * kRegistryPart);
}

std::size_t ControlSettings::ConfigurationBytes() const {
  constexpr std::size_t kConfigurationPart = 16;
  constexpr std::size_t kBytesOfMegabyte = 1'000'000;
  return static_cast<std::size_t>(memory_mb) * kBytesOfMegabyte / kConfigurationPart;
}

const runtime::SocketAddress& ControlSettings::KnownHttpAddress() const {
  return advertised_http_address.ip.empty() ? http_address : advertised_http_address;
}

ControlId ControlSettings::EffectiveId() const {
  return id > 0 ? ControlId{static_cast<std::uint64_t>(id)} : IdOfAddress(KnownPeerAddress());
}

Result<consensus::Member> ParseFirstVoter(const std::string& text) {
  const std::size_t first = text.find('@');
  const std::size_t second = first == std::string::npos ? first : text.find('@', first + 1);
  if (second == std::string::npos) return FailFirstVoter(text);
  consensus::Member member;
  const char* const id_end = text.data() + first;
  const auto [end, error] = std::from_chars(text.data(), id_end, member.id.value);
  member.zone.value = text.substr(first + 1, second - first - 1);
  member.address = text.substr(second + 1);
  const bool id_valid = error == std::errc() && end == id_end && member.id.value > 0;
  if (!id_valid || member.zone.Empty()) return FailFirstVoter(text);
  BOOST_LEAF_CHECK(runtime::ParseSocketAddress(member.address));
  return member;
}

void DeclareControlSettings(SettingsReader& reader, ControlSettings& settings) {
  reader.AddInteger("id", "This control process's id, for good; 0 takes its address for it.",
                    settings.id, 0, kLargestId);
  reader.AddText("zone", "Zone of this machine.", settings.zone, SettingsReader::kRequired);
  reader.AddText("data_folder", "Folder for everything that must survive.", settings.data_folder,
                 SettingsReader::kRequired);
  reader.AddAddress("peer_address", "Internal port for control processes and routers.",
                    settings.peer_address, SettingsReader::kRequired);
  reader.AddAddress("http_address", "HTTP port for operators.", settings.http_address,
                    SettingsReader::kRequired);
  reader.AddAddress("advertised_peer_address",
                    "Where others reach the internal port, when not at peer_address.",
                    settings.advertised_peer_address);
  reader.AddAddress("advertised_http_address",
                    "Where operators reach the HTTP port, when not at http_address.",
                    settings.advertised_http_address);
  reader.AddTextList("bootstrap", "First voters of the group, each id@zone@ip:port.",
                     settings.bootstrap);
  reader.AddAddressList("seeds", "Internal addresses of some members, in place of bootstrap.",
                        settings.seeds);
  constexpr std::int64_t kPortMaximum = 65'535;
  reader.AddInteger("seed_port", "Internal port of all seeds; 0 takes those listed.",
                    settings.seed_port, 0, kPortMaximum);
  reader.AddAddress("registry_address",
                    "HTTP port for instances that register themselves, and for the traffic "
                    "configuration.",
                    settings.registry_address);
  reader.AddAddress("metrics_address",
                    "A further address for /metrics; the process runs without it when it is taken.",
                    settings.metrics_address);
  constexpr std::int64_t kDescriptorsMinimum = 64;
  constexpr std::int64_t kDescriptorsMaximum = 1 << 20;
  reader.AddInteger("descriptors_maximum",
                    "Descriptors that this process may have open; half of them are for connections "
                    "at registry_address.",
                    settings.descriptors_maximum, kDescriptorsMinimum, kDescriptorsMaximum);
  constexpr std::int64_t kMemoryMinimumMb = 64;
  constexpr std::int64_t kMemoryMaximumMb = 1 << 20;
  reader.AddInteger("memory_mb",
                    "Megabytes of memory that this process may take; a traffic configuration may "
                    "take a sixteenth of them.",
                    settings.memory_mb, kMemoryMinimumMb, kMemoryMaximumMb);
  reader.AddSwitch("self_repair",
                   "Takes in processes that announce themselves, and replaces members that are "
                   "gone or lost their disk.",
                   settings.node.membership.enabled);
  constexpr std::int64_t kVotersMaximum = 9;
  reader.AddInteger("voters", "Voters that self_repair keeps.", settings.voters, 1, kVotersMaximum);
  reader.AddInteger("losses_tolerated",
                    "Machines that may be lost at once with their disks; self_repair keeps the "
                    "voters that this takes, twice as many and one. 0: as voters says.",
                    settings.losses_tolerated, 0, (kVotersMaximum - 1) / 2);
  reader.AddMilliseconds("replacement_time_ms",
                         "Time from the start of a lost machine's replacement after which "
                         "losses_tolerated machines may be lost again; self_repair replaces a "
                         "voter that is silent for a third of it.",
                         settings.replacement_time, std::chrono::milliseconds(500),
                         std::chrono::seconds(600));
  reader.AddMilliseconds("range_hold_ms", "Length of a grant of keys.",
                         settings.node.traffic.ranges.hold, std::chrono::milliseconds(500),
                         std::chrono::seconds(60));
  reader.AddMilliseconds("range_renewal_ms", "Between two renewals of a grant of keys.",
                         settings.node.traffic.ranges.renewal_interval,
                         std::chrono::milliseconds(50), std::chrono::seconds(20));
  reader.AddMilliseconds("range_lease_ms",
                         "Length of a lease of keys that is given in the answer to a heartbeat.",
                         settings.node.traffic.ranges.lease_length, std::chrono::milliseconds(500),
                         std::chrono::seconds(60));
  reader.AddMilliseconds("quota_window_ms", "Within which tenants' quotas are counted.",
                         settings.node.traffic.quotas.window, std::chrono::milliseconds(100),
                         std::chrono::seconds(600));
  reader.AddNumber("quota_overshoot",
                   "Part of what a quota allows in a window that may be let in beyond it.",
                   settings.node.traffic.quotas.overshoot, 0.0, 1.0);
  reader.AddNumber("quota_slack", "Requests that may be let in beyond it as well.",
                   settings.node.traffic.quotas.slack, 0.0, 1e6);
  reader.AddSwitch("spare_warming_up",
                   "Gives no keys to instances that warm up while there are others.",
                   settings.node.traffic.ranges.excludes_warming_up);
  reader.AddNumber("warm_up_requests_per_second",
                   "Requests that an owner of keys may get from all gateways together in a second "
                   "while it warms up; 0: no bound.",
                   settings.node.traffic.warm_up_requests_per_second, 0.0, 1e6);
  reader.AddSwitch("initialise", "Creates the group when the data folder is empty.",
                   settings.initialise);
  reader.AddAddressList("platform", "Where the platform's list of machines is served.",
                        settings.platform);
  reader.AddTextTable("operators", "Operator's name and SHA-256 hex of the credential.",
                      settings.operators);
  reader.AddTextTable("reviewers", "Reviewer's name and Ed25519 public key, base64.",
                      settings.reviewers);
  DeclareTimes(reader, settings);
  protocol::AddInternalSecuritySettings(reader, settings.security, &settings.peer_address, nullptr);
  http::AddServerTlsSettings(reader, settings.operator_tls, &settings.http_address);
  http::AddUpstreamTlsSettings(reader, settings.server_tls);
  reader.AddLogSettings();
  reader.AddCheck([&settings](std::vector<SettingFault>& faults) {
    CheckFirstVoters(settings, faults);
    CheckOperators(settings, faults);
    CheckTimes(settings, faults);
    settings.node.membership.replace_after = settings.ReplaceAfter();
  });
}

}  // namespace graniteseam::daemon
