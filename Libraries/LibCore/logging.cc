#include "LibCore/logging.h"

#include <easylogging++.h>

#include <atomic>
#include <cstdlib>
#include <ctime>
#include <mutex>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/log_rate_limiter.h"

INITIALIZE_EASYLOGGINGPP

namespace sassafrasbay {
namespace {

struct LoggingState {
  std::atomic<LogLevel> level_{LoggingOptions{}.level_};
  std::mutex mutex_;
  LogRateLimiter limiter_{.lines_per_second_ = LoggingOptions{}.lines_per_second_};
};

// Never destroyed: threads and exit handlers may still log while static objects are destroyed.
LoggingState& State() {
  static LoggingState& state = *new LoggingState;
  return state;
}

// easylogging++ prints local time, but logs of several regions are only comparable in UTC.
std::string UtcTime(const el::LogMessage* /*message*/) {
  const WallTime now = WallNow();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  std::tm fields{};
  gmtime_r(&seconds, &fields);
  char date[32];
  const std::size_t length = std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &fields);
  const auto thousandths = now.time_since_epoch().count() % 1000;
  std::string digits = std::to_string(1000 + thousandths);
  digits.front() = '.';
  return std::string(date, length) + digits + "Z";
}

bool ConfigureLibrary() {
  el::Helpers::installCustomFormatSpecifier(el::CustomFormatSpecifier("%utc_time", UtcTime));
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::Format, "%utc_time %level %msg");
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureLogger("default", configurations);
  return true;
}

// Messages may contain data of callers, whose line breaks must not be able to forge log lines.
std::string EscapeControlCharacters(std::string_view text) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string result;
  result.reserve(text.size());
  for (const char character : text) {
    const auto code = static_cast<unsigned char>(character);
    if (code >= 0x20 && code != 0x7f) {
      result += character;
      continue;
    }
    result += "\\x";
    result += kDigits[code >> 4U];
    result += kDigits[code & 0xFU];
  }
  return result;
}

void Write(LogLevel level, std::string_view part, std::string_view message) {
  static const bool kConfigured = ConfigureLibrary();
  static_cast<void>(kConfigured);
  std::string line = "[" + EscapeControlCharacters(part) + "] ";
  line += EscapeControlCharacters(message);
  switch (level) {
    case LogLevel::kDebug:
      LOG(DEBUG) << line;
      return;
    case LogLevel::kInfo:
      LOG(INFO) << line;
      return;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      return;
    case LogLevel::kError:
      LOG(ERROR) << line;
      return;
  }
}

void WriteSummaries(const std::vector<SuppressedLines>& suppressed) {
  for (const SuppressedLines& entry : suppressed) {
    Write(LogLevel::kWarning, entry.part_,
          "lines suppressed over the limit per second: " + std::to_string(entry.lines_));
  }
}

void WriteRemainingSummaries() {
  std::vector<SuppressedLines> suppressed;
  {
    const std::scoped_lock lock(State().mutex_);
    suppressed = TakeSuppressedLines(State().limiter_);
  }
  WriteSummaries(suppressed);
}

}  // namespace

void InitializeLogging(const LoggingOptions& options) {
  LoggingState& state = State();
  state.level_ = options.level_;
  {
    const std::scoped_lock lock(state.mutex_);
    state.limiter_.lines_per_second_ = options.lines_per_second_;
  }
  static const bool kRegistered = std::atexit(WriteRemainingSummaries) == 0;
  static_cast<void>(kRegistered);
}

void Log(LogLevel level, std::string_view part, std::string_view message) {
  LoggingState& state = State();
  if (level < state.level_.load(std::memory_order_relaxed)) {
    return;
  }
  LineDecision decision;
  {
    const std::scoped_lock lock(state.mutex_);
    decision = AdmitLine(state.limiter_, part, BootClock::now());
  }
  WriteSummaries(decision.suppressed_);
  if (decision.write_) {
    Write(level, part, message);
  }
}

}  // namespace sassafrasbay
