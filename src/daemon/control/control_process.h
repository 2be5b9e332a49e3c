/// @file
/// A control process: the deciding thread with its ports, clients and files.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "src/daemon/control/announcement_log.h"
#include "src/daemon/control/control_driver.h"
#include "src/daemon/control/control_event.h"
#include "src/daemon/control/control_settings.h"
#include "src/daemon/control/operator_desk.h"
#include "src/daemon/control/owner_client.h"
#include "src/daemon/control/registry_server.h"
#include "src/event_http/metrics_port.h"
#include "src/http/lease_client.h"
#include "src/http/operator_server.h"
#include "src/http/platform_poller.h"
#include "src/protocol/internal_server.h"
#include "src/protocol/peer_transport.h"
#include "src/runtime/event_log.h"
#include "src/runtime/event_loop.h"
#include "src/runtime/metrics.h"
#include "src/runtime/stop_signals.h"
#include "src/storage/posix_file_system.h"

namespace graniteseam::daemon {

/// Lifecycle: Start() once; when it succeeded, Stop() once. Both from the main thread.
class ControlProcess {
 public:
  /// @param owner_names how instances that own keys are called.
  ControlProcess(ControlSettings settings, runtime::StopSignals& stop_signals,
                 OwnerCallNames owner_names = {});
  ~ControlProcess();
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  /// Opens the data folder and all ports, and begins to take part in the group.
  Result<void> Start();

  /// Hands leadership over, answers all callers whose requests arrived, closes everything.
  void Stop();

  /// Takes the seeds of settings that were read again.
  void Reload(const ControlSettings& changed);

  /// Whether no leader has been known for some time: the process is in no group, or was cut off.
  bool LacksLeader();

  /// Where instances and operators of the traffic configuration reach it; settings must name a
  /// registry_address. After Start().
  std::uint16_t registry_port() const { return registry_->port(); }

  /// Whether a storage error ended the process.
  bool failed() const { return driver_ && driver_->failed(); }

 private:
  Result<void> OpenStorage();
  void WriteRecovered();
  std::string HeartbeatAddress(const traffic::InstanceReport& report) const;
  void CreateRegistry();
  Result<void> LoadTls();
  void CreateDriver();
  void CreateTransport();
  void CreateClients();
  void CreateOperatorServer();
  protocol::InternalServer::Handlers InternalHandlers();
  void WriteNote(const control::MembershipNote& note);
  void WriteNote(const AnnouncementNote& note);
  void SendToPeer(const consensus::PeerMessage& message);
  void NotePeer(const std::string& name, const protocol::ServedAddresses& served);
  protocol::ServedAddresses LeaderAddresses() const;
  /// Hands over what the group needs from this process before a planned stop.
  void PrepareStop();

  ControlSettings settings_;
  runtime::StopSignals& stop_signals_;
  const OwnerCallNames owner_names_;
  runtime::EventLog events_;
  runtime::MetricsRegistry metrics_;
  // Before what runs on it, so that it outlives that.
  runtime::EventLoop loop_;         ///< Control peers and routers.
  runtime::EventLoop server_loop_;  ///< The users' servers and the platform list.
  ControlEventQueue queue_;
  OperatorDesk desk_{queue_};
  std::shared_ptr<http::TlsContext> operator_tls_;
  std::shared_ptr<http::TlsContext> server_tls_;
  storage::PosixFileSystem files_;
  std::unique_ptr<storage::ConsensusStorage> storage_;
  std::unique_ptr<protocol::PeerTransport> peers_;
  std::unique_ptr<protocol::InternalServer> internal_server_;
  std::unique_ptr<http::LeaseClient> lease_client_;
  std::unique_ptr<http::PlatformPoller> platform_poller_;
  std::unique_ptr<OwnerClient> owner_client_;
  std::unique_ptr<RegistryServer> registry_;
  std::unique_ptr<event_http::MetricsPort> metrics_port_;
  std::unique_ptr<ControlDriver> driver_;
  std::unique_ptr<http::OperatorServer> operator_server_;
  std::atomic<bool> stopping_{false};
  AnnouncementLog announcements_{settings_.EffectiveId()};
  std::optional<Instant> leaderless_since_;  ///< Used on the main thread only.
  std::vector<consensus::Member> seeds_;     ///< Of the settings as last read; on the main thread.
  mutable std::mutex peers_mutex_;           ///< Guards peer_addresses_.
  std::map<std::string, protocol::ServedAddresses> peer_addresses_;  ///< By control id.
  runtime::Logger log_{"control"};
};

}  // namespace graniteseam::daemon
