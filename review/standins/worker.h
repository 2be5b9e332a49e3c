/// @file
/// A stand-in worker: announces itself, takes keys under fences, runs requests, as the users' pages
/// say.
#pragma once

#include "review/standins/harness.h"

namespace review {

struct Span {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  std::uint64_t fence = 0;
  bool Overlaps(const Span& other) const { return first <= other.last && other.first <= last; }
  bool Contains(std::uint32_t key) const { return first <= key && key <= last; }
};

struct WorkerOptions {
  std::string id;
  std::string service;
  std::string zone;
  Address address;
  bool keyed = false;
  double work = 0.05;  ///< Seconds of one request.
  double heartbeat = 1.3;
  int slots = 3;
  std::vector<Address> controls;
};

class Worker {
 public:
  /// Is told of each grant that this worker takes, before it is answered.
  using OnGrant = std::function<void(Worker& taker, const Span& span)>;

  Worker(Record& record, WorkerOptions options, OnGrant on_grant)
      : record_(record), options_(std::move(options)), on_grant_(std::move(on_grant)) {
    server_ = std::make_unique<Server>(options_.address, [this](Socket& it) { Serve(it); });
    heartbeats_ = std::thread([this] { Beat(); });
  }
  ~Worker() {
    up_ = false;
    heartbeats_.join();
    server_->Stop();
  }

  const std::string& id() const { return options_.id; }
  bool up() const { return up_; }
  /// Cut off from control and its machines, while requests still reach it: heartbeats do not leave,
  /// orders do not arrive.
  void Cut(bool cut) {
    record_.Line("%s: %s", options_.id.c_str(), cut ? "cut off from control" : "the cut is over");
    cut_ = cut;
  }
  void Drain() {
    record_.Line("%s: begins to drain", options_.id.c_str());
    draining_ = true;
  }
  bool drain_acknowledged() const { return drain_acknowledged_; }
  /// From now on, the first release that comes on a connection on which a grant was answered finds
  /// a second copy of that answer before its own.
  void SendOneSurplusAnswer() { surplus_armed_ = true; }
  /// Answers in the 5 s before the surplus one; 0 while none was sent.
  std::size_t answers_beside_surplus() const { return answers_beside_surplus_; }

  /// Whether it began to run a request.
  bool Began(const std::string& attempt) {
    const std::lock_guard lock(mutex_);
    return begun_.contains(attempt);
  }

  /// Whether it is at work on a key of the span, under a lease that has not run out yet.
  bool WorksOn(const Span& span) {
    const std::lock_guard lock(mutex_);
    return std::any_of(running_.begin(), running_.end(), [&](const Run& run) {
      return span.Contains(run.key) && Now() < run.lease_end;
    });
  }
  bool Holds(const Span& span) {
    const std::lock_guard lock(mutex_);
    return std::any_of(held_.begin(), held_.end(), [&](const Hold& hold) {
      return hold.span.Overlaps(span) && Now() < hold.end;
    });
  }
  std::optional<std::uint32_t> FirstHeldKey() {
    const std::lock_guard lock(mutex_);
    if (held_.empty()) return std::nullopt;
    return held_.front().span.first;
  }
  std::size_t HeldKeys() {
    const std::lock_guard lock(mutex_);
    std::size_t keys = 0;
    for (const Hold& hold : held_) {
      if (Now() < hold.end) keys += hold.span.last - hold.span.first + 1;
    }
    return keys;
  }

 private:
  struct Hold {
    Span span;
    double end = 0;
  };
  struct Run {
    std::uint64_t number = 0;
    std::uint32_t key = 0;
    double lease_end = 0;
  };

