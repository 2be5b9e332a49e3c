/// @file
/// Logs: short sentences on standard error, each under the fixed prefix of the part that speaks.
/// Plain ("<time> <level> <part>: <sentence>") or one JSON object a line.
#pragma once

#include <fmt/core.h>

#include <memory>
#include <string>
#include <string_view>

#include "graniteseam/common/error.h"

namespace spdlog {
class logger;
}

namespace graniteseam::runtime {

enum class LogFormat { kPlain, kJson };
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Names accepted by the settings `log_format` and `log_level`, in the order of the enumerators.
inline constexpr std::string_view kLogFormatNames[] = {"plain", "json"};
inline constexpr std::string_view kLogLevelNames[] = {"debug", "info", "warning", "error"};

/// Sets form and lowest level for the whole process, for loggers made before and after. Call it
/// once after the settings are read; before that, logs are plain from level info.
void ConfigureLogs(LogFormat format, LogLevel level);

/// The voice of one part. Cheap to copy; thread safe.
class Logger {
 public:
  /// @param part the fixed prefix, for example "control" or "router.upstream".
  explicit Logger(const std::string& part);

  template <class... Arguments>
  void Debug(fmt::format_string<Arguments...> sentence, Arguments&&... arguments) const {
    if (Enabled(LogLevel::kDebug)) {
      Write(LogLevel::kDebug, fmt::format(sentence, std::forward<Arguments>(arguments)...));
    }
  }
  template <class... Arguments>
  void Info(fmt::format_string<Arguments...> sentence, Arguments&&... arguments) const {
    Write(LogLevel::kInfo, fmt::format(sentence, std::forward<Arguments>(arguments)...));
  }
  template <class... Arguments>
  void Warning(fmt::format_string<Arguments...> sentence, Arguments&&... arguments) const {
    Write(LogLevel::kWarning, fmt::format(sentence, std::forward<Arguments>(arguments)...));
  }
  template <class... Arguments>
  void Error(fmt::format_string<Arguments...> sentence, Arguments&&... arguments) const {
    Write(LogLevel::kError, fmt::format(sentence, std::forward<Arguments>(arguments)...));
  }
  /// Writes a typed error with its remedy.
  void Warning(const graniteseam::Error& error) const {
    Write(LogLevel::kWarning, ToString(error));
  }
  void Error(const graniteseam::Error& error) const { Write(LogLevel::kError, ToString(error)); }

  bool Enabled(LogLevel level) const;
  void Write(LogLevel level, std::string_view sentence) const;

 private:
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace graniteseam::runtime
