// What the cases share: the project's own programs as processes on loopback addresses, a record of
// what happens, and small stand-ins (an HTTP client, an HTTP server, a worker that holds keys by
// orders) which follow the users' pages.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "testbed/registered/template.h"

namespace review {

using nlohmann::json;

// --- Time and record ---

inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void Sleep(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void SleepUntil(double at) { Sleep(at - Now()); }

class Log {
 public:
  static Log& Get() {
    static Log log;
    return log;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    char text[4096];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    for (std::FILE* file : {file_, stdout}) {
      if (file == nullptr) continue;
      std::fprintf(file, "%8.3f %s\n", Now(), text);
      std::fflush(file);
    }
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
#define NOTE(...) ::review::Log::Get().Line(__VA_ARGS__)

// --- HTTP ---

struct Message {
  std::string method, target;  // Of a request.
  int status = 0;              // Of an answer; 0: there was none.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  const std::string* Field(const std::string& name) const {
    for (const auto& [key, value] : fields)
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return &value;
    return nullptr;
  }
};

inline sockaddr_in AddressOf(const std::string& text) {
  const auto colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  return address;
}

inline int Connect(const std::string& to, double limit) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = AddressOf(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    pollfd one{fd, POLLOUT, 0};
    int error = errno;
    socklen_t size = sizeof(error);
    if (error == EINPROGRESS && poll(&one, 1, static_cast<int>(limit * 1000)) == 1)
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      close(fd);
      return -1;
    }
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes, double limit = 1) {
  std::size_t at = 0;
  const double end = Now() + limit;
  while (at < bytes.size()) {
    const ssize_t sent = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (sent > 0) {
      at += static_cast<std::size_t>(sent);
      continue;
    }
    pollfd one{fd, POLLOUT, 0};
    const double left = end - Now();
    if (errno != EAGAIN || left <= 0 || poll(&one, 1, static_cast<int>(left * 1000)) != 1)
      return false;
  }
  return true;
}

// Reads one message that has a length, or none; `buffer` keeps what comes behind it.
inline std::optional<Message> ReadMessage(int fd, std::string& buffer, bool request, double end) {
  const auto more = [&]() -> bool {
    const double left = end - Now();
    pollfd one{fd, POLLIN, 0};
    if (left <= 0 || poll(&one, 1, static_cast<int>(left * 1000) + 1) != 1) return false;
    char bytes[65536];
    const ssize_t got = recv(fd, bytes, sizeof(bytes), 0);
    if (got <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(got));
    return true;
  };
  std::size_t head_end = 0;
  while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!more()) return std::nullopt;
  Message message;
  std::istringstream head(buffer.substr(0, head_end));
  std::string line;
  std::getline(head, line);
  std::istringstream first(line);
  std::string word;
  if (request) {
    first >> message.method >> message.target;
  } else {
    first >> word >> message.status;
  }
  std::size_t length = 0;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    message.fields.emplace_back(line.substr(0, colon), value);
    if (strcasecmp(line.substr(0, colon).c_str(), "Content-Length") == 0)
      length = std::stoul(value);
  }
  buffer.erase(0, head_end + 4);
  while (buffer.size() < length)
    if (!more()) return std::nullopt;
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return message;
}

inline std::string TextOf(const Message& message, bool request) {
  std::string text = request ? message.method + " " + message.target + " HTTP/1.1\r\n"
                             : "HTTP/1.1 " + std::to_string(message.status) + " X\r\n";
  for (const auto& [name, value] : message.fields) text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n";
  return text + message.body;
}

// One request over a connection of its own. Status 0: no answer.
inline Message Call(const std::string& to, Message request, double limit = 1) {
  request.fields.insert(request.fields.begin(), {"Host", to});
  for (std::size_t i = 1; i < request.fields.size(); ++i)
    if (request.fields[i].first == "Host") {
      request.fields.erase(request.fields.begin());
      break;
    }
  const double end = Now() + limit;
  const int fd = Connect(to, limit);
  if (fd < 0) return {};
  std::string buffer;
  std::optional<Message> answer;
  if (SendAll(fd, TextOf(request, true))) answer = ReadMessage(fd, buffer, false, end);
  close(fd);
  return answer.value_or(Message{});
}

