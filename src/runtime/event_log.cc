#include "src/runtime/event_log.h"

#include <fcntl.h>
#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <mutex>

#include "src/runtime/clock.h"
#include "src/runtime/json_text.h"

namespace graniteseam::runtime {
namespace {

constexpr std::size_t kQueueLines = 1'024;
/// Lines a second of each weight; what is over is dropped and counted.
constexpr int kOrdinaryPerSecond = 60;
constexpr int kNotablePerSecond = 400;
constexpr Duration kSecond{1'000'000};

/// Writes to a descriptor. A reader that went away is not the process's fault: its lines are lost.
class DescriptorSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit DescriptorSink(int descriptor) : descriptor_(descriptor) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    std::size_t written = 0;
    while (written < line.size()) {
      const ssize_t count = ::write(descriptor_, line.data() + written, line.size() - written);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) return;
      written += static_cast<std::size_t>(count);
    }
  }
  void flush_() override {}

 private:
  const int descriptor_;
};

}  // namespace

EventLine::EventLine(std::string_view event) {
  text_ = "{";
  Add("event", event);
}

void EventLine::Key(std::string_view key) {
  if (text_.size() > 1) text_ += ',';
  text_.append("\"").append(key).append("\":");
}

EventLine& EventLine::Add(std::string_view key, std::string_view value) {
  Key(key);
  text_.append("\"").append(EscapeJson(value)).append("\"");
  return *this;
}

EventLine& EventLine::Add(std::string_view key, std::int64_t value) {
  Key(key);
  text_ += std::to_string(value);
  return *this;
}

EventLine& EventLine::Add(std::string_view key, std::uint64_t value) {
  Key(key);
  text_ += std::to_string(value);
  return *this;
}

class EventLog::Impl {
 public:
  Impl(const std::string& process, int descriptor)
      : process_(EscapeJson(process)),
        pool_(std::make_shared<spdlog::details::thread_pool>(kQueueLines, 1)),
        logger_(std::make_shared<spdlog::async_logger>(
            "events", std::make_shared<DescriptorSink>(descriptor), pool_,
            spdlog::async_overflow_policy::overrun_oldest)) {
    logger_->set_pattern("%v");
  }

  void Write(EventWeight weight, const EventLine& line) {
    const std::lock_guard lock(mutex_);
    if (!Admit(weight)) {
      ++limited_;
      return;
    }
    std::string text = "{\"at_ms\":" + std::to_string(ToMicros(BootTimeNow()) / 1'000) +
                       ",\"wall_ms\":" + std::to_string(WallMillis()) + ",\"process\":\"" +
                       process_ + "\",";
    const std::uint64_t dropped = Dropped();
    if (dropped > told_) {
      text += "\"dropped\":" + std::to_string(dropped - told_) + ",";
      told_ = dropped;
    }
    logger_->info(text + line.Text().substr(1));
  }

  std::uint64_t Dropped() const { return limited_ + pool_->overrun_counter(); }

 private:
  bool Admit(EventWeight weight) {
    const Instant now = BootTimeNow();
    if (now - second_start_ >= kSecond) {
      second_start_ = now;
      ordinary_ = 0;
      notable_ = 0;
    }
    if (weight == EventWeight::kVital) return true;
    const bool ordinary = weight == EventWeight::kOrdinary;
    int& count = ordinary ? ordinary_ : notable_;
    return ++count <= (ordinary ? kOrdinaryPerSecond : kNotablePerSecond);
  }

  const std::string process_;
  std::shared_ptr<spdlog::details::thread_pool> pool_;
  std::shared_ptr<spdlog::async_logger> logger_;
  std::mutex mutex_;  ///< Guards what follows.
  Instant second_start_{};
  int ordinary_ = 0;
  int notable_ = 0;
  std::atomic<std::uint64_t> limited_{0};
  std::uint64_t told_ = 0;
};

EventLog::EventLog(const std::string& process, int descriptor)
    : impl_(std::make_unique<Impl>(process, descriptor)) {}
EventLog::~EventLog() = default;

void EventLog::Write(EventWeight weight, const EventLine& line) { impl_->Write(weight, line); }
std::uint64_t EventLog::dropped() const { return impl_->Dropped(); }

}  // namespace graniteseam::runtime
