#include "testbed/registered/worker.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "src/runtime/clock.h"

namespace graniteseam::testbed {

namespace {

namespace asio = boost::asio;
using event_http::Exchange;
using event_http::Response;

constexpr Duration kCallLimit{1'000'000};
constexpr int kRedirectsMaximum = 2;

std::optional<std::uint32_t> ReadKey(const event_http::Request& request, const std::string& name) {
  const std::string* text = request.fields.Find(name);
  if (text == nullptr) return std::nullopt;
  return static_cast<std::uint32_t>(std::stoul(*text));
}

}  // namespace

/// Runs on its own event loop; the mutex guards what other threads read.
class Worker::Impl {
 public:
  explicit Impl(WorkerOptions options)
      : options_(std::move(options)), pool_(loop_.context(), {}), beat_timer_(loop_.context()) {
    event_http::ServerOptions server;
    server.address = {"127.0.0.1", 0};
    server_ = std::make_unique<event_http::Server>(
        loop_.context(), server, [this](const auto& exchange) { OnExchange(exchange); });
    const auto started = Attempt([this] { return server_->Start(); });
    if (ErrorOf(started) != nullptr) std::abort();
    address_ = "127.0.0.1:" + std::to_string(server_->port());
    asio::post(loop_.context(), [this] { Beat(); });
  }
  ~Impl() { loop_.Stop(); }

  void Drain() {
    const std::lock_guard lock(mutex_);
    draining_ = true;
  }
  bool drain_acknowledged() const {
    const std::lock_guard lock(mutex_);
    return drain_acknowledged_at_.has_value();
  }
  std::vector<WorkerRun> runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }
  std::size_t arrivals_after_drain(Duration allowance) const {
    const std::lock_guard lock(mutex_);
    if (!drain_acknowledged_at_) return 0;
    return static_cast<std::size_t>(std::count_if(
        arrivals_.begin(), arrivals_.end(),
        [&](Instant arrival) { return arrival > *drain_acknowledged_at_ + allowance; }));
  }

 private:
  void OnExchange(const std::shared_ptr<Exchange>& exchange) {
    const std::lock_guard lock(mutex_);
    const std::string_view path = exchange->request().Path();
    if (path == options_.owner_names.grant_path) {
      Grant(*exchange);
    } else if (path == options_.owner_names.release_path) {
      Release(exchange);
    } else {
      Serve(exchange);
    }
  }

  void Grant(Exchange& exchange) {
    const auto order = nlohmann::json::parse(exchange.request().body);
    const HeldSpan span{
        order["from"], order["to"], order["fence"],
        runtime::BootTimeNow() + std::chrono::milliseconds(order["hold_ms"].get<std::int64_t>())};
    Response response;
    if (SeenFence(span) > span.fence) {
      response.status = 409;
    } else {
      Forget(span);
      held_.push_back(span);
      Note(span);
    }
    exchange.Respond(response);
  }

  void Release(const std::shared_ptr<Exchange>& exchange) {
    const auto order = nlohmann::json::parse(exchange->request().body);
    const HeldSpan span{order["from"], order["to"], order["fence"], {}};
    Forget(span);
    Note(span);
    Response response;
    response.fields.Add(options_.owner_names.handover_header, "handover-of-" + options_.id);
    // Work here is short and ends before the answer is of use to anybody.
    auto timer = std::make_shared<asio::steady_timer>(loop_.context(), 2 * options_.work);
    timer->async_wait([timer, exchange, response](auto) { exchange->Respond(response); });
  }

  void Serve(const std::shared_ptr<Exchange>& exchange) {
    const event_http::Request& request = exchange->request();
    arrivals_.push_back(runtime::BootTimeNow());
    const std::string* id = request.fields.Find(options_.names.attempt_id);
    const std::string* target = request.fields.Find(options_.names.target_instance);
    Response response;
    if (id != nullptr) response.fields.Add(options_.names.attempt_id, *id);
    const auto key = ReadKey(request, options_.names.key);
    const HeldSpan* holder = options_.keyed && key ? HolderOf(*key) : nullptr;
    const bool mistaken = target != nullptr && *target != options_.id;
    if (mistaken || (options_.keyed && holder == nullptr)) {
      response.status = 421;
      response.fields.Add(options_.names.not_executed, "1");
      exchange->Respond(response);
      return;
    }
    WorkerRun run{options_.id,
                  id == nullptr ? "" : *id,
                  key,
                  holder == nullptr ? 0 : holder->fence,
                  runtime::BootTimeNow(),
                  {}};
    auto timer = std::make_shared<asio::steady_timer>(loop_.context(), options_.work);
    timer->async_wait([this, timer, exchange, response, run](auto) mutable {
      run.ended = runtime::BootTimeNow();
      response.fields.Add(options_.names.seal, "seal-of-" + options_.id);
      response.fields.Add(options_.names.load, "0,0,2");
      response.body = options_.id;
      {
        const std::lock_guard lock(mutex_);
        runs_.push_back(run);
      }
      exchange->Respond(response);
    });
  }

