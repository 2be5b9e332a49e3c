#include "src/runtime/log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "src/runtime/json_text.h"

namespace graniteseam::runtime {
namespace {

constexpr char kPlainPattern[] = "%Y-%m-%dT%H:%M:%S.%eZ %l %n: %*";
constexpr char kJsonPattern[] =
    R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","part":"%n","message":"%*"})";

/// Formats the message so that it stays within its line, whatever a peer put into it: control
/// characters are escaped, so that nobody forges a line of the log.
class EscapedMessage : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm& /*time*/,
              spdlog::memory_buf_t& line) override {
    const std::string_view text(message.payload.data(), message.payload.size());
    const std::string escaped = quotes_ ? EscapeJson(text) : EscapeControlCharacters(text);
    line.append(escaped.data(), escaped.data() + escaped.size());
  }
  std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<EscapedMessage>(quotes_);
  }
  explicit EscapedMessage(bool quotes) : quotes_(quotes) {}

 private:
  bool quotes_;
};

std::unique_ptr<spdlog::formatter> MakeFormatter(LogFormat format) {
  const bool json = format == LogFormat::kJson;
  auto formatter = std::make_unique<spdlog::pattern_formatter>(spdlog::pattern_time_type::utc);
  formatter->add_flag<EscapedMessage>('*', json).set_pattern(json ? kJsonPattern : kPlainPattern);
  return formatter;
}

/// The one sink that all loggers of the process share.
const std::shared_ptr<spdlog::sinks::sink>& SharedSink() {
  static const std::shared_ptr<spdlog::sinks::sink> shared = [] {
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    sink->set_formatter(MakeFormatter(LogFormat::kPlain));
    sink->set_level(spdlog::level::info);
    return sink;
  }();
  return shared;
}

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

}  // namespace

void ConfigureLogs(LogFormat format, LogLevel level) {
  SharedSink()->set_formatter(MakeFormatter(format));
  SharedSink()->set_level(ToSpdlog(level));
}

Logger::Logger(const std::string& part)
    : logger_(std::make_shared<spdlog::logger>(part, SharedSink())) {
  // The sink's level decides, so that ConfigureLogs() reaches loggers made before it.
  logger_->set_level(spdlog::level::trace);
  logger_->flush_on(spdlog::level::trace);
}

bool Logger::Enabled(LogLevel level) const { return SharedSink()->should_log(ToSpdlog(level)); }

void Logger::Write(LogLevel level, std::string_view sentence) const {
  logger_->log(ToSpdlog(level), spdlog::string_view_t(sentence.data(), sentence.size()));
}

}  // namespace graniteseam::runtime
