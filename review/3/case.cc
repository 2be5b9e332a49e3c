// One client sends a body of 67,000,000 bytes in chunks, within the limits of the configuration.
// The platform kills a router that grows over the memory of its machine.
//
// Usage: case ROOT FOLDER RECORD. Ends with 1 if the rule was broken, 0 if it held, 2 if the case
// could not run.
#include "review/standins/worker.h"

namespace {

using namespace review;

constexpr int kRouters = 2;
constexpr int kWorkers = 7;
constexpr int kClientsPerRouter = 6;
constexpr double kWork = 0.3;
/// memoryMb of a front machine.
constexpr long kMemoryKib = 260L * 1024;
constexpr std::size_t kBodyMaximum = 67'108'864;
constexpr std::size_t kLargeBody = 67'000'000;
constexpr std::size_t kUsualBody = 1'200;
constexpr std::size_t kChunk = std::size_t{64} << 10;
/// linkMbps of the machine, 1000 Mbit/s.
constexpr double kLinkBytesPerSecond = 125e6;
constexpr int kLostAllowed = 3;

static_assert(kLargeBody <= kBodyMaximum);

const char* const kConfiguration =
    R"({"version":1,"routes":[{"name":"confirm","host":"a.example","path_prefix":"/confirm/",)"
    R"("kind":"unsafe","timeout_ms":800,"target_latency_ms":250,"priority":1,"service":"billing",)"
    R"("attempts_maximum":2}],"services":[{"name":"billing","health_path":"/health",)"
    R"("connections_maximum":130,"protocol":"h1","tls":false}],)"
    R"("limits":{"header_bytes_maximum":16384,"body_bytes_maximum":67108864,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

Fields RequestFields(const std::string& id) {
  return {
      {"Host", "a.example"}, {"Graniteseam-Attempt-Id", id}, {"Graniteseam-Deadline-Ms", "1500"}};
}

/// Clients that keep their connections.
class Clients {
 public:
  Clients(Record& record, const Platform& platform) : record_(record), platform_(platform) {
    for (int client = 0; client < kRouters * kClientsPerRouter; ++client)
      threads_.emplace_back([this, client] { Run(client); });
  }
  ~Clients() { Stop(); }

  void Stop() {
    running_ = false;
    for (auto& thread : threads_) thread.join();
    threads_.clear();
  }
  int served() const { return served_; }
  /// Requests sent on connections that had served others, and that ended without an answer.
  std::vector<std::string> Unanswered() {
    const std::lock_guard lock(mutex_);
    return unanswered_;
  }

 private:
  void Run(int client) {
    const std::string body(kUsualBody, 'b');
    for (int number = 0, life = 0; running_; ++life) {
      const Address router = platform_.Router((client + life) % kRouters);
      const Socket socket = Connect(router, 1.0);
      if (!socket.open()) {
        SleepFor(0.2);
        continue;
      }
      Reader reader(socket);
      for (int served_here = 0; running_; ++number) {
        const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
        record_.Line("client: sends %s to %s", id.c_str(), router.Text().c_str());
        socket.Send(RequestText("POST", "/confirm/" + id, RequestFields(id), body));
        const Message answer = reader.Next(2.0, true);
        record_.Line("client: %s answered %d", id.c_str(), answer.whole ? answer.Status() : 0);
        if (!answer.whole) {
          const bool closed = reader.ended() || reader.failed();
          record_.Line("client: %s got no answer, %s", id.c_str(),
                       closed ? "the connection was closed" : "the connection is silent");
          const std::lock_guard lock(mutex_);
          if (closed && served_here > 0) unanswered_.push_back(id);
          ++number;
          break;
        }
        ++served_here;
        if (answer.Status() == 200) ++served_;
        const bool closes = answer.Value("Connection") == "close";
        if (answer.Status() != 200) SleepFor(0.2);
        if (closes) {
          ++number;
          break;
        }
      }
    }
  }

  Record& record_;
  const Platform& platform_;
  std::atomic<bool> running_{true};
  std::atomic<int> served_{0};
  std::mutex mutex_;
  std::vector<std::string> unanswered_;
  std::vector<std::thread> threads_;
};

/// The platform's eye on memory: a process over its machine's memory is killed.
class MemoryWatch {
 public:
  MemoryWatch(Record& record, Platform& platform, std::string name)
      : record_(record), name_(std::move(name)), pid_(platform.Pid(name_)) {
    thread_ = std::thread([this] { Run(); });
  }
  ~MemoryWatch() {
    running_ = false;
    thread_.join();
  }
  bool killed() const { return killed_; }
  long peak() const { return peak_; }

