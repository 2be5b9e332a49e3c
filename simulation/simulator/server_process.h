/// @file
/// A back-end server of the users: the shipped FencedOwner beside a simple model of their program.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "graniteseam/lease/fenced_owner.h"
#include "graniteseam/routing/messages.h"
#include "simulation/simulator/process.h"

namespace graniteseam::simulation {

/// A request as it arrives at a server.
struct ServerRequest {
  std::uint64_t submission = 0;
  std::string operation;  ///< Empty when it may be repeated.
  std::string service;
  std::optional<std::uint32_t> shard;
  std::uint64_t epoch = 0;
  Duration time_left{};  ///< Until the deadline, as the router's header says.
};

/// What the server answers.
struct ServerAnswer {
  routing::AttemptEnd end = routing::AttemptEnd::kAnswered;
  std::string content;  ///< Whom the answer is for.
};

/// Takes leases and runs requests; tells the oracle what it may own and what it did.
class ServerProcess : public Process {
 public:
  ServerProcess(World& world, std::uint32_t number, std::uint32_t zone, std::string service);

  const std::string& service() const { return service_; }
  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }

  /// Takes a control leader's message; the answer goes to `reply`.
  void Take(const lease::LeaseRequest& request,
            const std::function<void(const lease::LeaseAnswer&)>& reply);
  /// Runs a request or refuses it; the answer goes to `reply`, or never comes.
  void Run(const ServerRequest& request, const std::function<void(const ServerAnswer&)>& reply);

  std::uint64_t effects() const { return effects_; }

 protected:
  void OnStart() override;
  void OnKill() override;
  void OnTick() override {}
  Instant NextTick() const override { return Instant::max(); }

 private:
  void TellOwnership();
  void Finish(const ServerRequest& request, const std::optional<lease::ShardGrant>& grant,
              const std::function<void(const ServerAnswer&)>& reply);
  bool Refuses(const ServerRequest& request, const std::optional<lease::ShardGrant>& grant,
               const std::function<void(const ServerAnswer&)>& reply);

  std::string service_;
  std::string id_;
  std::string address_;
  std::unique_ptr<lease::FencedOwner> owner_;
  std::uint64_t effects_ = 0;
};

}  // namespace graniteseam::simulation
