// Messages between gateways over loopback, when peers are absent, silent, restarted or foreign.
#include "src/protocol/gateway_transport.h"

#include <criterion/criterion.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <ctime>
#include <future>
#include <memory>
#include <optional>
#include <thread>

#include "graniteseam/codec/codec.h"
#include "src/protocol/frame.h"
#include "src/protocol/hello.h"
#include "tests/support/mailbox.h"
#include "tests/support/raw_client.h"
#include "tests/support/secret_file.h"

namespace runtime = graniteseam::runtime;
namespace protocol = graniteseam::protocol;
using graniteseam::Error;
using graniteseam::ErrorKind;
using graniteseam::protocol::FrameKind;
using graniteseam::test::Mailbox;
using graniteseam::test::RawClient;
using graniteseam::test::SecretFile;
using std::chrono::milliseconds;

namespace {

const std::string kMalformed = "malformed";
const std::string kSecret(40, 's');
const std::string kOtherSecret(40, 'o');

struct Message {
  std::string from;
  std::string payload;
};

/// A gateway's transport that collects messages, and refuses those that are kMalformed.
class Gateway {
 public:
  explicit Gateway(protocol::InternalSecurity security = {}, std::uint16_t port = 0)
      : transport_({{"127.0.0.1", port}, "g", std::move(security)}, loop_, metrics_,
                   [this](const std::string& from, const std::string& payload) {
                     return Receive(from, payload);
                   }) {
    const auto started = graniteseam::Attempt([&] { return transport_.Start(); });
    cr_assert(graniteseam::ErrorOf(started) == nullptr);
  }
  ~Gateway() { loop_.Stop(); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  std::uint16_t port() const { return transport_.port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

  void Send(const std::string& address, const std::string& payload) {
    OnLoop([&] { transport_.Send(address, payload); });
  }
  void Reset(const std::string& address) {
    OnLoop([&] { transport_.Reset(address); });
  }
  /// Sends a message every few milliseconds until the other gateway has got one like it.
  void SendUntilReceived(Gateway& other, const std::string& payload) {
    for (int attempt = 0; attempt < 6'000; ++attempt) {
      Send(other.address(), payload);
      std::this_thread::sleep_for(milliseconds(10));
      for (const Message& message : other.messages.items()) {
        if (message.payload == payload) return;
      }
    }
    cr_assert_fail("\"%s\" did not arrive.", payload.c_str());
  }

  /// A metric's value; its name includes the labels.
  double Metric(const std::string& name) const {
    const std::string text = "\n" + metrics_.Text();
    const std::size_t found = text.find("\n" + name + " ");
    if (found == std::string::npos) return 0;
    return std::stod(text.substr(found + name.size() + 2));
  }
  /// Waits until a metric has a value, with a limit that only a defect reaches.
  bool WaitForMetric(const std::string& name, double value) const {
    for (int attempt = 0; attempt < 6'000; ++attempt) {
      if (Metric(name) == value) return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

  Mailbox<Message> messages;
  std::string answer;  ///< Sent back on each message; empty for none.

 private:
  std::optional<Error> Receive(const std::string& from, const std::string& payload) {
    if (payload == kMalformed) {
      return Error{ErrorKind::kMalformedMessage, "A malformed message.", "None."};
    }
    if (!answer.empty()) transport_.Send(from, answer);
    messages.Put({from, payload});
    return std::nullopt;
  }
  template <class Operation>
  void OnLoop(Operation operation) {
    std::promise<void> done;
    boost::asio::post(loop_.context(), [&] {
      operation();
      done.set_value();
    });
    done.get_future().wait();
  }

  runtime::MetricsRegistry metrics_;
  runtime::EventLoop loop_;
  protocol::GatewayTransport transport_;
};

constexpr char kConnections[] = "graniteseam_transport_connections";
constexpr char kDropped[] = "graniteseam_transport_frames_dropped_total";
constexpr char kRefusedAsMalformed[] =
    "graniteseam_transport_connections_refused_total{kind=\"malformed_message\"}";

std::string HelloFrame() {
  return protocol::EncodeFrame(FrameKind::kHello, graniteseam::codec::Encode(protocol::MakeHello(
                                                      protocol::ProcessKind::kRouter, "raw")));
}

/// A port that accepts connections in the kernel and never says anything: a frozen gateway.
class SilentPort {
 public:
  SilentPort() : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert_eq(bind(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    if (listen(descriptor_, 16) != 0) cr_assert_fail("No listening socket.");
  }
  ~SilentPort() { close(descriptor_); }
  SilentPort(const SilentPort&) = delete;
  SilentPort& operator=(const SilentPort&) = delete;
  std::string address() const {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }

 private:
  int descriptor_;
};

/// An address at which nobody listens.
std::string ClosedAddress() { return SilentPort().address(); }

}  // namespace

Test(gateway_transport, messages_to_a_new_peer_arrive_once_and_in_order) {
  Gateway one;
  Gateway other;
  constexpr std::size_t kMessages = 64;
  for (std::size_t number = 0; number < kMessages; ++number) {
    one.Send(other.address(), std::to_string(number));
  }
  cr_assert(other.messages.WaitFor(kMessages));
  const auto messages = other.messages.items();
  cr_assert_eq(messages.size(), kMessages);
  for (std::size_t number = 0; number < kMessages; ++number) {
    cr_assert_eq(messages[number].payload, std::to_string(number));
  }
  cr_assert_eq(one.Metric(kConnections), 1);
}

Test(gateway_transport, answer_travels_on_the_connection_of_its_message) {
  Gateway one;
  Gateway other;
  other.answer = "granted";
  one.Send(other.address(), "ask");
  cr_assert(one.messages.WaitFor(1));
  cr_assert_eq(one.messages.items()[0].payload, "granted");
  cr_assert_eq(one.messages.items()[0].from, other.address());
  cr_assert_eq(other.Metric(kConnections), 1, "The answer dialled.");
  cr_assert_eq(one.Metric(kConnections), 1);
}

Test(gateway_transport, peers_that_ask_each_other_get_all_messages) {
  Gateway one;
  Gateway other;
  one.Send(other.address(), "from one");
  other.Send(one.address(), "from other");
  cr_assert(other.messages.WaitFor(1));
  cr_assert(one.messages.WaitFor(1));
}

Test(gateway_transport, message_to_an_absent_peer_is_dropped_and_a_later_one_dials_again) {
  Gateway one;
  std::uint16_t port = 0;
  {
    const Gateway absent;
    port = absent.port();
  }
  const std::string address = "127.0.0.1:" + std::to_string(port);
  one.Send(address, "lost");
  std::this_thread::sleep_for(milliseconds(50));
  Gateway present({}, port);
  one.SendUntilReceived(present, "later");
  for (const Message& message : present.messages.items()) cr_assert_eq(message.payload, "later");
}

Test(gateway_transport, killed_and_restarted_peer_is_dialled_again) {
  Gateway one;
  auto first = std::make_unique<Gateway>();
  const std::uint16_t port = first->port();
  one.SendUntilReceived(*first, "before");
  first.reset();
  Gateway second({}, port);
  one.SendUntilReceived(second, "after");
}

Test(gateway_transport, answer_to_a_peer_that_went_is_dropped) {
  Gateway other;
  std::string from;
  {
    Gateway one;
    one.Send(other.address(), "ask");
    cr_assert(other.messages.WaitFor(1));
    from = other.messages.items()[0].from;
  }
  cr_assert(other.WaitForMetric(kConnections, 0));
  const double before = other.Metric(kDropped);
  other.Send(from, "late");
  cr_assert_eq(other.Metric(kDropped), before + 1);
}

Test(gateway_transport, at_most_64_messages_wait_for_a_silent_peer) {
  const SilentPort silent;
  Gateway one;
  for (int number = 0; number < 64; ++number) one.Send(silent.address(), "waits");
  cr_assert_eq(one.Metric(kDropped), 0);
  for (int number = 0; number < 6; ++number) one.Send(silent.address(), "dropped");
  cr_assert_eq(one.Metric(kDropped), 6);
}

Test(gateway_transport, reset_closes_a_silent_connection_and_the_next_message_dials_again) {
  Gateway one;
  Gateway other;
  one.Send(other.address(), "before");
  cr_assert(other.messages.WaitFor(1));
  one.Reset(other.address());
  cr_assert(one.WaitForMetric(kConnections, 0));
  cr_assert(other.WaitForMetric(kConnections, 0));
  one.Send(other.address(), "after");
  cr_assert(other.messages.WaitFor(2));
  cr_assert_neq(other.messages.items()[0].from, other.messages.items()[1].from);
}

Test(gateway_transport, reset_drops_what_waits_for_a_frozen_peer) {
  const SilentPort silent;
  Gateway one;
  for (int number = 0; number < 64; ++number) one.Send(silent.address(), "waits");
  one.Reset(silent.address());
  one.Reset("127.0.0.1:1");
  cr_assert_eq(one.Metric(kDropped), 64);
  one.Send(silent.address(), "waits");
  cr_assert_eq(one.Metric(kDropped), 64, "A new connection has room again.");
}

Test(gateway_transport, malformed_message_is_refused_and_counted) {
  Gateway one;
  Gateway other;
  Gateway third;
  third.Send(other.address(), "third");
  one.Send(other.address(), "first");
  cr_assert(other.messages.WaitFor(2));
  one.Send(other.address(), kMalformed);
  cr_assert(one.WaitForMetric(kConnections, 0), "Its connection stays open.");
  cr_assert_eq(other.Metric(kRefusedAsMalformed), 1);
  third.Send(other.address(), "third");
  cr_assert(other.messages.WaitFor(3), "Other connections are unaffected.");
  one.Send(other.address(), "next");
  cr_assert(other.messages.WaitFor(4), "The next message dials again.");
}

Test(gateway_transport, bytes_that_are_no_frame_are_refused) {
  Gateway other;
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), HelloFrame() + HelloFrame(),
        HelloFrame() + std::string("\xff\xff\xff\xff\x02", 5)}) {
    RawClient client(other.port());
    client.Send(bytes);
    bool closed = false;
    client.ReadToEnd(closed);
    cr_assert(closed);
  }
  cr_assert(other.messages.items().empty());
  Gateway one;
  one.Send(other.address(), "served");
  cr_assert(other.messages.WaitFor(1));
}

Test(gateway_transport, peer_with_a_wrong_secret_is_refused) {
  const SecretFile secret("graniteseam-gateways-own", kSecret + "\n");
  const SecretFile other_secret("graniteseam-gateways-other", kOtherSecret + "\n");
  Gateway other({secret.path});
  Gateway stranger({other_secret.path});
  Gateway friendly({secret.path});
  Gateway plain;
  for (int number = 0; number < 5; ++number) {
    stranger.Send(other.address(), "foreign");
    plain.Send(other.address(), "foreign");
    std::this_thread::sleep_for(milliseconds(20));
  }
  friendly.Send(other.address(), "friendly");
  cr_assert(other.messages.WaitFor(1));
  for (const Message& message : other.messages.items()) {
    cr_assert_eq(message.payload, "friendly");
  }
  cr_assert_eq(stranger.Metric(kConnections), 0);
  cr_assert_eq(plain.Metric(kConnections), 0);
}

Test(gateway_transport, message_to_what_is_no_address_is_dropped) {
  Gateway one;
  for (const char* const address : {"", "host:1", "127.0.0.1", "127.0.0.1:99999", "#1"}) {
    one.Send(address, "lost");
    one.Reset(address);
  }
  Gateway other;
  one.Send(other.address(), "arrives");
  cr_assert(other.messages.WaitFor(1));
}

Test(gateway_transport, port_in_use_is_an_invalid_setting) {
  const Gateway one;
  runtime::MetricsRegistry metrics;
  runtime::EventLoop loop;
  protocol::GatewayTransport second({{"127.0.0.1", one.port()}, "g", {}}, loop, metrics,
                                    [](const auto&, const auto&) { return std::nullopt; });
  const auto started = graniteseam::Attempt([&] { return second.Start(); });
  cr_assert(graniteseam::ErrorOf(started) != nullptr);
  cr_assert(graniteseam::ErrorOf(started)->kind == ErrorKind::kInvalidSettings);
  loop.Stop();
}

Test(gateway_transport, messages_that_wait_for_a_failed_dial_are_counted_as_dropped) {
  Gateway one;
  one.Send(ClosedAddress(), "lost");
  cr_assert(one.WaitForMetric(kDropped, 1));
}

// A gateway under a burst may have as many caller connections as it can open: the failed accept was
// repeated at once, and took the processor from the requests that would have freed descriptors.
Test(gateway_transport, accepting_without_free_descriptors_takes_no_processor_time) {
  Gateway other;
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  std::vector<int> taken;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_cur, 128);
  setrlimit(RLIMIT_NOFILE, &limit);
  for (int copy = dup(client); copy >= 0; copy = dup(client)) taken.push_back(copy);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(other.port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  cr_assert_eq(connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  const std::clock_t before = std::clock();
  std::this_thread::sleep_for(milliseconds(500));
  const double used = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
  cr_assert_lt(used, 0.1, "%f s of processor time in 0.5 s", used);
  for (const int copy : taken) close(copy);
  char hello = 0;
  cr_assert_eq(recv(client, &hello, 1, 0), 1, "It is accepted once descriptors are free.");
  close(client);
}
