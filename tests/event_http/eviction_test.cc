// Guards against clients that together make a server hold more than its process may: bodies that
// stop short of their end, and responses that nobody reads.
#include <criterion/criterion.h>

#include "src/event_http/rate_meter.h"
#include "tests/event_http/stepped_server.h"

using namespace graniteseam;
using namespace graniteseam::event_http;
using namespace graniteseam::event_http::test;

namespace {

constexpr std::size_t kAccountBytes = std::size_t{16} << 20;
/// Two of them do not fit.
constexpr std::size_t kBodyBytes = std::size_t{8} << 20;
/// After it, the rate of a client that stopped is 0.
constexpr Duration kStopped = 3 * RateMeter::kWindow;

struct SmallServer {
  std::unique_ptr<SteppedServer> stepped;
  std::shared_ptr<ByteAccount> account =
      std::make_shared<ByteAccount>(kAccountBytes, [this] { return stepped->now; });
  std::vector<Eviction> evictions;

  explicit SmallServer(std::size_t connections_maximum = 100) {
    ServerOptions options;
    options.account = account;
    options.connections_maximum = connections_maximum;
    options.on_eviction = [this](const Eviction& eviction) { evictions.push_back(eviction); };
    stepped = std::make_unique<SteppedServer>(options);
    ServerLimits limits;
    limits.body_bytes = kAccountBytes;
    limits.idle_timeout = kIdle;
    stepped->server->SetLimits(limits);
  }

