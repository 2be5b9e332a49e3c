/// @file
/// Gateways that poll one control process and are subscribed to its state, over links of a stated
/// rate.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "graniteseam/codec/codec.h"
#include "graniteseam/control/router_messages.h"
#include "src/protocol/frame.h"
#include "src/protocol/hello.h"
#include "src/runtime/clock.h"
#include "tests/memory_bounds/gateway_socket.h"

namespace graniteseam::test {

/// What each gateway of a crowd does.
struct GatewayHabit {
  std::size_t bytes_per_second = 0;  ///< What its link carries; 0 reads nothing.
  bool wants_state_from_leader = false;
};

/// Runs on a thread of its own until destruction. A gateway whose connection ends connects again
/// with the version that it has.
class StandInGateways {
 public:
  StandInGateways(const runtime::SocketAddress& control, int count, GatewayHabit habit)
      : control_(control), habit_(habit), gateways_(static_cast<std::size_t>(count)) {
    thread_ = std::thread([this] { Run(); });
  }
  ~StandInGateways() {
    ends_ = true;
    thread_.join();
  }
  StandInGateways(const StandInGateways&) = delete;
  StandInGateways& operator=(const StandInGateways&) = delete;

  /// The oldest configuration that any gateway has.
  std::uint64_t OldestConfiguration() const { return oldest_configuration_; }
  std::uint64_t connections_made() const { return connections_made_; }
  std::uint64_t bytes_read() const { return bytes_read_; }

 private:
  static constexpr Duration kPollInterval{500'000};
  static constexpr Duration kStep{10'000};
  static constexpr int kReceiveBytes = 262'144;

  struct Gateway {
    GatewaySocket socket;
    protocol::FrameReader reader;
    bool ready = false;
    Instant poll_due{};
    std::uint64_t sequence = 0;
    std::uint64_t version = 0;
    std::uint64_t configuration = 0;
    double allowance = 0;  ///< Bytes that its link has carried and it has not read.
  };

  void Run() {
    while (!ends_) {
      const Instant now = runtime::BootTimeNow();
      std::uint64_t oldest = UINT64_MAX;
      for (std::size_t number = 0; number < gateways_.size(); ++number) {
        Step(gateways_[number], number, now);
        oldest = std::min(oldest, gateways_[number].configuration);
      }
      oldest_configuration_ = oldest;
      std::this_thread::sleep_for(kStep);
    }
  }

  void Step(Gateway& gateway, std::size_t number, Instant now) {
    if (!gateway.socket.open()) Connect(gateway, number);
    Read(gateway);
    if (now < gateway.poll_due) return;
    gateway.poll_due = now + kPollInterval;
    traffic::TrafficPoll poll;
    poll.router = NameOf(number);
    poll.sequence = ++gateway.sequence;
    poll.version = gateway.version;
    poll.wants_state = habit_.wants_state_from_leader;
    Send(gateway, poll);
  }

  void Connect(Gateway& gateway, std::size_t number) {
    gateway.socket = GatewaySocket(control_, kReceiveBytes);
    gateway.reader = {};
    gateway.reader.set_payload_limit(protocol::kFramePayloadMaximum);
    gateway.allowance = 0;
    gateway.poll_due = {};
    ++connections_made_;
    const auto hello = protocol::MakeHello(protocol::ProcessKind::kRouter, NameOf(number).value);
    gateway.socket.Send(EncodeFrame(protocol::FrameKind::kHello, codec::Encode(hello)));
    Send(gateway, traffic::FeedRequest{NameOf(number), ++gateway.sequence, gateway.version, false});
  }

  void Read(Gateway& gateway) {
    const double step = static_cast<double>(kStep.count()) / std::micro::den;
    gateway.allowance += static_cast<double>(habit_.bytes_per_second) * step;
    const std::string bytes =
        gateway.socket.ReadArrived(static_cast<std::size_t>(gateway.allowance));
    gateway.allowance -= static_cast<double>(bytes.size());
    if (bytes.empty()) gateway.allowance = std::min(gateway.allowance, double{kReceiveBytes});
    bytes_read_ += bytes.size();
    gateway.reader.Feed(bytes);
    for (;;) {
      const auto next = Attempt([&] { return gateway.reader.Next(); });
      const auto* frame = std::get_if<std::optional<protocol::Frame>>(&next);
      if (frame == nullptr || !*frame) return;
      if ((*frame)->kind == protocol::FrameKind::kMessage) Take(gateway, (*frame)->payload);
    }
  }

  static void Take(Gateway& gateway, const std::string& payload) {
    const auto decoded = Attempt([&] { return codec::Decode<control::ControlToRouter>(payload); });
    const auto* message = std::get_if<control::ControlToRouter>(&decoded);
    const auto* update =
        message == nullptr ? nullptr : std::get_if<traffic::TrafficUpdate>(message);
    if (update == nullptr || update->base > gateway.version) return;
    if (update->version <= gateway.version) return;
    gateway.version = update->version;
    gateway.configuration = update->configuration.value;
  }

  void Send(Gateway& gateway, const control::RouterToControl& message) {
    gateway.socket.Send(EncodeFrame(protocol::FrameKind::kMessage, codec::Encode(message)));
  }

  static RouterId NameOf(std::size_t number) { return {"gateway-" + std::to_string(number)}; }

  const runtime::SocketAddress control_;
  const GatewayHabit habit_;
  std::vector<Gateway> gateways_;
  std::atomic<bool> ends_ = false;
  std::atomic<std::uint64_t> oldest_configuration_ = 0;
  std::atomic<std::uint64_t> connections_made_ = 0;
  std::atomic<std::uint64_t> bytes_read_ = 0;
  std::thread thread_;
};

}  // namespace graniteseam::test
