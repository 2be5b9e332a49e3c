#include "src/http/lease_client.h"

#include <criterion/criterion.h>
#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "src/http/lease_json.h"
#include "src/http/platform_poller.h"

namespace control = graniteseam::control;
namespace http = graniteseam::http;
namespace lease = graniteseam::lease;
namespace runtime = graniteseam::runtime;
using graniteseam::Attempt;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;

namespace {

/// An HTTP server on a port that the kernel chose.
class StandIn {
 public:
  explicit StandIn(httplib::Server::Handler handler) {
    server_.Post("/graniteseam/v1/lease", handler);
    server_.Get("/v1/machines", handler);
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) std::this_thread::yield();
  }
  ~StandIn() {
    server_.stop();
    thread_.join();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

/// Answers a lease message as a server would.
void AnswerLease(const httplib::Request& request, httplib::Response& response) {
  const auto message = nlohmann::json::parse(request.body);
  const nlohmann::json answer = {{"server", message["server"]},
                                 {"incarnation", 7},
                                 {"reading_us", 123},
                                 {"accepted", true},
                                 {"shard_set_version", 4},
                                 {"released", nlohmann::json::array()},
                                 {"leaving", false},
                                 {"load", 0.5}};
  response.set_content(answer.dump(), "application/json");
}

lease::LeaseRequest Message(const std::string& server, std::uint64_t sequence) {
  lease::LeaseRequest request;
  request.server.value = server;
  request.order = {{1}, sequence};
  return request;
}

/// A lease client that collects answers.
class Client {
 public:
  Client()
      : client_({std::chrono::milliseconds(20), std::chrono::seconds(30), std::chrono::seconds(60),
                 nullptr},
                loop_, metrics_, [this](const lease::LeaseAnswer& answer) {
                  const std::lock_guard lock(mutex_);
                  answers_.push_back(answer);
                  arrived_.notify_all();
                }) {}
  ~Client() { loop_.Stop(); }

  void Send(const std::string& address, const lease::LeaseRequest& request) {
    client_.Send(address, request);
  }
  /// Waits until a server answered; only a defect makes that long.
  bool WaitForAnswerOf(const std::string& server) {
    std::unique_lock lock(mutex_);
    return arrived_.wait_for(lock, std::chrono::seconds(60), [&] {
      return std::any_of(answers_.begin(), answers_.end(), [&](const lease::LeaseAnswer& answer) {
        return answer.server.value == server;
      });
    });
  }
  std::vector<lease::LeaseAnswer> answers() {
    const std::lock_guard lock(mutex_);
    return answers_;
  }

 private:
  runtime::MetricsRegistry metrics_;
  runtime::EventLoop loop_;
  std::mutex mutex_;  ///< Guards answers_.
  std::condition_variable arrived_;
  std::vector<lease::LeaseAnswer> answers_;
  http::LeaseClient client_;
};

/// Lets requests through once opened.
class Gate {
 public:
  void Pass() {
    std::unique_lock lock(mutex_);
    opened_.wait_for(lock, std::chrono::seconds(60), [this] { return open_; });
  }
  void Open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    opened_.notify_all();
  }

 private:
  std::mutex mutex_;  ///< Guards open_.
  std::condition_variable opened_;
  bool open_ = false;
};

}  // namespace

Test(lease_json, writes_what_the_interface_says) {
  lease::LeaseRequest request = Message("s1", 3);
  request.incarnation = graniteseam::Incarnation{9};
  request.valid_until = graniteseam::InstantFromMicros(77);
  request.base_version = 1;
  request.target_version = 2;
  request.grants = {{{{"transcripts"}, 5}, {6}}};
  const auto json = nlohmann::json::parse(http::ToJson(request));
  const auto expected = nlohmann::json::parse(
      R"({"server":"s1","term":1,"sequence":3,"incarnation":9,"valid_until_us":77,
          "base_version":1,"target_version":2,"revocations":[],
          "grants":[{"service":"transcripts","shard":5,"epoch":6}]})");
  cr_assert(json == expected);
}

Test(lease_json, refuses_answers_of_another_form_or_server) {
  const lease::LeaseRequest request = Message("s1", 3);
  const std::string good =
      R"({"server":"s1","incarnation":1,"reading_us":2,"accepted":true,"shard_set_version":0,
          "released":[],"leaving":false,"load":0})";
  const auto read = Attempt([&] { return http::ReadLeaseAnswer(good, request); });
  cr_assert(ErrorOf(read) == nullptr);
  cr_assert(std::get<lease::LeaseAnswer>(read).order == request.order);
  for (const std::string& bad :
       {std::string("{}"), std::string("[]"), std::string("\x00\xff", 2), std::string(5000, '['),
        std::string(R"({"server":"s2","incarnation":1,"reading_us":2,"accepted":true,
                        "shard_set_version":0,"released":[],"leaving":false,"load":0})"),
        std::string(R"({"server":"s1","incarnation":-1,"reading_us":2,"accepted":true,
                        "shard_set_version":0,"released":[],"leaving":false,"load":0})")}) {
    const auto refused = Attempt([&] { return http::ReadLeaseAnswer(bad, request); });
    cr_assert(ErrorOf(refused) != nullptr, "took %s", bad.substr(0, 200).c_str());
    cr_assert(ErrorOf(refused)->kind == ErrorKind::kMalformedMessage);
  }
}

