// What callers of the registry port get when it closes. The loop is held up, and the test plays the
// deciding thread, so that what meets the close is decided here.
#include "src/daemon/control/registry_server.h"

#include <criterion/criterion.h>
#include <fcntl.h>

#include <boost/asio/post.hpp>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/raw_client.h"

using namespace graniteseam;
using graniteseam::test::RawClient;

namespace {

const std::string kRead = "GET /v1/traffic/configuration HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kChange =
    "PUT /v1/zones/z/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";

struct Registry {
  runtime::EventLoop loop;
  runtime::EventLog events{"test", open("/dev/null", O_WRONLY)};
  std::unique_ptr<daemon::RegistryServer> server;

  Registry() {
    daemon::RegistryServerHooks hooks;
    hooks.execute = [this](control::RequestId request, const control::OperatorRequest& command) {
      const bool read = std::holds_alternative<control::ReadConfiguration>(command);
      const std::lock_guard lock(mutex_);
      (read ? reads_ : changes_).push_back(request);
    };
    hooks.leader_address = [] { return std::string(); };
    hooks.metrics = [] { return std::string(); };
    hooks.on_answered = [](auto, auto, auto) {};
    hooks.heartbeat_address = [](const auto&) { return std::string(); };
    server = std::make_unique<daemon::RegistryServer>(runtime::SocketAddress{"127.0.0.1", 0}, 100,
                                                      loop, events, std::move(hooks));
    const auto started = Attempt([this] { return server->Start(); });
    cr_assert(ErrorOf(started) == nullptr);
  }
  ~Registry() { loop.Stop(); }

  std::vector<control::RequestId> reads() {
    const std::lock_guard lock(mutex_);
    return reads_;
  }
  std::vector<control::RequestId> changes() {
    const std::lock_guard lock(mutex_);
    return changes_;
  }
  void AwaitChanges(std::size_t count) {
    while (changes().size() < count) std::this_thread::yield();
  }

 private:
  std::mutex mutex_;  ///< Guards the members below.
  std::vector<control::RequestId> reads_;
  std::vector<control::RequestId> changes_;
};

std::string ReadToEnd(RawClient& client) {
  bool closed = false;
  const std::string all = client.ReadToEnd(closed);
  cr_assert(closed);
  return all;
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

/// What lay unread got nothing; what is told 503 must not have been handed on.
Test(registry_server, what_arrived_unread_is_refused_and_not_handed_on, .timeout = 60) {
  Registry registry;
  RawClient kept(registry.server->port());
  kept.Send(kRead);
  while (registry.reads().empty()) std::this_thread::yield();
  registry.server->Answer({registry.reads()[0], control::ConfigurationView{}});
  std::string first;
  for (bool closed = false; !Has(first, "\r\n\r\n") && !closed;) {
    first += kept.ReadArrived(1 << 16, closed);
  }
  std::promise<void> begun;
  std::promise<void> release;
  boost::asio::post(registry.loop.context(), [&] {
    begun.set_value();
    release.get_future().wait();
  });
  begun.get_future().wait();
  kept.Send(kChange);
  RawClient unaccepted(registry.server->port());
  unaccepted.Send(kChange);
  std::thread closing([&] { registry.server->Close(std::chrono::seconds(1)); });
  // The order to close comes while the loop is held up.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  release.set_value();
  for (RawClient* const client : {&kept, &unaccepted}) {
    const std::string answer = ReadToEnd(*client);
    cr_assert(Has(answer, "HTTP/1.1 503 "), "Instead of a refusal: %s", answer.c_str());
    cr_assert(Has(answer, "Connection: close"), "%s", answer.c_str());
  }
  closing.join();
  cr_assert(registry.changes().empty());
}

/// A change whose answer comes while the port closes is acknowledged.
Test(registry_server, answer_that_comes_in_time_is_delivered, .timeout = 60) {
  Registry registry;
  RawClient client(registry.server->port());
  client.Send(kChange);
  registry.AwaitChanges(1);
  registry.server->BeginDrain();
  std::thread closing([&] { registry.server->Close(std::chrono::seconds(20)); });
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  registry.server->Answer({registry.changes()[0], control::Accepted{}});
  const std::string answer = ReadToEnd(client);
  cr_assert(Has(answer, "HTTP/1.1 200 ") && Has(answer, "Connection: close"), "%s", answer.c_str());
  closing.join();
}

/// A change that may still be committed must not be told 503, which would say that it was not
/// taken.
Test(registry_server, change_without_an_answer_is_not_said_to_be_refused, .timeout = 60) {
  Registry registry;
  RawClient client(registry.server->port());
  client.Send(kChange);
  registry.AwaitChanges(1);
  registry.server->Close(std::chrono::milliseconds(50));
  const std::string answer = ReadToEnd(client);
  cr_assert(Has(answer, "HTTP/1.1 502 ") && Has(answer, "Connection: close"), "%s", answer.c_str());
  cr_assert(Has(answer, "outcome_unknown"), "%s", answer.c_str());
}

/// Changes that wait for their answers, also those whose callers have left, had no bound in bytes.
Test(registry_server, changes_beyond_the_bytes_that_may_wait_are_refused, .timeout = 60) {
  constexpr std::size_t kNoteBytes = 7UL << 20U;
  const std::string body =
      R"({"version":1,"routes":[],"services":[],"note":")" + std::string(kNoteBytes, 'x') + R"("})";
  const std::string change =
      "PUT /v1/traffic/configuration HTTP/1.1\r\nHost: a\r\nIf-Match: 0\r\nConnection: close\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  Registry registry;
  for (std::size_t count = 1; count <= 2; ++count) {
    RawClient leaving(registry.server->port());
    leaving.Send(change);
    registry.AwaitChanges(count);
  }
  RawClient refused(registry.server->port());
  refused.Send(change);
  const std::string answer = ReadToEnd(refused);
  cr_assert(Has(answer, "HTTP/1.1 503 "), "%s", answer.c_str());
  cr_assert_eq(registry.changes().size(), 2U);
  registry.server->Answer({registry.changes()[0], control::Accepted{}});
  RawClient taken(registry.server->port());
  taken.Send(change);
  registry.AwaitChanges(3);
}

/// A heartbeat of the size of a configuration was parsed.
Test(registry_server, large_heartbeat_is_refused, .timeout = 60) {
  const std::string body = R"({"note":")" + std::string(2UL << 20U, 'x') + R"("})";
  Registry registry;
  RawClient client(registry.server->port());
  client.Send(
      "POST /v1/instances/i-1/heartbeat HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
  const std::string answer = ReadToEnd(client);
  cr_assert(Has(answer, "HTTP/1.1 413 "), "%s", answer.c_str());
}