  /// Lets time pass for an event loop that is never late.
  void Pass(Duration span) const {
    for (Duration passed{}; passed < span; passed += ByteAccount::kSweepInterval) {
      stepped->now += std::min(span - passed, ByteAccount::kSweepInterval);
      account->Sweep(stepped->now);
    }
  }
  /// Sends while the server reads.
  void Send(RawClient& client, std::size_t bytes) const {
    constexpr std::size_t kPiece = std::size_t{64} << 10;
    for (std::size_t sent = 0; sent < bytes; sent += kPiece) {
      client.Send(std::string(std::min(kPiece, bytes - sent), 'x'));
      stepped->Turn();
    }
  }
  static std::string Head(std::size_t bytes) {
    return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
  }
  /// Begins a body, of which the last byte is left out.
  void BeginUpload(RawClient& client) const {
    client.Send(Head(kBodyBytes));
    Send(client, kBodyBytes - 1);
  }
  /// A large response that is charged, to a client that reads nothing of it.
  void BeginDownload(RawClient& client) const {
    client.Send(Get("/hold"));
    cr_assert(stepped->TurnUntil([&] { return stepped->held.size() == 1; }));
    Response response;
    response.body = std::string(kBodyBytes, 'x');
    const auto charge = MakeCharge(account);
    cr_assert(charge->Set(kBodyBytes, ChargeSize::kLarge));
    response.charge = charge;
    stepped->held.front()->Respond(std::move(response));
    stepped->held.clear();
    stepped->Turn();
  }
  std::string FirstLine(RawClient& client) const {
    std::string answer;
    bool closed = false;
    stepped->TurnUntil([&] {
      answer += client.ReadArrived(4'096, closed);
      return answer.find("\r\n\r\n") != std::string::npos || closed;
    });
    return answer;
  }
};

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// Bodies that stopped short of their end kept all others out until the idle timeout.
Test(eviction, upload_that_stopped_makes_room_for_another) {
  SmallServer small;
  RawClient stopped(small.stepped->server->port());
  small.BeginUpload(stopped);
  small.Pass(kStopped);
  RawClient other(small.stepped->server->port());
  small.BeginUpload(other);
  other.Send("x");
  cr_expect(Has(small.FirstLine(other), " 200 OK"));
  cr_expect(Has(small.FirstLine(stopped), " 408 "));
  cr_assert_eq(small.evictions.size(), 1);
  cr_expect(small.evictions.front().upload);
  cr_expect_geq(small.evictions.front().bytes, kBodyBytes - 1);
  cr_expect_eq(small.stepped->handed_on.size(), 1);
}

// A slow link is no attack: who does not fit beside it is told at once, and when to come again.
Test(eviction, upload_at_the_pace_of_a_slow_link_is_kept) {
  SmallServer small;
  RawClient slow(small.stepped->server->port());
  slow.Send(SmallServer::Head(kBodyBytes + 1'000'000));
  small.Send(slow, kBodyBytes);
  // 2 Mbit/s.
  constexpr std::size_t kInTenth = 25'000;
  for (int tenth = 0; tenth < 40; ++tenth) {
    small.Pass(Duration{100'000});
    small.Send(slow, kInTenth);
    if (tenth != 30) continue;
    RawClient other(small.stepped->server->port());
    small.BeginUpload(other);
    const std::string answer = small.FirstLine(other);
    cr_expect(Has(answer, " 503 "), "'%s'", answer.c_str());
    cr_expect(Has(answer, "Retry-After: "), "'%s'", answer.c_str());
  }
  cr_expect(Has(small.FirstLine(slow), " 200 OK"));
  cr_expect_eq(small.stepped->server->refusals_for_room(), 1);
  cr_expect(small.evictions.empty());
}

// Responses that nobody reads filled the process.
Test(eviction, response_that_nobody_reads_makes_room_and_is_cut) {
  SmallServer small;
  RawClient reader(small.stepped->server->port(), 4'096);
  small.BeginDownload(reader);
  small.Pass(kStopped);
  RawClient other(small.stepped->server->port());
  small.BeginUpload(other);
  other.Send("x");
  cr_expect(Has(small.FirstLine(other), " 200 OK"));
  cr_assert_eq(small.evictions.size(), 1);
  cr_expect_not(small.evictions.front().upload);
  cr_expect_lt(small.stepped->ReadToEnd(reader).size(), kBodyBytes);
  other.EndSending();
  cr_expect(small.stepped->TurnUntil([&] { return small.stepped->server->connections() == 0; }));
  cr_expect_eq(small.account->held(), 0);
}

// The socket takes far more than a client has read, and then nothing for seconds.
Test(eviction, response_that_is_read_at_the_pace_of_a_slow_link_is_kept) {
  SmallServer small;
  RawClient reader(small.stepped->server->port(), 65'536);
  small.BeginDownload(reader);
  bool closed = false;
  for (int round = 0; round < 4; ++round) {
    small.stepped->now += Duration{600'000};
    reader.ReadArrived(150'000, closed);
    small.stepped->TurnAfterSweeps();
  }
  RawClient other(small.stepped->server->port());
  small.BeginUpload(other);
  cr_expect(Has(small.FirstLine(other), " 503 "));
  cr_expect_not(closed);
  cr_expect(small.evictions.empty());
}

// What waits for its server is not the client's doing.
Test(eviction, request_that_is_in_progress_is_not_evicted) {
  SmallServer small;
  RawClient client(small.stepped->server->port());
  client.Send("POST /hold HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(kBodyBytes) +
              "\r\n\r\n");
  small.Send(client, kBodyBytes);
  cr_assert(small.stepped->TurnUntil([&] { return small.stepped->held.size() == 1; }));
  small.Pass(kStopped);
  RawClient other(small.stepped->server->port());
  small.BeginUpload(other);
  cr_expect(Has(small.FirstLine(other), " 503 "));
  small.stepped->AnswerHeld();
  cr_expect(Has(small.FirstLine(client), " 200 OK"));
}

// Idle connections that fill the server kept all other clients out.
Test(eviction, connection_that_rested_longest_makes_room_for_a_new_one) {
  SmallServer small(2);
  RawClient longest(small.stepped->server->port());
  RawClient shorter(small.stepped->server->port());
  cr_assert(small.stepped->TurnUntil([&] { return small.stepped->server->connections() == 2; }));
  small.stepped->now += Duration{1'000'000};
  shorter.Send(Get("/a"));
  cr_expect(Has(small.FirstLine(shorter), " 200 OK"));
  small.stepped->now += Duration{5'000'000};
  RawClient fresh(small.stepped->server->port());
  fresh.Send(Get("/b"));
  cr_expect(Has(small.FirstLine(fresh), " 200 OK"));
  cr_expect_eq(small.FirstLine(longest), std::string());
  shorter.Send(Get("/c"));
  cr_expect(Has(small.FirstLine(shorter), " 200 OK"));
}
