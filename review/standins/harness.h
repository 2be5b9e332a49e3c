/// @file
/// Stand-ins for a script: the platform, which starts and ends the project's programs, clients, the
/// operator and workers. POSIX sockets and threads only; every address is a loopback address.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// --- Time and record ---

inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void SleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// What was sent, answered and run, one line each, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) std::exit(2);
    Now();
  }
  ~Record() { std::fclose(file_); }

  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[512];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.4f %s\n", Now(), text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

/// The disruption is left out with TROUBLE=0.
inline bool Troubled() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}

// --- Messages ---

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool whole = false;

  const std::string* Find(std::string_view name) const {
    for (const auto& [known, value] : fields) {
      if (known.size() == name.size() && strncasecmp(known.data(), name.data(), name.size()) == 0)
        return &value;
    }
    return nullptr;
  }
  std::string Value(std::string_view name) const {
    const std::string* const value = Find(name);
    return value == nullptr ? std::string() : *value;
  }
  std::string Method() const { return first_line.substr(0, first_line.find(' ')); }
  std::string Target() const {
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  int Status() const {
    const auto begin = first_line.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(first_line.c_str() + begin + 1);
  }
};

inline std::uint64_t NumberIn(const std::string& json, const std::string& name) {
  const auto at = json.find("\"" + name + "\":");
  return at == std::string::npos ? 0
                                 : std::strtoull(json.c_str() + at + name.size() + 3, nullptr, 10);
}

inline std::string TextIn(const std::string& json, const std::string& name) {
  const std::string key = "\"" + name + "\":\"";
  const auto at = json.find(key);
  if (at == std::string::npos) return "";
  const auto begin = at + key.size();
  return json.substr(begin, json.find('"', begin) - begin);
}

// --- Sockets ---

struct Address {
  std::string ip;
  std::uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline Address ParseAddress(const std::string& text) {
  const auto colon = text.find(':');
  return {text.substr(0, colon), static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))};
}

inline sockaddr_in ToNative(const Address& address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
  return native;
}

class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    return *this;
  }
  ~Socket() { Close(); }

  bool open() const { return descriptor_ >= 0; }
  int get() const { return descriptor_; }
  void Close() {
    if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
  }

  bool Send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR) continue;
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// @return bytes read; 0 at the end, -1 for a fault, -2 when none came in time.
  ssize_t Receive(char* bytes, std::size_t size, double limit) const {
    pollfd waited{descriptor_, POLLIN, 0};
    const int ready = ::poll(&waited, 1, std::max(0, static_cast<int>(limit * 1000)));
    if (ready == 0) return -2;
    if (ready < 0) return errno == EINTR ? -2 : -1;
    return ::recv(descriptor_, bytes, size, 0);
  }

 private:
  int descriptor_ = -1;
};

inline Socket Connect(const Address& address, double limit) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_in native = ToNative(address);
  if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0) {
    if (errno != EINPROGRESS) return {};
    pollfd waited{socket.get(), POLLOUT, 0};
    if (::poll(&waited, 1, static_cast<int>(limit * 1000)) <= 0) return {};
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return {};
  }
  fcntl(socket.get(), F_SETFL, fcntl(socket.get(), F_GETFL) & ~O_NONBLOCK);
  const int one = 1;
  setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return socket;
}

inline Socket Listen(const Address& address) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int one = 1;
  setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in native = ToNative(address);
  const bool bound =
      ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&native), sizeof(native)) == 0;
  if (!bound || ::listen(socket.get(), 256) != 0) return {};
  return socket;
}

/// Ports that are free at an address, below those that the kernel gives to connections.
inline std::vector<std::uint16_t> FreePorts(const std::vector<std::string>& ips,
                                            std::size_t count) {
  std::vector<std::uint16_t> ports;
  unsigned seed = static_cast<unsigned>(getpid());
  while (ports.size() < count) {
    const auto port = static_cast<std::uint16_t>(12'000 + rand_r(&seed) % 18'000);
    const bool free = std::all_of(ips.begin(), ips.end(), [&](const auto& ip) {
      return Listen({ip, port}).open();
    });
    if (free && std::find(ports.begin(), ports.end(), port) == ports.end()) ports.push_back(port);
  }
  return ports;
}