// As a caller of control: follows two redirects, and goes to the next one after a failure.
inline Message CallControl(const std::vector<std::string>& controls, const Message& request,
                           double patience, std::size_t first = 0) {
  const double end = Now() + patience;
  Message answer;
  for (std::size_t turn = first; Now() < end; ++turn) {
    std::string to = controls[turn % controls.size()];
    for (int hop = 0; hop < 3; ++hop) {
      answer = Call(to, request);
      const std::string* place = answer.Field("Location");
      if (answer.status != 307 || place == nullptr) break;
      to = place->substr(7, place->find('/', 7) - 7);
    }
    if (answer.status != 0 && answer.status < 500 && answer.status != 307 && answer.status != 408 &&
        answer.status != 429)
      return answer;
    Sleep(0.15);
  }
  return answer;
}

// One thread a connection; requests of a connection run one after the other.
class Server {
 public:
  using Handler = std::function<Message(const Message& request)>;
  Server(const std::string& address, Handler handler) : handler_(std::move(handler)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in at = AddressOf(address);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(listener_, 64) != 0) {
      NOTE("cannot listen at %s", address.c_str());
      std::exit(2);
    }
    accepting_ = std::thread([this] { Accept(); });
  }
  ~Server() { Stop(); }
  // As a process that is killed: its listener and connections close.
  void Stop() {
    if (stopped_.exchange(true)) return;
    shutdown(listener_, SHUT_RDWR);
    accepting_.join();
    close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : open_) shutdown(fd, SHUT_RDWR);
    }
    for (std::thread& thread : threads_) thread.join();
  }

 private:
  void Accept() {
    while (!stopped_) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (stopped_) return;
        Sleep(0.01);
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard lock(mutex_);
      open_.insert(fd);
      threads_.emplace_back([this, fd] { Serve(fd); });
    }
  }
  void Serve(int fd) {
    std::string buffer;
    while (!stopped_) {
      const auto request = ReadMessage(fd, buffer, true, Now() + 30);
      if (!request) break;
      const Message answer = handler_(*request);
      if (stopped_ || !SendAll(fd, TextOf(answer, false))) break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    close(fd);
  }

  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopped_{false};
  std::thread accepting_;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
};

// --- The project's programs ---