 private:
  void Run() {
    const std::string path = "/proc/" + std::to_string(pid_) + "/status";
    while (running_ && !killed_) {
      if (std::FILE* const file = std::fopen(path.c_str(), "r")) {
        char line[256];
        while (std::fgets(line, sizeof(line), file) != nullptr) {
          long kib = 0;
          if (std::sscanf(line, "VmHWM: %ld kB", &kib) == 1) peak_ = kib;
        }
        std::fclose(file);
      }
      if (peak_ > kMemoryKib) {
        record_.Line("platform: %s holds %ld KiB, more than the %ld of its machine: killed",
                     name_.c_str(), peak_.load(), kMemoryKib);
        ::kill(pid_, SIGKILL);
        killed_ = true;
      }
      SleepFor(0.002);
    }
  }

  Record& record_;
  const std::string name_;
  const pid_t pid_;
  std::atomic<bool> running_{true};
  std::atomic<bool> killed_{false};
  std::atomic<long> peak_{0};
  std::thread thread_;
};

/// Sends one request whose body comes in chunks, at most as fast as the machine's link.
void Upload(Record& record, const Address& router, std::size_t size) {
  const std::string id = "upload";
  record.Line("client: sends %s to %s, a body of %zu bytes in chunks", id.c_str(),
              router.Text().c_str(), size);
  const Socket socket = Connect(router, 1.0);
  std::string head = "POST /confirm/upload HTTP/1.1\r\n";
  for (const auto& [name, value] : RequestFields(id)) head += name + ": " + value + "\r\n";
  bool sent = socket.Send(head + "Transfer-Encoding: chunked\r\n\r\n");
  const double start = Now();
  for (std::size_t done = 0; sent && done < size;) {
    const std::string part(std::min(kChunk, size - done), 'u');
    char length[32];
    std::snprintf(length, sizeof(length), "%zx\r\n", part.size());
    sent = socket.Send(length + part + "\r\n");
    done += part.size();
    SleepFor(start + static_cast<double>(done) / kLinkBytesPerSecond - Now());
  }
  sent = sent && socket.Send("0\r\n\r\n");
  record.Line("client: %s is sent %s", id.c_str(), sent ? "whole" : "in part");
  const Message answer = Reader(socket).Next(2.0, true);
  record.Line("client: %s answered %d", id.c_str(), answer.whole ? answer.Status() : 0);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  Record record(argv[3]);
  Platform platform(record, argv[1], argv[2], kRouters);
  platform.StartAll();
  SleepFor(1.0);
  const Message accepted = Operator(record, platform).Change("PUT", "0", kConfiguration, 20);
  if (accepted.Status() != 200) return 2;

  std::vector<std::string> ips;
  for (int number = 0; number < kWorkers; ++number)
    ips.push_back("127.91.3." + std::to_string(number + 1));
  const auto port = FreePorts(ips, 1).front();
  std::vector<std::unique_ptr<Worker>> workers;
  for (int number = 0; number < kWorkers; ++number) {
    WorkerOptions options;
    options.id = "w-" + std::to_string(number + 1);
    options.service = "billing";
    options.zone = Platform::Zone(number);
    options.address = {ips[static_cast<std::size_t>(number)], port};
    options.work = kWork;
    for (int control = 0; control < Platform::kControls; ++control)
      options.controls.push_back(platform.Control(control));
    workers.push_back(
        std::make_unique<Worker>(record, std::move(options), [](Worker&, const Span&) {}));
  }
  if (!platform.AwaitReady(20)) return 2;

  MemoryWatch watch(record, platform, "router-1");
  Clients clients(record, platform);
  // Longer than `contact`: nothing happens to the machines.
  SleepFor(8);
  if (clients.served() < 50) return 2;
  Upload(record, platform.Router(0), Troubled() ? kLargeBody : kUsualBody);
  SleepFor(4);
  clients.Stop();
  int lost = 0;
  for (const std::string& id : clients.Unanswered()) {
    const bool passed_on = std::any_of(workers.begin(), workers.end(),
                                       [&](const auto& worker) { return worker->Began(id); });
    if (!passed_on) continue;
    ++lost;
    record.Line(
        "LOST: %s came on a kept connection and was passed on to a sound worker; its "
        "connection ended without an answer",
        id.c_str());
  }
  if (lost > kLostAllowed)
    record.Line("BROKEN: %d requests were lost so, more than %d", lost, kLostAllowed);
  record.Line("end: router-1 held %ld KiB at most, killed: %d, lost: %d", watch.peak(),
              watch.killed() ? 1 : 0, lost);
  return lost > kLostAllowed ? 1 : 0;
}