  void Beat() {
    std::uint64_t sequence = 0;
    std::size_t turn = 0;
    std::optional<Address> next;
    while (up_) {
      if (cut_) {
        SleepFor(0.02);
        continue;
      }
      const bool draining = draining_;
      const std::string body = "{\"service\":\"" + options_.service + "\",\"address\":\"" +
                               options_.address.Text() + "\",\"zone\":\"" + options_.zone +
                               "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots) +
                               ",\"warmup_left_ms\":0,\"state\":\"" +
                               (draining ? "draining" : "ready") +
                               "\",\"sequence\":" + std::to_string(++sequence) + "}";
      const Address control = next ? *next : options_.controls[turn++ % options_.controls.size()];
      const Message answer =
          CallControl(control, "POST", "/v1/instances/" + options_.id + "/heartbeat",
                      {{"Content-Type", "application/json"}}, body, 1.0);
      const bool taken = answer.whole && answer.Status() / 100 == 2;
      if (!taken) {
        next.reset();
        SleepFor(0.2);
        continue;
      }
      const std::string told = TextIn(answer.body, "next_address");
      if (!told.empty()) next = ParseAddress(told);
      if (draining && !drain_acknowledged_.exchange(true))
        record_.Line("%s: draining acknowledged", options_.id.c_str());
      for (double end = Now() + options_.heartbeat; up_ && Now() < end && draining == draining_;)
        SleepFor(0.01);
    }
  }

  void Serve(Socket& socket) {
    Reader reader(socket);
    std::string last_grant_answer;
    while (server_ == nullptr || server_->Running()) {
      const Message request = reader.Next(0.2, false);
      if (reader.ended() || reader.failed()) return;
      if (!request.whole) continue;
      const std::string target = request.Target();
      const bool order = target == "/grant" || target == "/release";
      if (order && cut_) {
        while (cut_ && server_->Running()) SleepFor(0.02);
        return;
      }
      std::string answer;
      if (target == "/health") {
        answer = AnswerText(draining_ ? 503 : 200, {{"Graniteseam-Instance-Id", options_.id}}, "");
      } else if (request.Find("Graniteseam-Target-Instance") != nullptr &&
                 request.Value("Graniteseam-Target-Instance") != options_.id) {
        answer = AnswerText(421,
                            {{"Graniteseam-Instance-Id", options_.id},
                             {"Graniteseam-Attempt-Id", request.Value("Graniteseam-Attempt-Id")},
                             {"Graniteseam-Not-Executed", "1"}},
                            "");
      } else if (target == "/grant") {
        answer = last_grant_answer = TakeGrant(request);
      } else if (target == "/release") {
        answer = Release(request, socket, last_grant_answer);
      } else {
        answer = Work(request);
      }
      NoteAnswer();
      if (!socket.Send(answer)) return;
    }
  }

  void NoteAnswer() {
    const std::lock_guard lock(mutex_);
    answered_at_.push_back(Now());
  }

  std::size_t AnswersSince(double since) {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(answered_at_.begin(), answered_at_.end(),
                                                  [&](double at) { return at >= since; }));
  }

  static Span SpanOf(const Message& request) {
    return {static_cast<std::uint32_t>(NumberIn(request.body, "from")),
            static_cast<std::uint32_t>(NumberIn(request.body, "to")),
            NumberIn(request.body, "fence")};
  }

  bool SawHigherFence(const Span& span) const {
    return std::any_of(seen_.begin(), seen_.end(), [&](const Span& known) {
      return known.Overlaps(span) && known.fence > span.fence;
    });
  }

  void CutOut(const Span& span) {
    std::vector<Hold> left;
    for (const Hold& hold : held_) {
      if (!hold.span.Overlaps(span)) {
        left.push_back(hold);
        continue;
      }
      if (hold.span.first < span.first) {
        left.push_back(hold);
        left.back().span.last = span.first - 1;
      }
      if (hold.span.last > span.last) {
        left.push_back(hold);
        left.back().span.first = span.last + 1;
      }
    }
    held_ = std::move(left);
  }

  std::string TakeGrant(const Message& request) {
    const Span span = SpanOf(request);
    const double hold = static_cast<double>(NumberIn(request.body, "hold_ms")) / 1000;
    bool renewal = false;
    {
      const std::lock_guard lock(mutex_);
      if (SawHigherFence(span)) {
        record_.Line("%s: refuses grant %u..%u fence %llu", options_.id.c_str(), span.first,
                     span.last, static_cast<unsigned long long>(span.fence));
        return AnswerText(409, {}, "");
      }
      for (const Hold& known : held_) renewal |= known.span.fence == span.fence;
      CutOut(span);
      held_.push_back({span, Now() + hold});
      seen_.push_back(span);
      // Work goes on under the renewed lease.
      for (Run& run : running_) {
        if (span.Contains(run.key)) run.lease_end = Now() + hold;
      }
    }
    if (!renewal) {
      record_.Line("%s: takes keys %u..%u fence %llu", options_.id.c_str(), span.first, span.last,
                   static_cast<unsigned long long>(span.fence));
      on_grant_(*this, span);
    }
    return AnswerText(200, {}, "");
  }

