#include "testbed/caller/load.h"

#include <thread>

#include "src/runtime/clock.h"

namespace graniteseam::testbed {

Load::Load(LoadOptions options, TrafficSource source, RecordFile& records)
    : options_(std::move(options)),
      records_(records),
      end_(runtime::BootTimeNow() + options_.duration),
      source_(std::move(source)) {}

void Load::Run(const std::function<bool()>& stop_asked) {
  std::vector<std::thread> threads;
  for (std::size_t number = 0; number < options_.senders; ++number) {
    threads.emplace_back([this, number, &stop_asked] { RunSender(number, stop_asked); });
  }
  for (auto& thread : threads) thread.join();
}

std::optional<PlannedRequest> Load::TakeRequest() {
  const std::lock_guard lock(source_mutex_);
  auto request = source_.Next(runtime::WallMillis());
  if (request.due >= end_) return std::nullopt;
  return request;
}

void Load::RunSender(std::size_t number, const std::function<bool()>& stop_asked) {
  Sender sender(options_.routers, options_.resend, records_);
  std::size_t router = number;
  while (!stop_asked()) {
    const auto request = TakeRequest();
    if (!request) return;
    std::this_thread::sleep_for(request->due - runtime::BootTimeNow());
    const auto& stream = source_.streams()[request->stream];
    const auto result = sender.Send(*request, stream, router);
    Count(result);
    if (request->resend_when_answered && result.outcome == "answered") {
      auto again = *request;
      again.due = runtime::BootTimeNow();
      Count(sender.Send(again, stream, router + 1));
    }
    ++router;
  }
}

void Load::Count(const AnswerRecord& last) {
  const std::lock_guard lock(summary_mutex_);
  summaries_[""].Add(last);
  summaries_[last.service].Add(last);
  if (!last.own) ++crossed_;
  if (!last.whole) ++torn_;
}

std::map<std::string, TrafficSummary> Load::Summaries() const {
  const std::lock_guard lock(summary_mutex_);
  return summaries_;
}

std::uint64_t Load::crossed() const {
  const std::lock_guard lock(summary_mutex_);
  return crossed_;
}

std::uint64_t Load::torn() const {
  const std::lock_guard lock(summary_mutex_);
  return torn_;
}

}  // namespace graniteseam::testbed
