#define BOOST_TEST_MODULE Logging
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <iostream>
#include <regex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "LibCore/log_rate_limiter.h"
#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

/// Collects what is written to std::cout during its lifetime.
class CapturedOutput {
 public:
  CapturedOutput() : previous_(std::cout.rdbuf(stream_.rdbuf())) {}
  ~CapturedOutput() { std::cout.rdbuf(previous_); }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

  std::vector<std::string> Lines() const {
    std::istringstream text(stream_.str());
    std::vector<std::string> lines;
    for (std::string line; std::getline(text, line);) {
      lines.push_back(line);
    }
    return lines;
  }

 private:
  std::ostringstream stream_;
  std::streambuf* previous_;
};

BootTime At(int milliseconds_since_boot) {
  return BootTime(std::chrono::milliseconds(milliseconds_since_boot));
}

// Guards against a change of the line format, which operators' tools parse.
BOOST_AUTO_TEST_CASE(LineHasTimeLevelPartAndMessage) {
  InitializeLogging({.level_ = LogLevel::kInfo, .lines_per_second_ = 1000});
  const CapturedOutput captured;
  LogWarning("lease", "lease of 100% ended %msg %level");
  Log(LogLevel::kDebug, "lease", "below the level");
  const auto lines = captured.Lines();
  BOOST_REQUIRE(lines.size() == 1U);
  const std::regex format(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z WARNING )"
                          R"(\[lease\] lease of 100% ended %msg %level)");
  BOOST_TEST(std::regex_match(lines.front(), format), "got: " << lines.front());
}

// Guards against data from a caller forging a log line.
BOOST_AUTO_TEST_CASE(LineBreaksAreEscaped) {
  InitializeLogging({.level_ = LogLevel::kInfo, .lines_per_second_ = 1000});
  const CapturedOutput captured;
  LogInfo("http", "path /a\r\nINFO [lease] forged");
  const auto lines = captured.Lines();
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines.front().find("/a\\x0d\\x0aINFO") != std::string::npos);
}

// Guards against one part using up the limit of others, and against unreported suppressed lines.
BOOST_AUTO_TEST_CASE(RateLimitAppliesPerPartAndSecond) {
  LogRateLimiter limiter{.lines_per_second_ = 2};
  for (const bool expected : {true, true, false, false, false}) {
    BOOST_TEST(AdmitLine(limiter, "routing", At(5000)).write_ == expected);
  }
  BOOST_TEST(AdmitLine(limiter, "lease", At(5999)).write_);
  const LineDecision next = AdmitLine(limiter, "lease", At(6000));
  BOOST_TEST(next.write_);
  BOOST_REQUIRE(next.suppressed_.size() == 1U);
  BOOST_TEST(next.suppressed_.front().part_ == "routing");
  BOOST_TEST(next.suppressed_.front().lines_ == 3U);
  BOOST_TEST(AdmitLine(limiter, "routing", At(6001)).suppressed_.empty());
}

// Guards against a late thread resetting the counts by passing a timestamp of an earlier second.
BOOST_AUTO_TEST_CASE(EarlierTimestampCountsInCurrentSecond) {
  LogRateLimiter limiter{.lines_per_second_ = 1};
  BOOST_TEST(AdmitLine(limiter, "lease", At(7000)).write_);
  BOOST_TEST(!AdmitLine(limiter, "lease", At(6999)).write_);
  BOOST_TEST(!AdmitLine(limiter, "lease", At(7001)).write_);
}

// Guards against the summary being computed but never written.
BOOST_AUTO_TEST_CASE(SuppressedLinesAreSummarized) {
  InitializeLogging({.level_ = LogLevel::kInfo, .lines_per_second_ = 0});
  const CapturedOutput captured;
  LogInfo("placement", "suppressed");
  InitializeLogging({.level_ = LogLevel::kInfo, .lines_per_second_ = 1000});
  std::this_thread::sleep_for(std::chrono::milliseconds(1001));
  LogInfo("lease", "first line of a later second");
  const auto lines = captured.Lines();
  BOOST_REQUIRE(lines.size() == 2U);
  BOOST_TEST(
      lines.front().ends_with(" WARNING [placement] lines suppressed over the limit per second: 1"),
      "got: " << lines.front());
  BOOST_TEST(lines.back().ends_with(" INFO [lease] first line of a later second"));
}

// Guards against interleaved or lost lines when both threads of a node log.
BOOST_AUTO_TEST_CASE(ConcurrentLinesAreNotInterleaved) {
  InitializeLogging({.level_ = LogLevel::kInfo, .lines_per_second_ = 100000});
  const CapturedOutput captured;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([] {
      for (int line = 0; line < 100; ++line) {
        LogInfo("traffic", "one whole line");
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const auto lines = captured.Lines();
  BOOST_TEST(lines.size() == 400U);
  BOOST_TEST(std::all_of(lines.begin(), lines.end(), [](const std::string& line) {
    return line.ends_with(" INFO [traffic] one whole line");
  }));
}

}  // namespace
}  // namespace sassafrasbay