  std::string Release(const Message& request, Socket& socket,
                      const std::string& last_grant_answer) {
    const Span span = SpanOf(request);
    record_.Line("%s: release of keys %u..%u fence %llu arrives", options_.id.c_str(), span.first,
                 span.last, static_cast<unsigned long long>(span.fence));
    {
      const std::lock_guard lock(mutex_);
      CutOut(span);
      seen_.push_back(span);
    }
    const bool surplus = surplus_armed_ && !last_grant_answer.empty() && WorksOn(span);
    if (surplus && surplus_armed_.exchange(false)) {
      answers_beside_surplus_ = AnswersSince(Now() - 5);
      record_.Line(
          "%s: its earlier answer to a grant is sent a second time, before the answer to "
          "the release (1 surplus answer beside %zu within 5 s)",
          options_.id.c_str(), answers_beside_surplus_.load());
      socket.Send(last_grant_answer);
    }
    while (up_ && WorksOn(span)) SleepFor(0.002);
    record_.Line("%s: release of keys %u..%u done", options_.id.c_str(), span.first, span.last);
    return AnswerText(200, {{"Graniteseam-Handover", "handover-of-" + options_.id}}, "");
  }

  std::string Work(const Message& request) {
    const std::string attempt = request.Value("Graniteseam-Attempt-Id");
    const auto key = static_cast<std::uint32_t>(
        std::strtoul(request.Value("Graniteseam-Shard-Key").c_str(), nullptr, 10));
    std::uint64_t number = 0;
    {
      const std::lock_guard lock(mutex_);
      double lease_end = 1e9;
      if (options_.keyed) {
        const auto holder = std::find_if(held_.begin(), held_.end(), [&](const Hold& hold) {
          return hold.span.Contains(key) && Now() < hold.end;
        });
        if (holder == held_.end()) {
          return AnswerText(
              421, {{"Graniteseam-Attempt-Id", attempt}, {"Graniteseam-Not-Executed", "1"}}, "");
        }
        lease_end = holder->end;
      }
      number = ++last_run_;
      begun_.insert(attempt);
      running_.push_back({number, key, lease_end});
    }
    record_.Line("%s: begins %s key %u", options_.id.c_str(), attempt.c_str(), key);
    SleepFor(options_.work);
    bool in_time = true;
    {
      const std::lock_guard lock(mutex_);
      const auto run = std::find_if(running_.begin(), running_.end(),
                                    [&](const Run& it) { return it.number == number; });
      in_time = Now() < run->lease_end;
      running_.erase(run);
    }
    record_.Line("%s: ends %s key %u", options_.id.c_str(), attempt.c_str(), key);
    Fields fields{{"Graniteseam-Attempt-Id", attempt},
                  {"Graniteseam-Server-Seal", "seal." + options_.id + "." + attempt},
                  {"Graniteseam-Server-Load", "0,0," + std::to_string(options_.slots)}};
    if (draining_) fields.emplace_back("Connection", "close");
    return AnswerText(in_time ? 200 : 500, fields, "run by " + options_.id + "\n");
  }

  Record& record_;
  const WorkerOptions options_;
  const OnGrant on_grant_;
  std::atomic<bool> up_{true};
  std::atomic<bool> draining_{false};
  std::atomic<bool> cut_{false};
  std::atomic<bool> drain_acknowledged_{false};
  std::atomic<bool> surplus_armed_{false};
  std::atomic<std::size_t> answers_beside_surplus_{0};
  std::mutex mutex_;
  std::vector<Hold> held_;
  std::vector<Span> seen_;
  std::list<Run> running_;
  std::uint64_t last_run_ = 0;
  std::vector<double> answered_at_;
  std::set<std::string> begun_;
  std::unique_ptr<Server> server_;
  std::thread heartbeats_;
};

}  // namespace review