  void Beat() {
    nlohmann::json body = {{"service", options_.service},
                           {"address", address_},
                           {"zone", options_.zone},
                           {"version", "v1"},
                           {"slots", 2},
                           {"warmup_left_ms", 0}};
    bool says_draining = false;
    {
      const std::lock_guard lock(mutex_);
      says_draining = draining_;
    }
    body["state"] = says_draining ? "draining" : "ready";
    body["sequence"] = ++sequence_;
    const std::string registry = options_.registries[sequence_ % options_.registries.size()];
    SendBeat(registry, body.dump(), says_draining, 0);
    beat_timer_.expires_after(options_.heartbeat);
    beat_timer_.async_wait([this](auto error) {
      if (!error) Beat();
    });
  }

  void SendBeat(const std::string& registry, const std::string& body, bool says_draining,
                int redirects) {
    event_http::Request request;
    request.method = "POST";
    request.target = "/v1/instances/" + options_.id + "/heartbeat";
    request.fields.Add("Host", registry);
    request.body = body;
    event_http::Call call;
    call.address = registry;
    call.bytes = event_http::Serialize(request);
    call.limit = kCallLimit;
    pool_.Start(std::move(call), [this, body, says_draining,
                                  redirects](const event_http::CallResult& result) {
      if (result.end != event_http::CallEnd::kAnswered) return;
      const std::string* location = result.response.fields.Find("Location");
      if (result.response.status == 307 && location != nullptr && redirects < kRedirectsMaximum) {
        constexpr std::size_t kScheme = sizeof("http://") - 1;
        const std::string rest = location->substr(kScheme);
        SendBeat(rest.substr(0, rest.find('/')), body, says_draining, redirects + 1);
      } else if (result.response.status == 200 && says_draining) {
        const std::lock_guard lock(mutex_);
        if (!drain_acknowledged_at_) drain_acknowledged_at_ = runtime::BootTimeNow();
      }
    });
  }

  static bool Overlap(const HeldSpan& a, const HeldSpan& b) {
    return a.first <= b.last && b.first <= a.last;
  }
  std::uint64_t SeenFence(const HeldSpan& span) const {
    std::uint64_t highest = 0;
    for (const HeldSpan& seen : seen_) {
      if (Overlap(seen, span)) highest = std::max(highest, seen.fence);
    }
    return highest;
  }
  void Note(const HeldSpan& span) { seen_.push_back(span); }
  /// Cuts a span out of what is held.
  void Forget(const HeldSpan& span) {
    std::vector<HeldSpan> left;
    for (const HeldSpan& held : held_) {
      if (!Overlap(held, span)) {
        left.push_back(held);
        continue;
      }
      if (held.first < span.first)
        left.push_back({held.first, span.first - 1, held.fence, held.until});
      if (held.last > span.last) left.push_back({span.last + 1, held.last, held.fence, held.until});
    }
    held_ = std::move(left);
  }
  const HeldSpan* HolderOf(std::uint32_t key) const {
    const Instant now = runtime::BootTimeNow();
    for (const HeldSpan& held : held_) {
      if (held.first <= key && key <= held.last && now < held.until) return &held;
    }
    return nullptr;
  }

  const WorkerOptions options_;
  runtime::EventLoop loop_;
  std::string address_;
  std::unique_ptr<event_http::Server> server_;
  event_http::ClientPool pool_;
  asio::steady_timer beat_timer_;
  std::int64_t sequence_ = 0;

  mutable std::mutex mutex_;  ///< Guards what follows.
  bool draining_ = false;
  std::optional<Instant> drain_acknowledged_at_;
  std::vector<HeldSpan> held_;
  std::vector<HeldSpan> seen_;
  std::vector<Instant> arrivals_;
  std::vector<WorkerRun> runs_;
};

Worker::Worker(WorkerOptions options) : impl_(std::make_shared<Impl>(std::move(options))) {}
Worker::~Worker() = default;

void Worker::Drain() { impl_->Drain(); }
bool Worker::drain_acknowledged() const { return impl_->drain_acknowledged(); }
void Worker::Stop() { impl_.reset(); }
std::vector<WorkerRun> Worker::runs() const { return impl_->runs(); }
std::size_t Worker::arrivals_after_drain(Duration allowance) const {
  return impl_->arrivals_after_drain(allowance);
}

}  // namespace graniteseam::testbed
