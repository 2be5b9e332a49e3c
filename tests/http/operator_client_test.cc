// What the operators' client makes of answers that are none.
#include "src/http/operator_client.h"

#include <criterion/criterion.h>

#include <string>

#include "tests/http/scripted_server.h"

using namespace graniteseam;

namespace {

/// How calls end at a control process that answers with this status.
struct Ends {
  ErrorKind change;
  ErrorKind read;
  ErrorKind call_of_one;
};

ErrorKind KindOf(const Outcome<std::string>& outcome) {
  const Error* const error = ErrorOf(outcome);
  cr_assert(error != nullptr);
  return error->kind;
}

Ends EndsOf(const std::string& status) {
  test::ScriptedServer server([&](const std::string&, int) {
    return test::Script{"HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}", true, {}};
  });
  http::OperatorClientOptions options;
  const auto address = std::get<runtime::SocketAddress>(
      Attempt([&] { return runtime::ParseSocketAddress(server.address()); }));
  options.control = {address};
  options.time_limit = std::chrono::milliseconds(300);
  http::OperatorClient client(options);
  const http::OperatorCall read{"GET", "/v1/fleet", ""};
  const http::OperatorCall change{"POST", "/v1/bundles", "{}"};
  return {KindOf(Attempt([&] { return client.Call(change); })),
          KindOf(Attempt([&] { return client.Call(read); })),
          KindOf(Attempt([&] { return client.CallOne(address, read); }))};
}

}  // namespace

// Guards against a change that may have been accepted and is called refused, for an answer whose
// status is none or interim.
Test(operator_client, takes_an_answer_without_a_final_status_for_none) {
  for (const std::string status : {"000 No", "010 No", "099 No", "101 Switching Protocols",
                                   "103 Early Hints", "600 No", "999 No", "20 No"}) {
    const Ends ends = EndsOf(status);
    cr_assert(ends.change == ErrorKind::kOutcomeUnknown, "%s", status.c_str());
    cr_assert(ends.read == ErrorKind::kUnavailable, "%s", status.c_str());
    cr_assert(ends.call_of_one == ErrorKind::kTransport, "%s", status.c_str());
  }
}
