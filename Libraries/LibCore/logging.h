#pragma once

#include <string>
#include <string_view>

namespace sassafrasbay {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct LoggingOptions {
  LogLevel level_ = LogLevel::kInfo;
  /// Limit of lines per second for each part; further lines are only counted, and reported later.
  int lines_per_second_ = 200;
};

/// Sets up easylogging++ to write to standard output. Call once, before other threads start.
void InitializeLogging(const LoggingOptions& options);

/// Writes "<time> <level> [<part>] <message>". Thread-safe.
void Log(LogLevel level, std::string_view part, std::string_view message);

inline void LogInfo(std::string_view part, std::string_view message) {
  Log(LogLevel::kInfo, part, message);
}
inline void LogWarning(std::string_view part, std::string_view message) {
  Log(LogLevel::kWarning, part, message);
}
inline void LogError(std::string_view part, std::string_view message) {
  Log(LogLevel::kError, part, message);
}

}  // namespace sassafrasbay
