#include <criterion/criterion.h>

#include <thread>

#include "graniteseam/codec/codec.h"
#include "src/protocol/frame.h"
#include "src/protocol/hello.h"
#include "src/protocol/internal_server.h"
#include "src/protocol/internal_tls.h"
#include "src/protocol/peer_transport.h"
#include "src/protocol/router_control_client.h"
#include "tests/support/mailbox.h"
#include "tests/support/raw_client.h"
#include "tests/support/secret_file.h"

namespace consensus = graniteseam::consensus;
namespace control = graniteseam::control;
namespace runtime = graniteseam::runtime;
namespace protocol = graniteseam::protocol;
using graniteseam::protocol::FrameKind;
using graniteseam::test::Mailbox;
using graniteseam::test::RawClient;
using graniteseam::test::SecretFile;

namespace {

/// A control process's internal port that answers renewals with their sequence.
struct Control {
  explicit Control(protocol::InternalSecurity security = {}, std::size_t connections = 100,
                   protocol::ConnectionLimits limits = {})
      : server({{"127.0.0.1", 0}, "1", std::move(security), connections, limits}, loop, metrics,
               {[this](const std::string& name, const protocol::ServedAddresses& served) {
                  hellos.Put(name + " at " + served.http);
                },
                [this](consensus::PeerMessage message) { peers.Put(std::move(message)); },
                [this](protocol::RouterConnectionId id, const control::RouterToControl& message) {
                  Answer(id, message);
                },
                [this](protocol::RouterConnectionId id) { gone.Put(id); }}) {
    const auto started = graniteseam::Attempt([&] { return server.Start(); });
    cr_assert(graniteseam::ErrorOf(started) == nullptr);
  }
  ~Control() { loop.Stop(); }
  void Answer(protocol::RouterConnectionId id, const control::RouterToControl& message) {
    const auto* renewal = std::get_if<control::RouterRenewal>(&message);
    if (renewal == nullptr) return;
    if (!hint.empty()) {
      server.SendToRouter(id, control::NotLeaderAnswer{renewal->sequence, hint});
      return;
    }
    if (!members.empty()) server.SendToRouter(id, control::GroupMembers{members});
    control::RouterRenewalAnswer answer;
    answer.sequence = renewal->sequence;
    server.SendToRouter(id, answer);
  }
  runtime::SocketAddress address() const { return {"127.0.0.1", server.port()}; }

  runtime::MetricsRegistry metrics;
  runtime::EventLoop loop;
  std::string hint;                  ///< The leader to name; empty while this one leads.
  std::vector<std::string> members;  ///< To tell with each answer; empty: none are told.
  Mailbox<std::string> hellos;
  Mailbox<consensus::PeerMessage> peers;
  Mailbox<protocol::RouterConnectionId> gone;
  protocol::InternalServer server;
};

/// A router's client that collects answers.
struct Router {
  Router(std::vector<runtime::SocketAddress> addresses, protocol::InternalSecurity security = {})
      : client({.router = {"r1"}, .control = std::move(addresses), .security = std::move(security)},
               metrics,
               [this](const control::ControlToRouter& answer, const std::string& /*from*/) {
                 answers.Put(answer);
               }) {}
  void Renew(std::uint64_t sequence) {
    control::RouterRenewal renewal;
    renewal.sequence = sequence;
    client.Send(renewal);
  }
  runtime::MetricsRegistry metrics;
  Mailbox<control::ControlToRouter> answers;
  protocol::RouterControlClient client;
};

const std::string kSecret(40, 's');
const std::string kOtherSecret(40, 'o');

std::string HelloFrame(protocol::ProcessKind kind) {
  return protocol::EncodeFrame(FrameKind::kHello,
                               graniteseam::codec::Encode(protocol::MakeHello(kind, "test")));
}

/// The error kind of the refusal that ends the bytes a server sent.
std::string RefusalKind(const std::string& bytes) {
  protocol::FrameReader reader;
  reader.set_payload_limit(protocol::kFramePayloadMaximum);
  reader.Feed(bytes);
  for (;;) {
    const auto next = graniteseam::Attempt([&] { return reader.Next(); });
    const auto* frame = std::get_if<std::optional<protocol::Frame>>(&next);
    if (frame == nullptr || !*frame) return "";
    if ((*frame)->kind != FrameKind::kRefusal) continue;
    const auto refusal = graniteseam::Attempt(
        [&] { return graniteseam::codec::Decode<protocol::Refusal>((*frame)->payload); });
    return std::get<protocol::Refusal>(refusal).kind;
  }
}

/// Sends bytes, and expects a refusal of this kind while another router is served on.
void ExpectRefusal(const std::string& bytes, const std::string& kind) {
  Control control;
  Router router({control.address()});
  router.Renew(1);
  cr_assert(router.answers.WaitFor(1));
  RawClient client(control.server.port());
  client.Send(bytes);
  bool closed = false;
  const std::string answer = client.ReadToEnd(closed);
  cr_assert(closed, "the server did not close");
  cr_assert(RefusalKind(answer) == kind, "refused as \"%s\"", RefusalKind(answer).c_str());
  router.Renew(2);
  cr_assert(router.answers.WaitFor(2));
  cr_assert(control.gone.items().empty() || kind == "malformed_message");
}

}  // namespace