/// Reads messages off one connection.
class Reader {
 public:
  explicit Reader(const Socket& socket) : socket_(socket) {}

  /// @return a message that is not whole at an end, a fault or the limit.
  Message Next(double limit, bool of_server) {
    const double end = Now() + limit;
    Message message;
    std::size_t head = std::string::npos;
    while ((head = bytes_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(end)) return message;
    }
    ReadHead(bytes_.substr(0, head), message);
    bytes_.erase(0, head + 4);
    const std::string* const length = message.Find("Content-Length");
    if (length == nullptr && of_server && message.Status() / 100 != 1) {
      while (Fill(end)) {
      }
      message.body = std::exchange(bytes_, {});
      message.whole = ended_;
      return message;
    }
    const std::size_t size = length == nullptr ? 0 : std::strtoull(length->c_str(), nullptr, 10);
    while (bytes_.size() < size) {
      if (!Fill(end)) return message;
    }
    message.body = bytes_.substr(0, size);
    bytes_.erase(0, size);
    message.whole = true;
    return message;
  }

  bool ended() const { return ended_; }
  bool failed() const { return failed_; }

 private:
  bool Fill(double end) {
    if (ended_ || failed_) return false;
    char part[16'384];
    const ssize_t size = socket_.Receive(part, sizeof(part), end - Now());
    ended_ = size == 0;
    failed_ = size == -1;
    if (size <= 0) return false;
    bytes_.append(part, static_cast<std::size_t>(size));
    return true;
  }

  static void ReadHead(const std::string& head, Message& message) {
    std::size_t begin = head.find("\r\n");
    message.first_line = head.substr(0, begin);
    while (begin != std::string::npos) {
      begin += 2;
      const std::size_t line_end = head.find("\r\n", begin);
      const std::string line = head.substr(begin, line_end - begin);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') ++value;
        message.fields.emplace_back(line.substr(0, colon), line.substr(value));
      }
      begin = line_end;
    }
  }

