// A worker is partitioned from control while requests still reach it. Its lease runs out, it turns
// requests away, and routers keep these without an answer.
//
// Usage: case ROOT FOLDER RECORD. Ends with 1 if the rule was broken, 0 if it held, 2 if the case
// could not run.
#include "review/standins/worker.h"

namespace {

using namespace review;

constexpr int kRouters = 11;
constexpr int kWorkers = 6;
constexpr double kWork = 0.03;
constexpr double kTimeout = 0.8;
/// After the timeout, within which a final answer is due.
constexpr double kAllowance = 0.5;
constexpr double kDeadline = 2.5;
constexpr double kCut = 10;
/// Requests that may lack an answer, if they are a quarter at most of those past their timeout.
constexpr int kAllowed = 7;

const char* const kConfiguration =
    R"({"version":1,"routes":[{"name":"fetch","host":"a.example","path_prefix":"/fetch/",)"
    R"("kind":"safe","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"texts",)"
    R"("attempts_maximum":2}],"services":[{"name":"texts","health_path":"/health",)"
    R"("connections_maximum":130,"protocol":"h1","tls":false,"keyed":true,"grants":"orders"}],)"
    R"("limits":{"header_bytes_maximum":16384,"body_bytes_maximum":67108864,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// One client a router, which asks for one key, one request after the other.
class Clients {
 public:
  Clients(Record& record, const Platform& platform, std::uint32_t key)
      : record_(record), platform_(platform), key_(key) {
    for (int router = 0; router < kRouters; ++router)
      threads_.emplace_back([this, router] { Run(router); });
  }
  ~Clients() { Stop(); }

  void Stop() {
    running_ = false;
    for (auto& thread : threads_) thread.join();
    threads_.clear();
  }
  int served() const { return served_; }
  int past_timeout() const { return past_timeout_; }
  int unanswered() const { return unanswered_; }

 private:
  void Run(int router) {
    for (int number = 0; running_; ++number) {
      const std::string id = "r" + std::to_string(router + 1) + "-" + std::to_string(number);
      record_.Line("client: sends %s to router-%d", id.c_str(), router + 1);
      const double sent = Now();
      const Message answer = Call(platform_.Router(router), "GET", "/fetch/" + id,
                                  {{"Host", "a.example"},
                                   {"Graniteseam-Attempt-Id", id},
                                   {"Graniteseam-Deadline-Ms", "2500"},
                                   {"Graniteseam-Shard-Key", std::to_string(key_)}},
                                  "", kDeadline);
      const double taken = Now() - sent;
      record_.Line("client: %s answered %d after %.0f ms", id.c_str(),
                   answer.whole ? answer.Status() : 0, taken * 1000);
      if (answer.whole && answer.Status() == 200) ++served_;
      if (taken > kTimeout) ++past_timeout_;
      if (taken > kTimeout + kAllowance) ++unanswered_;
      SleepFor(0.3);
    }
  }

  Record& record_;
  const Platform& platform_;
  const std::uint32_t key_;
  std::atomic<bool> running_{true};
  std::atomic<int> served_{0};
  std::atomic<int> past_timeout_{0};
  std::atomic<int> unanswered_{0};
  std::vector<std::thread> threads_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  Record record(argv[3]);
  Platform platform(record, argv[1], argv[2], kRouters);
  platform.StartAll();
  SleepFor(1.0);
  if (Operator(record, platform).Change("PUT", "0", kConfiguration, 20).Status() != 200) return 2;

  std::vector<std::string> ips;
  for (int number = 0; number < kWorkers; ++number)
    ips.push_back("127.91.3." + std::to_string(number + 1));
  const auto port = FreePorts(ips, 1).front();
  std::vector<std::unique_ptr<Worker>> workers;
  for (int number = 0; number < kWorkers; ++number) {
    WorkerOptions options;
    options.id = "w-" + std::to_string(number + 1);
    options.service = "texts";
    options.zone = Platform::Zone(number);
    options.address = {ips[static_cast<std::size_t>(number)], port};
    options.keyed = true;
    options.work = kWork;
    for (int control = 0; control < Platform::kControls; ++control)
      options.controls.push_back(platform.Control(control));
    workers.push_back(
        std::make_unique<Worker>(record, std::move(options), [](Worker&, const Span&) {}));
  }
  const auto keys_held = [&] {
    std::size_t keys = 0;
    for (const auto& worker : workers) keys += worker->HeldKeys();
    return keys;
  };
  for (const double end = Now() + 30; keys_held() < 65'536;) {
    if (Now() > end) return 2;
    SleepFor(0.05);
  }
  if (!platform.AwaitReady(20)) return 2;
  SleepFor(5);

  Worker& partitioned = *workers.front();
  const auto key = partitioned.FirstHeldKey();
  if (!key) return 2;
  Clients clients(record, platform, *key);
  SleepFor(4);
  if (clients.served() < 5 * kRouters || clients.past_timeout() > 0) return 2;
  if (Troubled()) partitioned.Cut(true);
  SleepFor(kCut);
  if (Troubled()) partitioned.Cut(false);
  SleepFor(4);
  clients.Stop();
  const int late = clients.past_timeout();
  const int lacking = clients.unanswered();
  const bool broken = lacking > kAllowed && lacking * 4 > late;
  if (broken)
    record.Line(
        "BROKEN: %d of %d requests past their route's timeout still have no final answer "
        "half a second later",
        lacking, late);
  record.Line(
      "end: %d served, %d past their timeout, %d of these without an answer half a second "
      "later",
      clients.served(), late, lacking);
  return broken ? 1 : 0;
}
