/// @file
/// A server for tests that answers each request as a script says, byte for byte, and counts what it
/// got.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace graniteseam::test {

/// What to do with one request. `bytes` go out as they are; "{attempt}" stands for the echo.
struct Script {
  std::string bytes;
  bool close = false;                ///< Afterwards.
  std::function<void()> before;      ///< Runs before the answer, for example to wait.
  std::vector<std::string> later{};  ///< Sent after it, each in a packet of its own.
};

/// Listens on a port of the kernel's choice until destroyed; a thread for each connection.
class ScriptedServer {
 public:
  /// @param answer takes a request's whole text (head and body) and its number, counted from 1.
  explicit ScriptedServer(std::function<Script(const std::string& request, int number)> answer);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int requests() const { return requests_; }
  int connections() const { return connections_; }

 private:
  void Accept();
  void Serve(int descriptor);

  std::function<Script(const std::string&, int)> answer_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<int> requests_{0};
  std::atomic<int> connections_{0};
  std::mutex mutex_;
  std::vector<int> descriptors_;      ///< Guarded by mutex_.
  std::vector<std::thread> threads_;  ///< Guarded by mutex_.
  std::thread acceptor_;
};

/// An answer with a body; the echo is right unless another is given.
std::string Answer(int status, const std::string& body, const std::string& more_headers = {},
                   const std::string& attempt = "{attempt}");

/// The value of a header in a request's text; empty without it.
std::string HeaderOf(const std::string& request, const std::string& name);

}  // namespace graniteseam::test
