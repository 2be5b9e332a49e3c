/// @file
/// A router: the shipped RouterNode and LeaderTracker, and a model of their driver.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "graniteseam/routing/router_node.h"
#include "simulation/simulator/process.h"
#include "simulation/simulator/server_process.h"
#include "src/protocol/leader_tracker.h"

namespace graniteseam::simulation {

class RouterProcess;

/// A caller's request at a router.
struct Submission {
  std::uint64_t number = 0;
  std::string service;
  std::string key;        ///< Empty for pooled services.
  std::string operation;  ///< Empty when it may be repeated.
  Duration deadline{};
};

/// What the caller gets; `content` names whom it is for.
struct CallerAnswer {
  Told told = Told::kUnknown;
  std::string content;
};
using CallerReply = std::function<void(const CallerAnswer&)>;

/// Where a router's messages go; the fleet implements it.
class RouterPorts {
 public:
  virtual ~RouterPorts() = default;
  virtual void SendToControl(RouterProcess& from, const std::string& address,
                             const control::RouterToControl& message) = 0;
  /// @param reply runs when the answer is at the router, perhaps never.
  virtual void SendToServer(RouterProcess& from, const std::string& address,
                            const ServerRequest& request,
                            const std::function<void(const ServerAnswer&)>& reply) = 0;
};

/// Drives one RouterNode as the daemon does.
class RouterProcess : public Process {
 public:
  RouterProcess(World& world, RouterPorts& ports, std::uint32_t number, std::uint32_t zone,
                std::vector<std::string> control_addresses);

  void Take(const Submission& submission, const CallerReply& reply);
  void OnControlMessage(const std::string& address, const control::ControlToRouter& message);
  void OnControlConnected(const std::string& address);
  void OnControlDisconnected(const std::string& address);
  void PrepareStop();
  bool Idle() const { return node_ == nullptr || node_->Status(Now()).requests == 0; }

  bool Ready() const { return alive() && !paused() && node_->Ready(Now()); }
  std::uint64_t bundle_version() const { return node_->Status(Now()).bundle_version.value; }

 protected:
  void OnStart() override;
  void OnKill() override;
  void OnTick() override;
  Instant NextTick() const override;

 private:
  struct Waiting {
    Submission submission;
    CallerReply reply;
  };
  struct Attempted {
    std::uint64_t request = 0;
    bool keep_answer = false;
  };

  void TakeEffects(const routing::RouterEffects& effects);
  void Transmit(const std::vector<protocol::LeaderSend>& sends);
  void Send(const routing::AttemptSend& send);
  void OnAnswer(std::uint64_t attempt, const ServerAnswer& answer);
  void Answer(const routing::RequestAnswer& answer);

  RouterPorts& ports_;
  std::vector<std::string> control_addresses_;
  std::unique_ptr<routing::RouterNode> node_;
  std::unique_ptr<protocol::LeaderTracker> tracker_;
  Instant tracker_due_{};
  std::map<std::uint64_t, Waiting> waiting_;
  std::map<std::uint64_t, Attempted> attempts_;
  std::map<std::uint64_t, std::string> contents_;  ///< Attempt -> content of its answer.
};

}  // namespace graniteseam::simulation