class Fleet {
 public:
  Fleet(int controls, int routers) : controls_(controls), routers_(routers) {
    char folder[] = "/tmp/graniteseam-review-XXXXXX";
    folder_ = mkdtemp(folder);
    net_ = 20 + static_cast<int>(getpid() % 200);
    for (int i = 0; i < 6; ++i) ports_.push_back(FreePort(Ip(1)));
    // The port for control's own operators is opened at 127.0.0.1, whatever the machine.
    for (int i = 0; i < controls_; ++i) local_ports_.push_back(FreePort("127.0.0.1"));
  }
  ~Fleet() {
    for (auto& [machine, pid] : pids_) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder_, ignored);
  }

  // Machines 1 to controls are core machines, those behind are routers; workers may use the rest.
  std::string Ip(int machine) const {
    return "127.0." + std::to_string(net_) + "." + std::to_string(machine);
  }
  std::string Control(int machine) const { return Ip(machine) + ":" + std::to_string(ports_[0]); }
  std::string Front(int router) const {
    return Ip(controls_ + router) + ":" + std::to_string(ports_[1]);
  }
  std::string Ready(int router) const {
    return Ip(controls_ + router) + ":" + std::to_string(ports_[2]);
  }
  std::string WorkerAddress(int number) const {
    return Ip(50 + number) + ":" + std::to_string(ports_[3]);
  }
  std::vector<std::string> Controls() const {
    std::vector<std::string> all;
    for (int i = 1; i <= controls_; ++i) all.push_back(Control(i));
    return all;
  }
  const std::string& folder() const { return folder_; }
  pid_t pid(int machine) const { return pids_.at(machine); }
  std::string Zone(int machine) const { return std::string("ist-") + "abc"[machine % 3]; }

  void StartAll(bool first = true) {
    for (int i = 1; i <= controls_ + routers_; ++i) Start(i, first);
  }
  void Start(int machine, bool first) {
    const bool control = machine <= controls_;
    const std::string name = control ? "control" : "router";
    json fields = {
        {"nodeName", name + "-" + std::to_string(machine)},
        {"ip", Ip(machine)},
        {"zone", Zone(machine)},
        {"portRange", {ports_[4], control ? local_ports_[machine - 1] : ports_[5]}},
        {"seeds", json::array()},
        {"bootstrap", first},
        {"limits",
         {{"maxFds", 4096},
          {"memoryMb", 256},
          {"cpuShare", control ? 0.3 : 0.2},
          {"linkMbps", 1000.0}}},
        {"faultTolerance", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
        {"dataDir", control ? json(folder_ + "/data-" + std::to_string(machine)) : json()},
        {"listen",
         {{"control", Control(machine)},
          {"front", Ip(machine) + ":" + std::to_string(ports_[1])},
          {"ready", Ip(machine) + ":" + std::to_string(ports_[2])}}},
        {"bounds",
         {{"retryBudgetRatio", 0.2},
          {"budgetExtra", 62},
          {"budgetWindow", 10},
          {"grace", 6},
          {"catchUp", 4}}}};
    for (int i = 1; i <= std::min(controls_, 3); ++i) fields["seeds"].push_back(Control(i));
    std::ifstream source("platform/" + name + ".toml.template");
    std::stringstream text;
    text << source.rdbuf();
    const std::string settings = folder_ + "/" + std::to_string(machine) + ".toml";
    std::ofstream(settings) << graniteseam::testbed::FillTemplate(text.str(), fields.dump());
    const std::string program = "target/bin/graniteseam-platform-" + name;
    const std::string log = folder_ + "/" + std::to_string(machine) + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      // Also where this program is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      close_range(3, ~0U, 0);
      setenv("GRANITESEAM_NODE_FILE", settings.c_str(), 1);
      execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    pids_[machine] = pid;
    NOTE("start %s (machine %d) at %s", program.c_str(), machine, Ip(machine).c_str());
  }
  void Signal(int machine, int signal) {
    NOTE("signal %d to machine %d", signal, machine);
    kill(pids_.at(machine), signal);
  }
  // SIGKILL, and waits for its end.
  void Kill(int machine) {
    Signal(machine, SIGKILL);
    waitpid(pids_.at(machine), nullptr, 0);
    pids_.erase(machine);
  }
  bool Runs(int machine) {
    const auto found = pids_.find(machine);
    if (found == pids_.end()) return false;
    int status = 0;
    if (waitpid(found->second, &status, WNOHANG) == 0) return true;
    NOTE("machine %d ended by itself, status %d", machine, status);
    pids_.erase(found);
    return false;
  }
  bool AwaitReady(double patience) {
    const double end = Now() + patience;
    for (int router = 1; router <= routers_;) {
      Message ask;
      ask.method = "GET";
      ask.target = "/ready";
      if (Call(Ready(router), ask, 0.5).status == 200) {
        ++router;
      } else if (Now() > end) {
        return false;
      } else {
        Sleep(0.1);
      }
    }
    return true;
  }

 private:
  int FreePort(const std::string& ip) const {
    for (;;) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in at = AddressOf(ip + ":0");
      bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at));
      socklen_t size = sizeof(at);
      getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
      close(fd);
      const int port = ntohs(at.sin_port);
      const auto taken = [port](const std::vector<int>& ports) {
        return std::find(ports.begin(), ports.end(), port) != ports.end();
      };
      if (!taken(ports_) && !taken(local_ports_)) return port;
    }
  }

  const int controls_, routers_;
  int net_ = 0;
  std::string folder_;
  std::vector<int> ports_, local_ports_;
  std::map<int, pid_t> pids_;
};

// --- Operator ---

struct RouteText {
  std::string name, host, prefix, kind, service;
  int timeout_ms = 2000, target_ms = 500, attempts = 2;
};
struct ServiceText {
  std::string name;
  bool keyed = false;
};

inline json RouteJson(const RouteText& route) {
  return {{"name", route.name},
          {"host", route.host},
          {"path_prefix", route.prefix},
          {"kind", route.kind},
          {"timeout_ms", route.timeout_ms},
          {"target_latency_ms", route.target_ms},
          {"priority", 1},
          {"attempts_maximum", route.attempts},
          {"service", route.service}};
}

inline json ConfigurationJson(int version, const std::vector<RouteText>& routes,
                              const std::vector<ServiceText>& services) {
  json text = {{"version", version}, {"routes", json::array()}, {"services", json::array()}};
  for (const RouteText& route : routes) text["routes"].push_back(RouteJson(route));
  for (const ServiceText& service : services) {
    json one = {{"name", service.name}, {"health_path", "/health"}, {"connections_maximum", 130}};
    if (service.keyed) one["keyed"] = true;
    if (service.keyed) one["grants"] = "orders";
    text["services"].push_back(one);
  }
  text["limits"] = {{"header_bytes_maximum", 16384},
                    {"body_bytes_maximum", 67108864},
                    {"header_timeout_ms", 3000},
                    {"idle_timeout_ms", 15000}};
  return text;
}