Test(transport, router_gets_its_answers) {
  Control control;
  Router router({control.address()});
  for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
    router.Renew(sequence);
    cr_assert(router.answers.WaitFor(sequence));
  }
}

Test(transport, router_follows_the_leader_and_survives_its_end) {
  Control first;
  auto second = std::make_unique<Control>();
  first.hint = ToString(second->address());
  Router router({first.address()});
  router.Renew(1);
  cr_assert(router.answers.WaitFor(1));
  second.reset();
  first.hint.clear();
  router.Renew(2);
  cr_assert(router.answers.WaitFor(2));
}

// A router knew only the addresses of its settings and of processes that had led.
Test(transport, router_finds_a_member_it_was_told_of_once_its_settings_name_nobody_alive) {
  auto first = std::make_unique<Control>();
  Control second;
  first->members = {ToString(first->address()), ToString(second.address())};
  Router router({first->address()});
  router.Renew(1);
  cr_assert(router.answers.WaitFor(2));
  first.reset();
  router.Renew(2);
  cr_assert(router.answers.WaitFor(3));
}

// A router of the release before refuses a message that it can not decode, and its connection ends.
Test(transport, router_of_the_release_before_is_not_sent_the_members) {
  Control control;
  control.members = {"127.0.0.1:1"};
  control::RouterRenewal renewal;
  renewal.sequence = 7;
  const auto first_message = [&](std::int32_t newest_version) {
    protocol::Hello hello = protocol::MakeHello(protocol::ProcessKind::kRouter, "test");
    hello.newest_version = newest_version;
    RawClient client(control.server.port());
    client.Send(protocol::EncodeFrame(FrameKind::kHello, graniteseam::codec::Encode(hello)));
    client.Send(protocol::EncodeFrame(
        FrameKind::kMessage, graniteseam::codec::Encode(control::RouterToControl(renewal))));
    protocol::FrameReader reader;
    reader.set_payload_limit(protocol::kFramePayloadMaximum);
    for (bool closed = false; !closed;) {
      reader.Feed(client.ReadArrived(1 << 16, closed));
      const auto next = graniteseam::Attempt([&] { return reader.Next(); });
      const auto& frame = std::get<std::optional<protocol::Frame>>(next);
      if (!frame) std::this_thread::sleep_for(std::chrono::milliseconds(1));
      if (!frame || frame->kind != FrameKind::kMessage) continue;
      return std::get<control::ControlToRouter>(graniteseam::Attempt(
          [&] { return graniteseam::codec::Decode<control::ControlToRouter>(frame->payload); }));
    }
    cr_assert_fail("the connection was closed");
    return control::ControlToRouter{};
  };
  cr_assert(std::holds_alternative<control::RouterRenewalAnswer>(
      first_message(protocol::kGroupMembersVersion - 1)));
  cr_assert(
      std::holds_alternative<control::GroupMembers>(first_message(protocol::kProtocolVersion)));
}

