/// @file
/// A control process that answers as a test tells it to, over real HTTP.
#pragma once

#include <httplib.h>

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/http/operator_json.h"

namespace graniteseam::test {

class ScriptedControl {
 public:
  /// Answers one request; called by one thread at a time. `number` counts requests from 0.
  using Script =
      std::function<void(const httplib::Request&, httplib::Response&, std::size_t number)>;

  explicit ScriptedControl(Script script) : script_(std::move(script)) {
    const auto handle = [this](const httplib::Request& request, httplib::Response& response) {
      const std::lock_guard lock(mutex_);
      paths_.push_back(request.method + " " + request.path);
      script_(request, response, paths_.size() - 1);
    };
    server_.Get(".*", handle);
    server_.Post(".*", handle);
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) std::this_thread::yield();
  }

  ~ScriptedControl() {
    server_.stop();
    thread_.join();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::vector<std::string> paths() const {
    const std::lock_guard lock(mutex_);
    return paths_;
  }

  static void Answer(httplib::Response& response, const std::string& json) {
    response.set_content(json, "application/json");
  }
  static void Refuse(httplib::Response& response, ErrorKind kind, const std::string& leader = "") {
    response.status = http::HttpStatus(kind);
    response.set_content(
        http::ToJson(http::OperatorProblem{{kind, "What happened.", "What to do."}, leader}),
        "application/problem+json");
  }
  /// Ends the connection in the middle of the answer.
  static void LoseAnswer(httplib::Response& response) {
    response.set_content_provider(
        100, "application/json",
        [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
  }

 private:
  Script script_;
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
  mutable std::mutex mutex_;  ///< Guards paths_ and calls of script_.
  std::vector<std::string> paths_;
};

}  // namespace graniteseam::test
