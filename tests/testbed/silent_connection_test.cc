/// The incident: changes of the configuration had been acknowledged, and two gateways of eleven
/// went on running moved routes at their former services for seconds, while the others had the
/// change. How it comes about: a gateway hears of changes over one connection, to the leader. That
/// connection falls silent without an end, while new ones would work. The gateway asks other
/// processes, which name the leader, to which it has a connection; it serves on by what it knows.
/// What causes it: nothing on a connection between processes told that the other side was still
/// there, and a new one was made only once the old one had ended.
/// What proved it: real processes whose open connections fall silent keep an older configuration to
/// the end of the run, in 4 of 6 seeds of the soak (tests/soak/seeded_runs_test.cc plays one).
#include <criterion/criterion.h>

#include <condition_variable>
#include <mutex>
#include <thread>

#include "src/protocol/internal_server.h"
#include "src/protocol/peer_transport.h"
#include "src/protocol/router_control_client.h"
#include "src/runtime/clock.h"
#include "testbed/fleet/link_layer.h"
#include "testbed/fleet/reserved_port.h"

using namespace graniteseam;
using namespace graniteseam::testbed;

namespace {

const std::string kControl = "127.0.9.14";

/// Longer than anything but a connection that stays silent takes.
constexpr std::chrono::seconds kPatience{30};

/// Counts, for a thread that waits.
class Count {
 public:
  void Add() {
    const std::lock_guard lock(mutex_);
    ++count_;
    changed_.notify_all();
  }
  int Now() {
    const std::lock_guard lock(mutex_);
    return count_;
  }
  /// @return false when it did not get above `count` in time.
  bool RisesAbove(int count) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kPatience, [&] { return count_ > count; });
  }

 private:
  std::mutex mutex_;  ///< Guards count_.
  std::condition_variable changed_;
  int count_ = 0;
};

/// A control process's internal port, reached through a relay whose connections can fall silent.
struct SilentLink {
  std::mutex mutex;  ///< Guards silent_before.
  Instant silent_before{};
  ReservedPort port = std::get<ReservedPort>(
      Attempt([] { return ReservedPort::Reserve(kControl, LinkLayer::RelayIp(kControl)); }));
  LinkLayer links{[this](const std::string&, const std::string&) {
                    const std::lock_guard lock(mutex);
                    return LinkState{false, Duration(0), silent_before};
                  },
                  [](const ConnectionEnds&) { return std::string(); }};
  runtime::MetricsRegistry metrics;
  runtime::EventLoop loop;
  Count polls;
  Count peer_messages;
  Count routers_gone;
  protocol::InternalServer server{
      {port.address(), "1", {}, 100, {}},
      loop,
      metrics,
      {[](const std::string&, const protocol::ServedAddresses&) {},
       [this](const consensus::PeerMessage&) { peer_messages.Add(); },
       [this](protocol::RouterConnectionId, const control::RouterToControl&) { polls.Add(); },
       [this](protocol::RouterConnectionId) { routers_gone.Add(); }}};

  SilentLink() {
    cr_assert(ErrorOf(Attempt([&] { return links.AddEndpoint(port.address()); })) == nullptr);
    cr_assert(ErrorOf(Attempt([&] { return server.Start(); })) == nullptr);
  }
  ~SilentLink() { loop.Stop(); }

  runtime::SocketAddress address() const {
    return {LinkLayer::RelayIp(kControl), port.address().port};
  }

  void FallSilent() {
    const std::lock_guard lock(mutex);
    silent_before = runtime::BootTimeNow();
  }
};

control::TrafficPoll Poll(std::uint64_t sequence) {
  control::TrafficPoll poll;
  poll.router = {"r"};
  poll.sequence = sequence;
  return poll;
}

}  // namespace

Test(silent_connection, router_is_heard_again_over_a_new_one, .timeout = 90) {
  SilentLink link;
  protocol::RouterControlClientOptions options;
  options.router = {"r"};
  options.control = {link.address()};
  protocol::RouterControlClient client(options, link.metrics, [](const auto&, const auto&) {});
  client.Send(Poll(1));
  cr_assert(link.polls.RisesAbove(0));
  link.FallSilent();
  const int before = link.polls.Now();
  client.Send(Poll(2));
  cr_assert(link.polls.RisesAbove(before), "the router stayed on a connection that is silent");
  cr_assert(link.routers_gone.RisesAbove(0), "the silent connection still counts at its far end");
}

Test(silent_connection, peer_is_heard_again_over_a_new_one, .timeout = 90) {
  SilentLink link;
  protocol::PeerTransport peers({"2", {}, {}}, link.loop, link.metrics);
  consensus::PeerMessage message;
  message.to.address = runtime::ToString(link.address());
  const auto heard_after = [&](int count) {
    const Instant end = runtime::BootTimeNow() + kPatience;
    while (runtime::BootTimeNow() < end && link.peer_messages.Now() <= count) {
      peers.Send(message);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return link.peer_messages.Now() > count;
  };
  cr_assert(heard_after(0));
  link.FallSilent();
  const int before = link.peer_messages.Now();
  cr_assert(heard_after(before), "the peer stayed on a connection that is silent");
}