  const Socket& socket_;
  std::string bytes_;
  bool ended_ = false;
  bool failed_ = false;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string RequestText(const std::string& method, const std::string& target,
                               const Fields& fields, const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  if (!body.empty() || method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

inline std::string AnswerText(int status, const Fields& fields, const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// One call over a connection of its own.
inline Message Call(const Address& address, const std::string& method, const std::string& target,
                    const Fields& fields, const std::string& body, double limit) {
  const double end = Now() + limit;
  const Socket socket = Connect(address, std::min(limit, 1.0));
  if (!socket.open()) return {};
  Fields all{{"Host", address.Text()}};
  for (const auto& field : fields) {
    if (field.first == "Host") all.clear();
  }
  all.insert(all.end(), fields.begin(), fields.end());
  if (!socket.Send(RequestText(method, target, all, body))) return {};
  return Reader(socket).Next(end - Now(), true);
}

/// Follows a redirection twice, as callers of control do.
inline Message CallControl(Address address, const std::string& method, const std::string& target,
                           const Fields& fields, const std::string& body, double limit,
                           std::string* answered_by = nullptr) {
  Message answer;
  for (int turn = 0; turn < 3; ++turn) {
    answer = Call(address, method, target, fields, body, limit);
    if (answered_by != nullptr) *answered_by = address.Text();
    const std::string location = answer.Value("Location");
    if (answer.Status() != 307 || location.size() < 8) return answer;
    const std::string rest = location.substr(7);
    address = ParseAddress(rest.substr(0, rest.find('/')));
  }
  return answer;
}

/// Serves each connection on a thread of its own.
class Server {
 public:
  /// Serves one connection until it returns; Running() tells when to return.
  using Serve = std::function<void(Socket&)>;

  Server(const Address& address, Serve serve) : serve_(std::move(serve)) {
    for (int turn = 0; turn < 100 && !listener_.open(); ++turn) {
      listener_ = Listen(address);
      if (!listener_.open()) SleepFor(0.02);
    }
    if (!listener_.open()) std::exit(2);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~Server() { Stop(); }

  bool Running() const { return running_; }

  /// As a process that ends: its connections are closed.
  void Stop() {
    if (!running_.exchange(false)) return;
    acceptor_.join();
    listener_.Close();
    for (auto& thread : threads_) thread.join();
  }

 private:
  void Accept() {
    while (running_) {
      pollfd waited{listener_.get(), POLLIN, 0};
      if (::poll(&waited, 1, 20) <= 0) continue;
      const int accepted = ::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) continue;
      const int one = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      threads_.emplace_back([this, accepted] {
        Socket socket(accepted);
        serve_(socket);
      });
    }
  }

  const Serve serve_;
  Socket listener_;
  std::atomic<bool> running_{true};
  std::thread acceptor_;
  std::list<std::thread> threads_;
};

// --- The platform ---

/// Starts the programs as the deploy file says, with the settings that the platform fills in.
class Platform {
 public:
  static constexpr int kControls = 3;

  Platform(Record& record, std::string root, std::string folder, int routers)
      : record_(record), root_(std::move(root)), folder_(std::move(folder)), routers_(routers) {
    std::vector<std::string> ips{"127.0.0.1"};
    for (int control = 0; control < kControls; ++control) ips.push_back(ControlIp(control));
    for (int router = 0; router < routers; ++router) ips.push_back(RouterIp(router));
    ports_ = FreePorts(ips, 4 + kControls + routers);
  }
  ~Platform() {
    for (const auto& [name, child] : children_) {
      ::kill(child, SIGKILL);
      ::waitpid(child, nullptr, 0);
    }
  }

  static std::string ControlIp(int control) { return "127.91.1." + std::to_string(control + 1); }
  static std::string RouterIp(int router) { return "127.91.2." + std::to_string(router + 1); }
  static std::string Zone(int machine) { return "zone-" + std::to_string(machine % 3); }
  Address Control(int control) const { return {ControlIp(control), ports_[0]}; }
  Address Router(int router) const { return {RouterIp(router), ports_[1]}; }
  Address Ready(int router) const { return {RouterIp(router), ports_[2]}; }

  void StartControl(int control, bool first) {
    std::string seeds;
    for (int seed = 0; seed < kControls; ++seed)
      seeds += (seed == 0 ? "\"" : ",\"") + Control(seed).Text() + "\"";
    const std::string ip = ControlIp(control);
    const std::string local = std::to_string(ports_[4 + static_cast<std::size_t>(control)]);
    Start("control-" + std::to_string(control + 1), "target/bin/graniteseam-platform-control",
          "zone = \"" + Zone(control) + "\"\ndata_folder = \"" + DataFolder(control) +
              "\"\npeer_address = \"" + ip + ":" + std::to_string(ports_[3]) +
              "\"\nhttp_address = \"127.0.0.1:" + local + "\"\nregistry_address = \"" +
              Control(control).Text() + "\"\nmetrics_address = \"" + ip + ":9464\"\nseeds = [" +
              seeds + "]\nseed_port = " + std::to_string(ports_[3]) +
              "\ninitialise = " + (first ? "true" : "false") +
              "\nself_repair = true\nlosses_tolerated = 1\ndescriptors_maximum = 4096\n"
              "trusted_network = true\nheartbeat_interval_ms = 100\n"
              "election_timeout_minimum_ms = 340\nelection_timeout_maximum_ms = 600\n"
              "leader_lease_ms = 280\nclock_drift_bound = 0.02\nrange_renewal_ms = 1500\n"
              "log_level = \"warning\"\n");
  }

  void StartRouter(int router) {
    std::string controls;
    for (int seed = 0; seed < kControls; ++seed)
      controls += (seed == 0 ? "\"" : ",\"") + Control(seed).Text() + "\"";
    const std::string ip = RouterIp(router);
    const std::size_t own = 4 + kControls + static_cast<std::size_t>(router);
    Start("router-" + std::to_string(router + 1), "target/bin/graniteseam-platform-router",
          "id = \"front-" + std::to_string(router + 1) + "\"\nzone = \"" + Zone(router) +
              "\"\ncaller_address = \"" + Router(router).Text() + "\"\nstatus_address = \"" +
              Ready(router).Text() + "\"\nmetrics_address = \"" + ip + ":9464\"\ncontrol = [" +
              controls + "]\ncontrol_port = " + std::to_string(ports_[3]) +
              "\ncoordination_address = \"" + ip + ":" + std::to_string(ports_[own]) +
              "\"\nmachine_weight = 0.2\nlink_mbps = 1000.0\ntrusted_network = true\n"
              "retry_budget_ratio = 0.2\nretry_budget_extra = 62\n"
              "retry_budget_window_ms = 10000\nstop_limit_ms = 6000\nlog_level = \"warning\"\n");
  }

  void StartAll() {
    for (int control = 0; control < kControls; ++control) StartControl(control, true);
    for (int router = 0; router < routers_; ++router) StartRouter(router);
  }

  void Signal(const std::string& name, int signal) {
    record_.Line("platform: signal %d to %s", signal, name.c_str());
    ::kill(children_.at(name), signal);
  }
  /// Waits for its end.
  void Reap(const std::string& name) {
    ::waitpid(children_.at(name), nullptr, 0);
    children_.erase(name);
  }
  pid_t Pid(const std::string& name) const { return children_.at(name); }
  bool Runs(const std::string& name) {
    const auto child = children_.find(name);
    return child != children_.end() && ::waitpid(child->second, nullptr, WNOHANG) == 0;
  }
  std::string DataFolder(int control) const {
    return folder_ + "/data-" + std::to_string(control + 1);
  }

  bool AwaitReady(double limit) const {
    const double end = Now() + limit;
    for (int router = 0; router < routers_; ++router) {
      while (Call(Ready(router), "GET", "/ready", {}, "", 1).Status() != 200) {
        if (Now() > end) return false;
        SleepFor(0.1);
      }
    }
    return true;
  }

 private:
  void Start(const std::string& name, const char* program, const std::string& settings) {
    const std::string path = folder_ + "/" + name + ".toml";
    std::FILE* const file = std::fopen(path.c_str(), "w");
    if (file == nullptr) std::exit(2);
    std::fputs(settings.c_str(), file);
    std::fclose(file);
    const pid_t child = ::fork();
    if (child == 0) {
      // It ends with the stand-in, whatever ends that one.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::chdir(root_.c_str()) != 0) _exit(127);
      const std::string log = folder_ + "/" + name + ".log";
      const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(output, STDOUT_FILENO);
      ::dup2(output, STDERR_FILENO);
      const std::string node_file = "GRANITESEAM_NODE_FILE=" + path;
      char* const arguments[] = {const_cast<char*>(program), nullptr};
      char* const variables[] = {const_cast<char*>(node_file.c_str()), nullptr};
      ::execve(program, arguments, variables);
      _exit(127);
    }
    children_[name] = child;
    record_.Line("platform: started %s", name.c_str());
  }

  Record& record_;
  const std::string root_;
  const std::string folder_;
  const int routers_;
  std::vector<std::uint16_t> ports_;
  std::map<std::string, pid_t> children_;
};

/// Sends calls to one control process after the other until there is a clear answer, first to the
/// one that gave the last one.
class Operator {
 public:
  Operator(Record& record, const Platform& platform) : record_(record), platform_(platform) {}

  Message Change(const std::string& method, const std::string& base, const std::string& body,
                 double limit) {
    const double end = Now() + limit;
    while (Now() < end) {
      const Message answer = CallControl(
          platform_.Control(turn_), method, "/v1/traffic/configuration",
          {{"If-Match", base}, {"Content-Type", "application/json"}}, body, 1.0, &leader_);
      const int status = answer.whole ? answer.Status() : 0;
      record_.Line("operator: %s If-Match %s answered %d", method.c_str(), base.c_str(), status);
      for (int control = 0; control < Platform::kControls; ++control) {
        if (platform_.Control(control).Text() == leader_) turn_ = control;
      }
      if (status > 0 && status < 500 && status != 408 && status != 429) return answer;
      turn_ = (turn_ + 1) % Platform::kControls;
      SleepFor(0.2);
    }
    return {};
  }

 private:
  Record& record_;
  const Platform& platform_;
  int turn_ = 0;
  std::string leader_;
};

}  // namespace review