inline Message ConfigurationCall(const std::string& method, int base, const std::string& body) {
  Message call;
  call.method = method;
  call.target = "/v1/traffic/configuration";
  if (method != "GET") call.fields.emplace_back("If-Match", std::to_string(base));
  if (method != "GET") call.fields.emplace_back("Content-Type", "application/json");
  call.body = body;
  return call;
}

// --- Worker ---

// A worker by PROTOCOL.md: keys by /grant and /release, 421 for what is not its own, heartbeats.
class Worker {
 public:
  static constexpr std::uint32_t kKeys = 65536;
  struct Run {
    std::string attempt, method, target, body;
    double at = 0;
  };

  Worker(std::string id, std::string service, std::string zone, std::string address,
         std::vector<std::string> controls, bool keyed, double work_s = 0.02)
      : id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        address_(std::move(address)),
        controls_(std::move(controls)),
        keyed_(keyed),
        work_s_(work_s),
        seen_(kKeys, 0),
        held_(kKeys, 0),
        until_(kKeys, 0) {
    server_ = std::make_unique<Server>(address_, [this](const Message& m) { return Serve(m); });
  }
  ~Worker() { Crash(); }

  void BeginHeartbeats(double interval = 1.3) {
    beating_ = std::thread([this, interval] { Beat(interval); });
  }
  void Crash() {
    if (stopped_.exchange(true)) return;
    if (beating_.joinable()) beating_.join();
    server_->Stop();
    NOTE("worker %s has ended", id_.c_str());
  }

  // The call of a heartbeat, with the next number.
  Message HeartbeatCall() {
    Message call;
    call.method = "POST";
    call.target = "/v1/instances/" + id_ + "/heartbeat";
    call.fields.emplace_back("Content-Type", "application/json");
    call.body = json{{"service", service_}, {"address", address_},  {"zone", zone_},
                     {"version", "v1"},     {"slots", 2},           {"state", state_},
                     {"warmup_left_ms", 0}, {"sequence", ++number_}}
                    .dump();
    return call;
  }
  bool Holds(std::uint32_t key, double now) const { return held_[key] != 0 && until_[key] > now; }
  std::uint64_t fence(std::uint32_t key) const { return held_[key]; }
  std::size_t HeldCount() const {
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    const double now = Now();
    for (std::uint32_t key = 0; key < kKeys; ++key) count += Holds(key, now) ? 1 : 0;
    return count;
  }
  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }
  std::mutex& mutex() const { return mutex_; }
  std::vector<Run> runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }
  bool acknowledged() const { return acknowledged_; }

 private:
  void Beat(double interval) {
    std::size_t turn = 0;
    std::string next;
    while (!stopped_) {
      const Message call = HeartbeatCall();
      Message answer;
      for (std::size_t tries = 0; tries < controls_.size() + 1 && !stopped_; ++tries) {
        std::string to = next.empty() ? controls_[turn++ % controls_.size()] : next;
        for (int hop = 0; hop < 3; ++hop) {
          answer = Call(to, call);
          const std::string* place = answer.Field("Location");
          if (answer.status != 307 || place == nullptr) break;
          to = place->substr(7, place->find('/', 7) - 7);
        }
        if (answer.status / 100 == 2) break;
        next.clear();
      }
      if (answer.status / 100 == 2) {
        if (!acknowledged_.exchange(true)) NOTE("worker %s is registered", id_.c_str());
        const json body = json::parse(answer.body, nullptr, false);
        if (body.is_object() && body.contains("next_address")) next = body["next_address"];
      }
      for (double end = Now() + interval; Now() < end && !stopped_;) Sleep(0.02);
    }
  }

  Message Serve(const Message& request) {
    Message answer;
    answer.status = 200;
    const std::string* attempt = request.Field("Graniteseam-Attempt-Id");
    if (attempt != nullptr) answer.fields.emplace_back("Graniteseam-Attempt-Id", *attempt);
    const std::string* target = request.Field("Graniteseam-Target-Instance");
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/health") {
      answer.fields.emplace_back("Graniteseam-Instance-Id", id_);
      answer.fields.emplace_back("Graniteseam-Server-Load", "0,0,2");
      return answer;
    }
    if (target != nullptr && *target != id_) return NotRun(answer);
    if (path == "/grant" || path == "/release") return Order(path == "/grant", request, answer);
    const std::string* key = request.Field("Graniteseam-Shard-Key");
    {
      const std::lock_guard lock(mutex_);
      if (keyed_ && (key == nullptr || !Holds(std::stoul(*key), Now()))) return NotRun(answer);
      runs_.push_back({attempt == nullptr ? "" : *attempt, request.method, request.target,
                       request.body, Now()});
    }
    Sleep(work_s_);
    answer.fields.emplace_back("Graniteseam-Server-Seal", "seal-" + id_);
    answer.fields.emplace_back("Graniteseam-Server-Load", "1,0,2");
    answer.body = service_ + " " + id_;
    // A path like /d/bytes-400000 asks for an answer of that size.
    const auto size = path.find("bytes-");
    if (size != std::string::npos) answer.body.resize(std::stoul(path.substr(size + 6)), '.');
    return answer;
  }
  static Message NotRun(Message answer) {
    answer.status = 421;
    answer.fields.emplace_back("Graniteseam-Not-Executed", "1");
    return answer;
  }
  Message Order(bool grant, const Message& request, Message answer) {
    const json order = json::parse(request.body, nullptr, false);
    if (!order.is_object()) {
      answer.status = 400;
      return answer;
    }
    const std::uint32_t first = order["from"], last = order["to"];
    const std::uint64_t fence = order["fence"];
    const std::lock_guard lock(mutex_);
    const double now = Now();
    if (grant) {
      for (std::uint32_t key = first; key <= last; ++key)
        if (seen_[key] > fence) answer.status = 409;
      const double until = now + order["hold_ms"].get<double>() / 1000;
      for (std::uint32_t key = first; key <= last && answer.status == 200; ++key) {
        seen_[key] = held_[key] = fence;
        until_[key] = until;
      }
    } else {
      for (std::uint32_t key = first; key <= last; ++key) {
        seen_[key] = std::max(seen_[key], fence);
        held_[key] = 0;
      }
      answer.fields.emplace_back("Graniteseam-Handover", "5c0e7a21d94b36f8");
    }
    NOTE("worker %s: %s %u to %u, fence %llu -> %d", id_.c_str(), grant ? "grant" : "release",
         first, last, static_cast<unsigned long long>(fence), answer.status);
    return answer;
  }

  const std::string id_, service_, zone_, address_;
  const std::vector<std::string> controls_;
  const bool keyed_;
  const double work_s_;
  std::string state_ = "ready";
  std::atomic<int> number_{0};
  std::atomic<bool> stopped_{false}, acknowledged_{false};
  mutable std::mutex mutex_;
  std::vector<std::uint64_t> seen_, held_;
  std::vector<double> until_;
  std::vector<Run> runs_;
  std::unique_ptr<Server> server_;
  std::thread beating_;
};

