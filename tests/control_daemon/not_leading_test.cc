// What instances and operators are answered at the registry port of a process that does not lead.
#include <criterion/criterion.h>
#include <fcntl.h>

#include <memory>
#include <string>

#include "src/daemon/control/registry_server.h"
#include "tests/support/raw_client.h"

using namespace graniteseam;
using graniteseam::test::RawClient;

namespace {

/// The answer to a call that the deciding thread refuses as not leading.
std::string AnswerOf(const std::string& call, const std::string& leader) {
  runtime::EventLoop loop;
  runtime::EventLog events{"test", open("/dev/null", O_WRONLY)};
  std::unique_ptr<daemon::RegistryServer> server;
  daemon::RegistryServerHooks hooks;
  hooks.execute = [&](control::RequestId request, const control::OperatorRequest& /*command*/) {
    server->Answer({request, Error{ErrorKind::kNotLeader, "No leader is known.", "Try again."}});
  };
  hooks.leader_address = [&] { return leader; };
  hooks.metrics = [] { return std::string(); };
  hooks.on_answered = [](auto, auto, auto) {};
  hooks.heartbeat_address = [](const auto&) { return std::string(); };
  server = std::make_unique<daemon::RegistryServer>(runtime::SocketAddress{"127.0.0.1", 0}, 100,
                                                    loop, events, std::move(hooks));
  const auto started = Attempt([&] { return server->Start(); });
  cr_assert(ErrorOf(started) == nullptr);
  RawClient client(server->port());
  client.Send(call + "Connection: close\r\n\r\n");
  bool closed = false;
  std::string answer = client.ReadToEnd(closed);
  loop.Stop();
  return answer;
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

const std::string kRead = "GET /v1/traffic/configuration HTTP/1.1\r\nHost: a\r\n";
const std::string kDeregistration = "DELETE /v1/instances/i-1 HTTP/1.1\r\nHost: a\r\n";

}  // namespace

Test(not_leading, without_a_known_leader_calls_are_answered_503, .timeout = 60) {
  for (const std::string& call : {kRead, kDeregistration}) {
    const std::string answer = AnswerOf(call, "");
    cr_assert(Has(answer, "HTTP/1.1 503 "), "%s", answer.c_str());
    cr_assert(Has(answer, "not_leader"), "%s", answer.c_str());
  }
}

Test(not_leading, with_a_known_leader_calls_are_redirected_to_it, .timeout = 60) {
  for (const std::string& call : {kRead, kDeregistration}) {
    const std::string answer = AnswerOf(call, "10.0.0.2:7200");
    cr_assert(Has(answer, "HTTP/1.1 307 "), "%s", answer.c_str());
    cr_assert(Has(answer, "Location: http://10.0.0.2:7200/v1/"), "%s", answer.c_str());
  }
}