Test(transport, first_message_to_a_peer_that_was_dialled_before_arrives) {
  Control control;
  runtime::MetricsRegistry metrics;
  runtime::EventLoop loop;
  protocol::PeerTransport transport({"2", {"127.0.0.1:9", ""}, {}}, loop, metrics);
  transport.Connect(ToString(control.address()));
  cr_assert(control.hellos.WaitFor(1));
  consensus::PeerMessage message;
  message.to.address = ToString(control.address());
  // The other side's hello is on its way back; from then on nothing is dropped.
  while (control.peers.items().empty()) {
    transport.Send(message);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  cr_assert(control.hellos.items().size() == 1, "it dialled again");
}

Test(transport, peer_messages_arrive_in_order) {
  Control control;
  runtime::MetricsRegistry metrics;
  runtime::EventLoop loop;
  protocol::PeerTransport transport({"2", {"127.0.0.1:9", ""}, {}}, loop, metrics);
  constexpr std::uint64_t kMessages = 50;
  consensus::PeerMessage message;
  message.to.address = ToString(control.address());
  // Sent until the first one arrives: what is sent before the connection stands is dropped.
  while (control.peers.items().empty()) {
    transport.Send(message);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  cr_assert(control.hellos.items().at(0) == "2 at 127.0.0.1:9");
  for (std::uint64_t term = 1; term <= kMessages; ++term) {
    consensus::AppendRequest request;
    request.term.value = term;
    message.payload = request;
    transport.Send(message);
  }
  const auto appends = [&] {
    std::vector<std::uint64_t> terms;
    for (const auto& item : control.peers.items()) {
      const auto* append = std::get_if<consensus::AppendRequest>(&item.payload);
      if (append != nullptr) terms.push_back(append->term.value);
    }
    return terms;
  };
  for (std::size_t count = 1; appends().size() < kMessages; ++count) {
    cr_assert(control.peers.WaitFor(count));
  }
  const std::vector<std::uint64_t> terms = appends();
  for (std::uint64_t term = 1; term <= kMessages; ++term) cr_assert(terms[term - 1] == term);
  loop.Stop();
}

Test(transport, tells_when_a_router_went) {
  Control control;
  {
    Router router({control.address()});
    router.Renew(1);
    cr_assert(router.answers.WaitFor(1));
  }
  cr_assert(control.gone.WaitFor(1));
}

Test(transport, refuses_garbage) {
  ExpectRefusal("GET / HTTP/1.1\r\nHost: x\r\n\r\n", "malformed_message");
}

Test(transport, refuses_an_oversize_hello) {
  ExpectRefusal(std::string("\x00\x10\x00\x00\x01", 5), "too_large");
}

Test(transport, refuses_a_message_before_hello) {
  ExpectRefusal(protocol::EncodeFrame(FrameKind::kMessage, "x"), "malformed_message");
}

Test(transport, refuses_a_truncated_hello) {
  ExpectRefusal(protocol::EncodeFrame(FrameKind::kHello, "\x02"), "malformed_message");
}

Test(transport, refuses_an_unknown_schema) {
  protocol::Hello hello = protocol::MakeHello(protocol::ProcessKind::kRouter, "test");
  ++hello.schema_fingerprint;
  ExpectRefusal(protocol::EncodeFrame(FrameKind::kHello, graniteseam::codec::Encode(hello)),
                "incompatible_format");
}

Test(transport, refuses_bytes_that_are_no_message) {
  ExpectRefusal(HelloFrame(protocol::ProcessKind::kRouter) +
                    protocol::EncodeFrame(FrameKind::kMessage, std::string(100, '\xff')),
                "malformed_message");
}

Test(transport, refuses_a_second_hello) {
  ExpectRefusal(
      HelloFrame(protocol::ProcessKind::kControl) + HelloFrame(protocol::ProcessKind::kControl),
      "malformed_message");
}

Test(transport, gives_up_who_connects_and_is_silent_or_stops_midway) {
  using std::chrono::milliseconds;
  Control control({}, 100, {std::size_t{1} << 20, milliseconds(50), milliseconds(50)});
  Router router({control.address()});
  router.Renew(1);
  cr_assert(router.answers.WaitFor(1));
  const std::string hello = HelloFrame(protocol::ProcessKind::kRouter);
  for (const std::string& begun : {std::string(), hello.substr(0, 3), hello.substr(0, 9),
                                   hello + std::string("\x00\x00\x00\x09\x02", 5),
                                   hello + std::string("\x00\xff\x00\x00\x02"
                                                       "begun",
                                                       10)}) {
    RawClient client(control.server.port());
    client.Send(begun);
    bool closed = false;
    client.ReadToEnd(closed);
    cr_assert(closed, "kept after %zu bytes", begun.size());
  }
  router.Renew(2);
  cr_assert(router.answers.WaitFor(2));
}

Test(transport, takes_no_more_connections_than_its_limit) {
  Control control({}, 1);
  Router router({control.address()});
  router.Renew(1);
  cr_assert(router.answers.WaitFor(1));
  RawClient client(control.server.port());
  bool closed = false;
  cr_assert(client.ReadToEnd(closed).empty());
  cr_assert(closed);
  router.Renew(2);
  cr_assert(router.answers.WaitFor(2));
}

Test(transport, processes_with_the_same_secret_meet) {
  const SecretFile secret("graniteseam-secret-same", kSecret + "\n");
  Control control({secret.path});
  Router router({control.address()}, {secret.path});
  router.Renew(1);
  cr_assert(router.answers.WaitFor(1));
}

Test(transport, a_new_secret_is_taken_without_a_restart) {
  const SecretFile old_secret("graniteseam-secret-old", kSecret + "\n");
  const SecretFile new_secret("graniteseam-secret-new", kOtherSecret + "\n");
  Control control({old_secret.path});
  Router old_router({control.address()}, {old_secret.path});
  Router new_router({control.address()}, {new_secret.path});
  old_router.Renew(1);
  cr_assert(old_router.answers.WaitFor(1));
  cr_assert(new_router.answers.items().empty());
  std::ofstream(old_secret.path) << kSecret << "\n" << kOtherSecret << "\n";
  while (new_router.answers.items().empty()) {
    new_router.Renew(2);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

Test(transport, who_lacks_the_secret_is_not_served) {
  const SecretFile secret("graniteseam-secret-own", kSecret + "\n");
  Control control({secret.path});
  RawClient client(control.server.port());
  client.Send(HelloFrame(protocol::ProcessKind::kRouter));
  bool closed = false;
  const std::string answer = client.ReadToEnd(closed);
  cr_assert(closed && answer.find("router") == std::string::npos);
  const SecretFile other("graniteseam-secret-other", kOtherSecret + "\n");
  Router stranger({control.address()}, {other.path});
  Router friendly({control.address()}, {secret.path});
  stranger.Renew(1);
  friendly.Renew(1);
  cr_assert(friendly.answers.WaitFor(1));
  cr_assert(stranger.answers.items().empty());
}

Test(transport, secrets_are_checked) {
  for (const std::string& text :
       {std::string(), std::string("# only a comment\n"), std::string("short\n")}) {
    const SecretFile secret("graniteseam-secret-check", text);
    const auto keys = graniteseam::Attempt([&] { return protocol::ReadSecretFile(secret.path); });
    cr_assert(graniteseam::ErrorOf(keys) != nullptr);
  }
}
