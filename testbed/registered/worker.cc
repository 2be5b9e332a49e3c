#include "testbed/registered/worker.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "graniteseam/common/duration_text.h"
#include "src/event_http/client_pool.h"
#include "src/event_http/server.h"
#include "src/runtime/clock.h"
#include "src/runtime/event_loop.h"
#include "testbed/registered/listening.h"

namespace graniteseam::testbed {

namespace {

namespace asio = boost::asio;
using event_http::Exchange;
using event_http::Response;
using nlohmann::json;

/// Where workers behind a proxy listen. Of its own: a port that the system chooses may be one that
/// another fleet has reserved at the address.
constexpr char kBehindProxyIp[] = "127.0.79.1";
constexpr Duration kCallLimit{1'000'000};
/// An answer to a heartbeat is used for so long after the heartbeat was sent.
constexpr Duration kAnswerUsable{1'000'000};
/// While keys that were left out are not told as released yet.
constexpr Duration kUrgentHeartbeat{100'000};
/// After a call that nobody answered.
constexpr Duration kRetryAfter{150'000};
constexpr Duration kReleaseLook{2'000};
/// How long a heartbeat is held up: this, and a part of the second figure.
constexpr Duration kLateAtLeast{300'000};
constexpr std::int64_t kLateSpreadMs = 1'700;
constexpr std::int64_t kLateStepMs = 97;
constexpr int kRedirectsMaximum = 2;
constexpr int kOk = 200;
constexpr int kRedirected = 307;
constexpr int kMalformed = 400;
constexpr int kNothingThere = 404;
constexpr int kHigherFenceSeen = 409;
constexpr int kNotMeantForIt = 421;
constexpr int kTurnedAway = 503;
constexpr int kRanTooLong = 500;

std::optional<std::uint32_t> ReadKey(const event_http::Request& request, const std::string& name) {
  const std::string* text = request.fields.Find(name);
  if (text == nullptr) return std::nullopt;
  return static_cast<std::uint32_t>(std::stoul(*text));
}

/// "ip:port" of "http://ip:port/path".
auto AddressOf(std::string const& location) -> std::string {
  constexpr std::size_t kScheme = sizeof("http://") - 1;
  if (location.size() <= kScheme) return "";
  auto const rest = location.substr(kScheme);
  return rest.substr(0, rest.find('/'));
}

auto ReadOrder(event_http::Request const& request) -> std::optional<json> {
  auto order = json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  if (!order.is_object()) return std::nullopt;
  for (auto const* member : {"from", "to", "fence"}) {
    if (!order.contains(member) || !order[member].is_number_unsigned()) return std::nullopt;
  }
  return order;
}

}  // namespace

/// Runs on its own event loop; the mutex guards what other threads read.
class Worker::Impl {
 public:
  explicit Impl(WorkerOptions options)
      : options_(std::move(options)), pool_(loop_.context(), {}), beat_timer_(loop_.context()) {
    auto const& statements = options_.statements;
    stated_ = {options_.id, statements.limit_per_second, started_ + statements.limited_from,
               started_ + statements.limited_until};
    stated_.warm_at = started_ + options_.warm_up;
    Listen();
    address_ = options_.address.ip + ":" + std::to_string(server_->port());
    if (HasAnswerFaults()) StartProxy();
    asio::post(loop_.context(), [this] { BeatAfter(options_.first_heartbeat); });
  }
  ~Impl() { loop_.Stop(); }

  auto Stop() -> void { loop_.Stop(); }
  void Drain() {
    const std::lock_guard lock(mutex_);
    draining_ = true;
    StateLeaving();
  }
  auto AnnounceLeaving() -> void {
    std::lock_guard const lock(mutex_);
    StateLeaving();
  }
  auto Deregister() -> void {
    std::lock_guard const lock(mutex_);
    if (std::exchange(deregistered_, true)) return;
    asio::post(loop_.context(), [this] { SayGone(Registry(), 0); });
  }
  bool drain_acknowledged() const {
    const std::lock_guard lock(mutex_);
    return drain_acknowledged_at_.has_value();
  }
  auto HoldBackHeartbeat() -> WorkerBeat {
    std::lock_guard const lock(mutex_);
    return {BeatTarget(), Compose().body};
  }
  auto crash() const -> std::optional<WorkerCrash> {
    std::lock_guard const lock(mutex_);
    return crash_;
  }
  std::vector<WorkerRun> runs() const {
    const std::lock_guard lock(mutex_);
    auto runs = runs_;
    auto const now = crash_ ? crash_->at : runtime::BootTimeNow();
    for (auto const& [number, run] : open_runs_) {
      runs.push_back(run);
      runs.back().ended = std::max(run.begun, std::min(run.ended, now));
    }
    return runs;
  }
  auto stated() const -> WorkerStated {
    std::lock_guard const lock(mutex_);
    auto stated = stated_;
    stated.arrivals = arrivals_;
    return stated;
  }
  auto received() const -> std::vector<std::pair<Instant, std::string>> {
    std::lock_guard const lock(mutex_);
    return received_;
  }
  auto holds() const -> std::vector<WorkerHold> {
    std::lock_guard const lock(mutex_);
    std::vector<WorkerHold> holds;
    for (auto const& span : AllHolds(keys_, runtime::BootTimeNow()))
      holds.push_back({options_.id, options_.service, span});
    return holds;
  }
  auto arrivals_after_drain(Duration allowance) const -> std::vector<std::string> {
    std::lock_guard const lock(mutex_);
    std::vector<std::string> late;
    if (!drain_acknowledged_at_) return late;
    for (auto const& [at, attempt] : arrivals_) {
      if (at > *drain_acknowledged_at_ + allowance) late.push_back(attempt);
    }
    return late;
  }

 private:
  /// A heartbeat that is made and not sent yet.
  struct Beat {
    std::string body;
    std::int64_t sequence = 0;
    bool says_draining = false;
    std::uint64_t releases_told = 0;  ///< Number of the last release that it tells.
  };
  /// Keys that were let go of and are to be told.
  struct Release {
    std::uint64_t number = 0;
    HeldSpan span;
  };

  void OnExchange(const std::shared_ptr<Exchange>& exchange) {
    const std::lock_guard lock(mutex_);
    const std::string_view path = exchange->request().Path();
    if (path == options_.owner_names.grant_path) {
      TakeOrder(exchange, [this](auto const& it, auto const& order) { Grant(it, order); });
    } else if (path == options_.owner_names.release_path) {
      TakeOrder(exchange, [this](auto const& it, auto const& order) { LetGoByOrder(it, order); });
    } else if (path == kHealthPath) {
      TellHealth(exchange);
    } else {
      Serve(exchange);
    }
  }

  auto TellHealth(std::shared_ptr<Exchange> const& exchange) const -> void {
    Response response;
    response.fields.Add(options_.names.answerer, options_.id);
    response.fields.Add(options_.names.load, "0,0,2");
    if (auto const left = WarmUpLeftMs(); left > 0)
      response.fields.Add(options_.names.warm_up_ms, std::to_string(left));
    exchange->Respond(response);
  }

  auto WarmUpLeftMs() const -> std::int64_t {
    auto const left = stated_.warm_at - runtime::BootTimeNow();
    return std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(left).count());
  }

  auto Listen() -> void {
    event_http::ServerOptions server;
    server.address = options_.address;
    if (HasAnswerFaults()) server.address = {kBehindProxyIp, 0};
    ListenOnceFree("worker " + options_.id, [&] {
      server_ = std::make_unique<event_http::Server>(
          loop_.context(), server, [this](auto const& exchange) { OnExchange(exchange); });
      return server_->Start();
    });
  }

  auto HasAnswerFaults() const -> bool { return options_.answer_faults.part > 0; }

  auto StartProxy() -> void {
    auto faults = options_.answer_faults;
    faults.attempt_id = options_.names.attempt_id;
    faults.not_executed = options_.names.not_executed;
    faults.seed = std::hash<std::string>{}(options_.id);
    proxy_ = std::make_unique<AnswerFaultProxy>(
        faults, options_.address, runtime::SocketAddress{kBehindProxyIp, server_->port()});
    address_ = runtime::ToString(options_.address);
  }

  /// Refuses what is no order for this instance, and leads the rest on.
  template <class Handler>
  auto TakeOrder(std::shared_ptr<Exchange> const& exchange, Handler const& handler) -> void {
    auto const& request = exchange->request();
    auto const* target = request.fields.Find(options_.names.target_instance);
    Response response;
    if (target != nullptr && *target != options_.id) {
      response.status = kNotMeantForIt;
      response.fields.Add(options_.names.not_executed, "1");
      return exchange->Respond(response);
    }
    if (!options_.keyed || options_.leases) {
      response.status = kNothingThere;
      return exchange->Respond(response);
    }
    auto const order = ReadOrder(request);
    if (order) return handler(exchange, *order);
    response.status = kMalformed;
    exchange->Respond(response);
  }

  auto Grant(std::shared_ptr<Exchange> const& exchange, json const& order) -> void {
    auto const now = runtime::BootTimeNow();
    auto const hold = std::chrono::milliseconds(order["hold_ms"].get<std::int64_t>());
    Response response;
    HeldSpan const span{order["from"], order["to"], order["fence"], now + hold, now};
    response.status = Take(keys_, span) ? kOk : kHigherFenceSeen;
    exchange->Respond(response);
  }

  auto LetGoByOrder(std::shared_ptr<Exchange> const& exchange, json const& order) -> void {
    HeldSpan const span{order["from"], order["to"], order["fence"], {}, {}};
    LetGo(keys_, span, runtime::BootTimeNow());
    AnswerWhenAtRest(exchange, span);
  }

  /// A release is answered when the work on its keys has ended.
  auto AnswerWhenAtRest(std::shared_ptr<Exchange> const& exchange, HeldSpan const& span) -> void {
    if (!Works(span)) {
      Response response;
      response.fields.Add(options_.owner_names.handover_header, "handover-of-" + options_.id);
      return exchange->Respond(response);
    }
    auto timer = std::make_shared<asio::steady_timer>(loop_.context(), kReleaseLook);
    timer->async_wait([this, timer, exchange, span](auto) {
      std::lock_guard const lock(mutex_);
      AnswerWhenAtRest(exchange, span);
    });
  }

  void Serve(const std::shared_ptr<Exchange>& exchange) {
    const event_http::Request& request = exchange->request();
    const std::string* id = request.fields.Find(options_.names.attempt_id);
    const std::string* target = request.fields.Find(options_.names.target_instance);
    Response response;
    if (id != nullptr) response.fields.Add(options_.names.attempt_id, *id);
    const auto key = ReadKey(request, options_.names.key);
    auto const now = runtime::BootTimeNow();
    if (id != nullptr) received_.emplace_back(now, *id);
    const HeldSpan* holder = options_.keyed && key ? HolderOf(keys_, *key, now) : nullptr;
    const bool mistaken = target != nullptr && *target != options_.id;
    if (mistaken || (options_.keyed && holder == nullptr)) {
      response.status = kNotMeantForIt;
      response.fields.Add(options_.names.not_executed, "1");
      exchange->Respond(response);
      return;
    }
    if (request.Path().find(kCrashingWord) != std::string_view::npos) {
      return CrashUnder(request, id == nullptr ? "" : *id, now);
    }
    arrivals_.emplace_back(now, id == nullptr ? "" : *id);
    if (Rejects()) return Reject(exchange, std::move(response));
    if (TurnsAway(now)) return TurnAway(exchange, std::move(response), now);
    WorkerRun run{
        options_.id, id == nullptr ? "" : *id, key, holder == nullptr ? 0 : holder->fence, now,
        {},          options_.service};
    const std::string* tenant = request.fields.Find(options_.names.tenant);
    if (tenant != nullptr) run.tenant = *tenant;
    run.saw_api_key = request.fields.Find("Authorization") != nullptr;
    if (options_.keyed) working_.insert(*key);
    auto const until = holder == nullptr ? Instant::max() : holder->until;
    auto const number = ++last_run_;
    run.ended = until;
    open_runs_[number] = run;
    auto timer = std::make_shared<asio::steady_timer>(loop_.context(), options_.work);
    timer->async_wait([this, timer, exchange, response, number, until](auto) mutable {
      Finish(number, until, response);
      exchange->Respond(response);
    });
  }

  auto Rejects() -> bool {
    if (!options_.rejected_part) return false;
    auto const drawn = static_cast<double>(random_()) / static_cast<double>(std::mt19937::max());
    return drawn < options_.rejected_part->load();
  }

  auto Reject(std::shared_ptr<Exchange> const& exchange, Response response) const -> void {
    response.status = kTurnedAway;
    response.fields.Add(options_.names.not_executed, "1");
    exchange->Respond(response);
  }

  auto TurnsAway(Instant now) const -> bool {
    auto const since = now - started_;
    auto const& statements = options_.statements;
    return statements.turns_away_from <= since && since < statements.turns_away_until;
  }

  auto TurnAway(std::shared_ptr<Exchange> const& exchange, Response response, Instant now) -> void {
    auto const rest = options_.statements.rest;
    response.status = kTurnedAway;
    response.fields.Add(options_.names.not_executed, "1");
    response.fields.Add("Retry-After", std::to_string(ToSeconds(rest)));
    State(response, now);
    auto const* const id = response.fields.Find(options_.names.attempt_id);
    stated_.rests.push_back({id == nullptr ? "" : *id, now, rest});
    exchange->Respond(response);
  }

  /// Adds to an answer what the worker states of the requests that it takes.
  auto State(Response& response, Instant now) const -> void {
    auto const limited = stated_.limited_from <= now && now < stated_.limited_until;
    if (limited && stated_.limit_per_second > 0) {
      response.fields.Add(options_.names.limit, std::to_string(stated_.limit_per_second));
    }
    if (now >= stated_.leaving_from) response.fields.Add(options_.names.leaving, "1");
  }

  auto StateLeaving() -> void {
    if (options_.statements.says_leaving && stated_.leaving_from == Instant::max())
      stated_.leaving_from = runtime::BootTimeNow();
  }

  /// The process is gone: nothing that it was at work on ends, and it says nothing any more.
  auto CrashUnder(event_http::Request const& request, std::string const& attempt, Instant now)
      -> void {
    if (crash_) return;
    crash_ = WorkerCrash{options_.id, std::string(request.Path()), attempt, now};
    deregistered_ = true;
    // Not from within the exchange that it came by.
    asio::post(loop_.context(), [this] {
      proxy_.reset();
      server_.reset();
    });
  }

  /// @param until when the lease under which the run began was to end; it may have been renewed.
  auto Finish(std::uint64_t number, Instant until, Response& response) -> void {
    std::lock_guard const lock(mutex_);
    auto run = std::move(open_runs_.extract(number).mapped());
    // What it was at work on ended with it; its callers get no answer.
    auto const now = crash_ ? crash_->at : runtime::BootTimeNow();
    run.ended = now;
    if (options_.keyed) {
      working_.erase(working_.find(*run.key));
      auto const* holder = HolderOf(keys_, *run.key, now);
      auto const renewed = holder != nullptr && holder->fence == run.fence;
      if (!renewed && now > until) {
        // Work ends with its lease.
        run.ended = std::max(run.begun, until);
        response.status = kRanTooLong;
      }
    }
    response.fields.Add(options_.names.seal, "seal-of-" + options_.id);
    response.fields.Add(options_.names.load, "0,0,2");
    State(response, now);
    response.body = options_.id;
    runs_.push_back(std::move(run));
  }

  auto Works(HeldSpan const& span) const -> bool {
    auto const first = working_.lower_bound(span.first);
    return first != working_.end() && *first <= span.last;
  }

  // --- Heartbeats ---

  auto BeatTarget() const -> std::string { return "/v1/instances/" + options_.id + "/heartbeat"; }

  auto Compose() -> Beat {
    Beat beat;
    beat.sequence = ++sequence_;
    beat.says_draining = draining_;
    json body = {{"service", options_.service},
                 {"address", address_},
                 {"zone", options_.zone},
                 {"version", "v1"},
                 {"slots", 2},
                 {"warmup_left_ms", WarmUpLeftMs()},
                 {"state", draining_ ? "draining" : "ready"},
                 {"sequence", beat.sequence}};
    if (options_.leases) TellKeys(body, beat);
    beat.body = body.dump();
    return beat;
  }

  auto TellKeys(json& body, Beat& beat) -> void {
    DropExpired(keys_, runtime::BootTimeNow());
    for (auto const& span : finishing_) {
      if (!Works(span)) releases_.push_back({++last_release_, span});
    }
    std::erase_if(finishing_, [this](auto const& span) { return !Works(span); });
    auto& held = body["keys_held"] = json::array();
    for (auto const& span : keys_.held) held.push_back({span.first, span.last, span.fence});
    for (auto const& span : finishing_) held.push_back({span.first, span.last, span.fence});
    auto& released = body["keys_released"] = json::array();
    for (auto const& [number, span] : releases_)
      released.push_back({span.first, span.last, "handover-of-" + options_.id});
    beat.releases_told = last_release_;
  }

  /// Where the next call goes: where an answer led it, until a call fails there.
  auto Registry() -> std::string {
    if (!home_.empty()) return home_;
    auto const all =
        options_.registry_list ? options_.registry_list->Addresses() : options_.registries;
    return all[turn_++ % all.size()];
  }

  auto BeatAfter(Duration pause) -> void {
    beat_timer_.expires_after(pause);
    beat_timer_.async_wait([this](auto error) {
      if (!error) SendNextBeat();
    });
  }

  auto SendNextBeat() -> void {
    std::lock_guard const lock(mutex_);
    if (deregistered_) return;
    auto const beat = Compose();
    auto const late = options_.late_every > 0 && beat.sequence % options_.late_every == 0;
    if (!late) {
      SendBeat(Registry(), beat, runtime::BootTimeNow(), 0);
    } else {
      auto const more = std::chrono::milliseconds(beat.sequence * kLateStepMs % kLateSpreadMs);
      auto timer = std::make_shared<asio::steady_timer>(loop_.context(), kLateAtLeast + more);
      timer->async_wait([this, timer, beat, made = runtime::BootTimeNow()](auto) {
        std::lock_guard const inner(mutex_);
        SendBeat(Registry(), beat, made, 0);
      });
    }
    auto const urgent = !finishing_.empty() || !releases_.empty();
    BeatAfter(urgent ? std::min(kUrgentHeartbeat, options_.heartbeat) : options_.heartbeat);
  }

  auto SendBeat(std::string const& registry, Beat const& beat, Instant sent, int redirects)
      -> void {
    event_http::Request request;
    request.method = "POST";
    request.target = BeatTarget();
    request.fields.Add("Host", registry);
    request.body = beat.body;
    Call(registry, request, [this, registry, beat, sent, redirects](auto const& result) {
      std::lock_guard const lock(mutex_);
      if (auto const next = RedirectOf(result); !next.empty() && redirects < kRedirectsMaximum)
        return SendBeat(next, beat, sent, redirects + 1);
      if (result.end != event_http::CallEnd::kAnswered || result.response.status != kOk) {
        if (home_ == registry) home_.clear();
        // The next one goes to another process, soon.
        return BeatAfter(kRetryAfter);
      }
      OnAcknowledged(beat, sent, result.response.body);
    });
  }

  auto OnAcknowledged(Beat const& beat, Instant sent, std::string const& body) -> void {
    auto const now = runtime::BootTimeNow();
    if (beat.says_draining && !drain_acknowledged_at_) drain_acknowledged_at_ = now;
    std::erase_if(releases_, [&](auto const& it) { return it.number <= beat.releases_told; });
    auto const answer = json::parse(body, nullptr, /*allow_exceptions=*/false);
    if (!answer.is_object()) return;
    if (answer.contains("next_address")) home_ = answer["next_address"].get<std::string>();
    auto const usable = beat.sequence == sequence_ && now <= sent + kAnswerUsable;
    if (!options_.leases || !usable || !answer.contains("keys_held")) return;
    auto const hold = std::chrono::milliseconds(answer["hold_ms"].get<std::int64_t>());
    std::vector<HeldSpan> rows;
    for (auto const& row : answer["keys_held"])
      rows.push_back({row[0], row[1], row[2], sent + hold, now});
    auto const left_out = TakeWhole(keys_, rows, now);
    finishing_.insert(finishing_.end(), left_out.begin(), left_out.end());
    if (!left_out.empty() && !deregistered_)
      BeatAfter(std::min(kUrgentHeartbeat, options_.heartbeat));
  }

  auto SayGone(std::string const& registry, int redirects) -> void {
    event_http::Request request;
    request.method = "DELETE";
    request.target = "/v1/instances/" + options_.id;
    request.fields.Add("Host", registry);
    Call(registry, request, [this, registry, redirects](auto const& result) {
      std::lock_guard const lock(mutex_);
      if (auto const next = RedirectOf(result); !next.empty() && redirects < kRedirectsMaximum)
        return SayGone(next, redirects + 1);
      if (result.end == event_http::CallEnd::kAnswered && result.response.status == kOk) {
        if (!drain_acknowledged_at_) drain_acknowledged_at_ = runtime::BootTimeNow();
        return;
      }
      if (home_ == registry) home_.clear();
      auto timer = std::make_shared<asio::steady_timer>(loop_.context(), 2 * kRetryAfter);
      timer->async_wait([this, timer](auto) {
        std::lock_guard const inner(mutex_);
        SayGone(Registry(), 0);
      });
    });
  }

  auto Call(std::string const& address, event_http::Request const& request,
            event_http::ClientPool::Handler handler) -> void {
    event_http::Call call;
    call.address = address;
    call.bytes = event_http::Serialize(request);
    call.limit = kCallLimit;
    pool_.Start(std::move(call), std::move(handler));
  }

  static auto RedirectOf(event_http::CallResult const& result) -> std::string {
    if (result.end != event_http::CallEnd::kAnswered || result.response.status != kRedirected)
      return "";
    auto const* location = result.response.fields.Find("Location");
    return location == nullptr ? "" : AddressOf(*location);
  }

  const WorkerOptions options_;
  runtime::EventLoop loop_;
  std::string address_;
  std::unique_ptr<event_http::Server> server_;
  std::unique_ptr<AnswerFaultProxy> proxy_;  ///< Listens at the worker's address.
  event_http::ClientPool pool_;
  asio::steady_timer beat_timer_;  ///< Used on the loop only.

  Instant const started_ = runtime::BootTimeNow();

  mutable std::mutex mutex_;  ///< Guards what follows.
  std::int64_t sequence_ = 0;
  std::string home_;
  std::size_t turn_ = 0;
  bool draining_ = false;
  bool deregistered_ = false;
  std::optional<WorkerCrash> crash_;
  std::optional<Instant> drain_acknowledged_at_;
  HeldKeys keys_;
  std::multiset<std::uint32_t> working_;  ///< Keys of requests that run.
  std::vector<HeldSpan> finishing_;       ///< Left out by an answer; work on them may still run.
  std::vector<Release> releases_;         ///< Not told by an acknowledged heartbeat yet.
  std::uint64_t last_release_ = 0;
  std::vector<std::pair<Instant, std::string>> arrivals_;
  std::vector<std::pair<Instant, std::string>> received_;
  std::mt19937 random_{static_cast<std::uint32_t>(std::hash<std::string>{}(options_.id))};
  /// Begun and not ended, with the end of the lease under which they began.
  std::map<std::uint64_t, WorkerRun> open_runs_;
  std::uint64_t last_run_ = 0;
  std::vector<WorkerRun> runs_;
  WorkerStated stated_;  ///< Without its arrivals.
};

Worker::Worker(WorkerOptions options) : impl_(std::make_shared<Impl>(std::move(options))) {}
Worker::~Worker() = default;

void Worker::Drain() { impl_->Drain(); }
auto Worker::Deregister() -> void { impl_->Deregister(); }
auto Worker::Stop() -> void { impl_->Stop(); }
bool Worker::drain_acknowledged() const { return impl_->drain_acknowledged(); }
auto Worker::HoldBackHeartbeat() -> WorkerBeat { return impl_->HoldBackHeartbeat(); }
auto Worker::AnnounceLeaving() -> void { impl_->AnnounceLeaving(); }
auto Worker::crash() const -> std::optional<WorkerCrash> { return impl_->crash(); }
std::vector<WorkerRun> Worker::runs() const { return impl_->runs(); }
auto Worker::stated() const -> WorkerStated { return impl_->stated(); }
auto Worker::received() const -> std::vector<std::pair<Instant, std::string>> {
  return impl_->received();
}
auto Worker::holds() const -> std::vector<WorkerHold> { return impl_->holds(); }
auto Worker::arrivals_after_drain(Duration allowance) const -> std::vector<std::string> {
  return impl_->arrivals_after_drain(allowance);
}

}  // namespace graniteseam::testbed
