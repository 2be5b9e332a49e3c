// Two whole gateway processes, one of which reaches no server.
#include <criterion/criterion.h>

#include <string>
#include <thread>
#include <vector>

#include "tests/gateway_daemon/gateway_stand_ins.h"
#include "tests/support/raw_client.h"

using namespace graniteseam;
using namespace graniteseam::daemon;
using graniteseam::test::ControlStandIn;
using graniteseam::test::RawServer;
using graniteseam::test::RunningGateway;

namespace {

/// Nothing listens there.
constexpr char kNowhere[] = "127.0.0.1:1";

struct Gateway {
  ControlStandIn control;
  RunningGateway gateway;

  Gateway(const std::string& id, const std::vector<std::string>& servers,
          const std::vector<traffic::GatewayPeer>& peers)
      : control(servers, peers), gateway(id, control.server.port()) {}

  const GatewaySettings& settings() const { return gateway.settings; }
  std::string caller_address() const { return runtime::ToString(settings().caller_address); }

  std::string Ask(const std::string& request) const {
    test::RawClient client(settings().caller_address.port);
    client.Send(request);
    bool closed = false;
    return client.ReadToEnd(closed);
  }
};

std::string Request(const std::string& method, int number) {
  return method + " /x HTTP/1.1\r\nHost: a\r\nAttempt: " + std::to_string(number) +
         "\r\nTime-Left: 5000\r\nConnection: close\r\n\r\n";
}

/// A gateway that reaches a server, and one that reaches none and knows the other.
struct Fixture {
  RawServer worker;
  Gateway sound{"g-2", {"127.0.0.1:" + std::to_string(worker.port())}, {}};
  Gateway partitioned{"g-1",
                      {kNowhere, kNowhere, kNowhere, kNowhere, kNowhere},
                      {{{"g-2"}, kNowhere, {"z"}, 1, sound.caller_address()}}};

  Fixture() {
    worker.AnswerWith(
        "HTTP/1.1 200 OK\r\nAttempt: $ID\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody");
  }

  /// Asks until an answer comes from the server: the gateways have to start and to find out.
  bool BecomesServed() const {
    constexpr int kRequestsMaximum = 1'000;
    for (int number = 1; number <= kRequestsMaximum; ++number) {
      if (partitioned.Ask(Request("GET", number)).find(" 200 ") != std::string::npos) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }
};

}  // namespace

/// Guards against callers of a gateway without any server that are refused, while another gateway
/// would serve them.
Test(forwarded_requests, callers_of_a_gateway_without_servers_are_served_by_another_one,
     .timeout = 120) {
  const Fixture fixture;
  cr_assert(fixture.BecomesServed());
  const std::string answer = fixture.partitioned.Ask(Request("GET", 7'000));
  cr_assert(answer.find(" 200 ") != std::string::npos, "%s", answer.c_str());
  cr_assert(answer.find("Attempt: 7000") != std::string::npos);
  cr_assert(answer.find("Seal: s") != std::string::npos);
  cr_assert(answer.ends_with("body"));
  cr_assert(answer.find("Hop") == std::string::npos, "%s", answer.c_str());
}

/// Guards against a hop that is left at work when its caller has gone.
Test(forwarded_requests, caller_that_goes_ends_its_request_at_the_server, .timeout = 120) {
  Fixture fixture;
  cr_assert(fixture.BecomesServed());
  fixture.worker.AnswerWith(std::nullopt);
  const int taken = fixture.worker.taken();
  {
    test::RawClient client(fixture.partitioned.settings().caller_address.port);
    client.Send(Request("GET", 8'000));
    while (fixture.worker.taken() == taken) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  while (fixture.worker.abandoned() == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}
