// A router that reads more slowly than the state changes.
#include <criterion/criterion.h>

#include <atomic>
#include <thread>

#include "graniteseam/codec/codec.h"
#include "src/protocol/frame.h"
#include "src/protocol/hello.h"
#include "src/protocol/internal_server.h"
#include "tests/support/mailbox.h"
#include "tests/support/raw_client.h"

namespace control = graniteseam::control;
namespace protocol = graniteseam::protocol;
namespace runtime = graniteseam::runtime;
namespace traffic = graniteseam::traffic;
using graniteseam::test::Mailbox;
using graniteseam::test::RawClient;

namespace {

constexpr std::uint64_t kChanges = 40;
/// Larger than what the system and the connection take ahead of the reader.
constexpr std::size_t kUpdateBytes = 400'000;
constexpr int kReceiveBytes = 16'384;

/// A control process whose state is replaced whole with each version.
class Control {
 public:
  Control()
      : server_({{"127.0.0.1", 0}, "1", {}, 10, {}}, loop_, metrics_,
                {[](const std::string&, const protocol::ServedAddresses&) {},
                 [](const graniteseam::consensus::PeerMessage&) {},
                 [this](protocol::RouterConnectionId id, const control::RouterToControl& message) {
                   const auto* request = std::get_if<control::FeedRequest>(&message);
                   if (request == nullptr) return;
                   connection_ = id;
                   SendSince(request->version);
                   requests.Put(*request);
                 },
                 [](protocol::RouterConnectionId) {}}) {
    const auto started = graniteseam::Attempt([&] { return server_.Start(); });
    cr_assert(graniteseam::ErrorOf(started) == nullptr);
  }
  ~Control() { loop_.Stop(); }
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  std::uint16_t port() const { return server_.port(); }

  /// Changes the state and pushes the change, as to a router that has all earlier ones.
  void Change() {
    const std::uint64_t base = version_++;
    SendSince(base);
  }

  Mailbox<control::FeedRequest> requests;

 private:
  void SendSince(std::uint64_t base) {
    if (base >= version_) return;
    traffic::TrafficUpdate update;
    update.base = base;
    update.version = version_;
    update.routes.resize(1);
    update.routes[0].path_prefix = std::string(kUpdateBytes, 'x');
    server_.SendToRouter(connection_, update);
  }

  runtime::MetricsRegistry metrics_;
  runtime::EventLoop loop_;
  std::atomic<std::uint64_t> version_ = 1;
  std::atomic<protocol::RouterConnectionId> connection_ = 0;
  protocol::InternalServer server_;
};

/// A router that applies what it reads.
class Router {
 public:
  explicit Router(std::uint16_t port) : client_(port, kReceiveBytes) {
    reader_.set_payload_limit(protocol::kFramePayloadMaximum);
    client_.Send(EncodeFrame(
        protocol::FrameKind::kHello,
        graniteseam::codec::Encode(protocol::MakeHello(protocol::ProcessKind::kRouter, "r1"))));
    client_.Send(EncodeFrame(protocol::FrameKind::kMessage,
                             graniteseam::codec::Encode(control::RouterToControl(
                                 traffic::FeedRequest{{"r1"}, 1, 0, false}))));
  }

  void ReadUntil(std::uint64_t version) {
    bool closed = false;
    while (version_ < version) {
      const std::string bytes = client_.ReadArrived(kUpdateBytes, closed);
      cr_assert(!closed, "closed at version %lu", version_);
      if (bytes.empty()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
      reader_.Feed(bytes);
      while (Apply()) {
      }
    }
  }

  std::uint64_t updates() const { return updates_; }

 private:
  bool Apply() {
    const auto next = graniteseam::Attempt([&] { return reader_.Next(); });
    const auto* frame = std::get_if<std::optional<protocol::Frame>>(&next);
    cr_assert(frame != nullptr);
    if (!*frame) return false;
    if ((*frame)->kind != protocol::FrameKind::kMessage) return true;
    const auto message = graniteseam::codec::Decode<control::ControlToRouter>((*frame)->payload);
    const auto& update = std::get<traffic::TrafficUpdate>(message.value());
    cr_assert(update.base <= version_, "an update from %lu at %lu", update.base, version_);
    version_ = update.version;
    ++updates_;
    return true;
  }

  RawClient client_;
  protocol::FrameReader reader_;
  std::uint64_t version_ = 0;
  std::uint64_t updates_ = 0;
};

}  // namespace

// Each superseded configuration was sent in its turn: over a link of 2 Mbit/s, a gateway was behind
// for a second and a half for each of them.
Test(slow_router, receives_one_update_for_all_that_it_was_too_slow_for, .timeout = 60) {
  Control control;
  Router router(control.port());
  cr_assert(control.requests.WaitFor(1));
  for (std::uint64_t change = 0; change < kChanges; ++change) control.Change();
  router.ReadUntil(1 + kChanges);
  cr_expect(router.updates() <= 4, "%lu updates", router.updates());
}

Test(slow_router, receives_each_change_that_it_is_in_time_for, .timeout = 60) {
  Control control;
  Router router(control.port());
  cr_assert(control.requests.WaitFor(1));
  for (std::uint64_t version = 1; version <= kChanges; ++version) {
    router.ReadUntil(version);
    control.Change();
  }
  router.ReadUntil(1 + kChanges);
  cr_expect(router.updates() == 1 + kChanges, "%lu updates", router.updates());
}