// Watches for keys that two workers which are up hold at once; the rule allows half a second.
class HoldWatch {
 public:
  void Add(const std::shared_ptr<Worker>& worker) {
    const std::lock_guard lock(mutex_);
    workers_.push_back(worker);
  }
  void Begin() {
    thread_ = std::thread([this] {
      while (!stopped_) {
        Look();
        Sleep(0.025);
      }
    });
  }
  void End() {
    stopped_ = true;
    if (thread_.joinable()) thread_.join();
  }
  ~HoldWatch() { End(); }
  double longest() const { return longest_; }
  std::size_t keys() const { return over_.size(); }

 private:
  void Look() {
    const std::lock_guard lock(mutex_);
    std::vector<std::unique_lock<std::mutex>> locks;
    for (const auto& worker : workers_) locks.emplace_back(worker->mutex());
    const double now = Now();
    for (std::uint32_t key = 0; key < Worker::kKeys; ++key) {
      const Worker* first = nullptr;
      const Worker* second = nullptr;
      for (const auto& worker : workers_) {
        if (!worker->Holds(key, now)) continue;
        (first == nullptr ? first : second) = worker.get();
      }
      if (second == nullptr) {
        since_[key] = 0;
        continue;
      }
      if (since_[key] == 0) since_[key] = now;
      const double length = now - since_[key];
      if (length > 0.5 && over_.insert(key).second && over_.size() <= 3) {
        NOTE("key %u is held by %s under fence %llu and by %s under fence %llu for %.3f s so far",
             key, first->id().c_str(), static_cast<unsigned long long>(first->fence(key)),
             second->id().c_str(), static_cast<unsigned long long>(second->fence(key)), length);
      }
      longest_ = std::max(longest_, length);
    }
  }

  std::mutex mutex_;
  std::vector<std::shared_ptr<Worker>> workers_;
  std::array<double, Worker::kKeys> since_{};
  std::set<std::uint32_t> over_;
  double longest_ = 0;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

inline bool Trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