Test(lease_client, delivers_answers) {
  const StandIn server(AnswerLease);
  Client client;
  client.Send(server.address(), Message("s1", 1));
  cr_assert(client.WaitForAnswerOf("s1"));
  const lease::LeaseAnswer answer = client.answers()[0];
  cr_assert(answer.order.sequence == 1 && answer.incarnation.value == 7 && answer.accepted);
}

Test(lease_client, a_server_that_hangs_holds_up_no_other) {
  Gate gate;
  const StandIn hanging([&](const httplib::Request& request, httplib::Response& response) {
    gate.Pass();
    AnswerLease(request, response);
  });
  const StandIn good(AnswerLease);
  Client client;
  for (int index = 0; index < 200; ++index) {
    client.Send(hanging.address(), Message("hanging-" + std::to_string(index), 1));
  }
  client.Send(good.address(), Message("good", 1));
  cr_assert(client.WaitForAnswerOf("good"));
  cr_assert(client.answers().size() == 1);
  gate.Open();
}

Test(lease_client, a_call_that_hangs_gives_way_to_the_newest_message) {
  Gate gate;
  std::atomic<int> calls{0};
  const StandIn server([&](const httplib::Request& request, httplib::Response& response) {
    if (calls++ == 0) gate.Pass();
    AnswerLease(request, response);
  });
  Client client;
  client.Send(server.address(), Message("s1", 1));
  while (calls == 0) std::this_thread::yield();
  client.Send(server.address(), Message("s1", 2));
  client.Send(server.address(), Message("s1", 3));
  cr_assert(client.WaitForAnswerOf("s1"));
  cr_assert(client.answers()[0].order.sequence == 3);
  gate.Open();
}

Test(lease_client, drops_answers_that_are_no_answers) {
  std::atomic<int> calls{0};
  const StandIn server([&](const httplib::Request& request, httplib::Response& response) {
    const int call = calls++;
    if (call == 0) return response.set_content("nonsense", "application/json");
    if (call == 1) {
      response.status = 409;
      return response.set_content("{}", "application/json");
    }
    if (call == 2) return response.set_content(std::string(5U << 20U, 'x'), "text/plain");
    AnswerLease(request, response);
  });
  Client client;
  std::uint64_t sequence = 0;
  while (client.answers().empty()) {
    client.Send(server.address(), Message("s1", ++sequence));
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
  }
  cr_assert(client.answers()[0].order.sequence >= 4);
}

Test(platform_poller, reads_the_list_and_refuses_other_bodies) {
  const auto list = Attempt([&] {
    return http::ReadMachines(R"({"machines":[{"server":"s","service":"t","address":"127.0.0.1:1",
                                  "zone":"z","leaving":true}]})");
  });
  cr_assert(ErrorOf(list) == nullptr);
  cr_assert(std::get<control::PlatformList>(list).machines.at(0).leaving);
  for (const char* bad : {"", "[]", R"({"machines":[{}]})",
                          R"({"machines":[{"server":"s","service":"t","address":"host",
                              "zone":"z","leaving":true}]})"}) {
    cr_assert(ErrorOf(Attempt([&] { return http::ReadMachines(bad); })) != nullptr);
  }
}

Test(platform_poller, polls_until_the_platform_answers) {
  std::atomic<int> calls{0};
  const StandIn server([&](const httplib::Request& /*request*/, httplib::Response& response) {
    if (calls++ == 0) {
      response.status = 500;
      return;
    }
    response.set_content(R"({"machines":[]})", "application/json");
  });
  runtime::MetricsRegistry metrics;
  runtime::EventLoop loop;
  std::atomic<bool> listed{false};
  const auto address = std::get<runtime::SocketAddress>(
      Attempt([&] { return runtime::ParseSocketAddress(server.address()); }));
  const http::PlatformPoller poller(
      {{address}, std::chrono::milliseconds(10), std::chrono::seconds(5), nullptr}, loop, metrics,
      [] { return true; }, [&](const control::PlatformList& /*list*/) { listed = true; });
  while (!listed) std::this_thread::yield();
  cr_assert(calls >= 2);
  loop.Stop();
}
