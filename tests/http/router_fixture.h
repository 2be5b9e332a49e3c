/// @file
/// A router's HTTP side with a control group played by the test.
#pragma once

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "graniteseam/routing/routing_table.h"
#include "src/http/request_driver.h"
#include "src/runtime/clock.h"

namespace graniteseam::test {

inline const ServiceName kReadings{"readings"};   ///< Keyed, repeatable, 4 shards.
inline const ServiceName kArchive{"archive"};     ///< Pooled, repeatable.
inline const ServiceName kShutOffs{"shut-offs"};  ///< Pooled, may not be repeated.
inline const ServiceName kSearch{"search"};       ///< Pooled, repeatable, hedged.

inline bundle::Bundle TestBundle() {
  bundle::Bundle bundle;
  bundle.version = {1};
  bundle::Service service;
  service.deadline_ms = 20'000;
  service.name = kReadings;
  service.kind = bundle::ServiceKind::kKeyed;
  service.repeatable = true;
  service.shard_count = 4;
  bundle.services.push_back(service);
  service.kind = bundle::ServiceKind::kPooled;
  service.shard_count = 0;
  service.name = kArchive;
  bundle.services.push_back(service);
  service.name = kSearch;
  service.hedging = true;
  bundle.services.push_back(service);
  service.hedging = false;
  service.name = kShutOffs;
  service.repeatable = false;
  bundle.services.push_back(service);
  bundle.groups.push_back({{"hostels"}, {kReadings, kArchive, kSearch, kShutOffs}, "", 1.0, 64});
  return bundle;
}

/// Grants each renewal a long lease, claims each operation as `verdict` says, and sends the map
/// that the test set.
class RouterFixture {
 public:
  RouterFixture()
      : driver_(Options(), [this](control::RouterToControl message) { Answer(message); }) {
    map_.version = 1;
  }
  ~RouterFixture() {
    driver_.Stop();
    const std::lock_guard lock(threads_mutex_);
    for (std::thread& thread : threads_) thread.join();
  }

  void AddServer(const std::string& id, const ServiceName& service, const std::string& address) {
    map_.servers.push_back({{id}, service, address, {"zone-1"}, true, 0.0});
  }
  void Assign(std::uint32_t shard, control::ShardState state, const std::string& owner,
              std::uint64_t epoch) {
    map_.shards.push_back({{kReadings, shard}, state, {owner}, {epoch}});
  }
  void Start() {
    driver_.Start();
    while (!driver_.Ready()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  /// Sends a change of the map as an answer that grants nothing.
  void Change(const std::function<void(control::MapUpdate&)>& change) {
    control::RouterRenewalAnswer answer;
    answer.map.emplace();
    answer.map->base_version = map_.version;
    answer.map->version = ++map_.version;
    change(*answer.map);
    driver_.OnControlMessage(answer);
  }

  http::RequestDriver& driver() { return driver_; }
  control::ClaimVerdict verdict = control::ClaimVerdict::kClaimed;
  std::optional<control::KeptAnswer> kept;

  std::vector<control::Completion> completions() {
    const std::lock_guard lock(mutex_);
    return completions_;
  }

  http::CallerReply Call(const ServiceName& service, const std::string& key = {},
                         std::chrono::milliseconds deadline = std::chrono::seconds(20)) {
    http::CallerMessage message;
    message.request.number = ++last_request_;
    message.request.service = service;
    message.request.group = {"hostels"};
    message.request.deadline = deadline;
    if (!key.empty()) {
      message.request.key = key;
      message.forwarded.headers.emplace_back("Graniteseam-Key", key);
    }
    message.request.operation = OperationId{"01890a5d-ac96-774b-bcce-b302099a8057"};
    message.forwarded.method = "POST";
    message.forwarded.target = "/v1/services/" + service.value;
    message.forwarded.body = "body";
    return driver_.Handle(std::move(message));
  }

 private:
  static http::RequestDriverOptions Options() {
    http::RequestDriverOptions options;
    options.node.router = {"router-1"};
    options.node.zone = {"zone-1"};
    options.seed = 7;
    return options;
  }

  void Answer(const control::RouterToControl& message) {
    // From a thread of its own, as a connection's would be.
    const std::lock_guard threads_lock(threads_mutex_);
    threads_.emplace_back([this, message] {
      if (const auto* renewal = std::get_if<control::RouterRenewal>(&message)) {
        control::RouterRenewalAnswer answer;
        answer.sequence = renewal->sequence;
        answer.granted = renewal->bundle_version.value == 1;
        answer.lease_us = 60'000'000;
        if (!answer.granted) answer.bundle = TestBundle();
        if (renewal->map_version == 0) answer.map = map_;
        driver_.OnControlMessage(answer);
        return;
      }
      const auto& request = std::get<control::JournalRequest>(message);
      control::JournalAnswer answer{request.sequence, {}};
      for (const auto& claim : request.claims) {
        answer.results.push_back({claim.operation, claim.claim, verdict, kept});
      }
      {
        const std::lock_guard lock(mutex_);
        completions_.insert(completions_.end(), request.completions.begin(),
                            request.completions.end());
      }
      driver_.OnControlMessage(answer);
    });
  }

  control::MapUpdate map_;
  std::mutex mutex_;
  std::vector<control::Completion> completions_;
  std::mutex threads_mutex_;
  std::vector<std::thread> threads_;
  std::atomic<routing::RequestNumber> last_request_{0};
  http::RequestDriver driver_;
};

}  // namespace graniteseam::test
