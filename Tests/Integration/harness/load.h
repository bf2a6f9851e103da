#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "harness/fleet.h"
#include "harness/history.h"

namespace sassafrasbay::harness {

/// The answer to one request of the steady load. Times are CLOCK_BOOTTIME.
struct LoadAnswer {
  AnswerRecord record_;
  std::size_t node_ = 0;  ///< Index of the node that was asked.
  std::int64_t sent_ms_ = 0;
  std::int64_t answered_ms_ = 0;
  bool connected_ = false;  ///< The node accepted the connection.
  bool succeeded_ = false;  ///< Answered with status 200 and the right body.
};

/// A steady stream of requests for each key to all nodes until Stop. Three in four requests are
/// idempotent, the others binding. Each key is sampled every 20 ms, each time at another node and
/// from another thread, so that a node that doesn't answer hides nothing.
class SteadyLoad {
 public:
  SteadyLoad(Fleet& fleet, std::span<const std::string> keys);
  ~SteadyLoad();
  SteadyLoad(const SteadyLoad&) = delete;
  SteadyLoad& operator=(const SteadyLoad&) = delete;

  /// Sends nothing until Release; returns when no request is open.
  void Suspend();
  void Resume() { suspended_ = false; }

  /// Waits for the open requests.
  void Stop();
  std::vector<LoadAnswer> Answers() const;

 private:
  void Run(std::size_t node, std::uint16_t port, const std::string& key, milliseconds phase,
           milliseconds period);

  std::atomic<bool> stopping_ = false;
  std::atomic<bool> suspended_ = false;
  std::atomic<int> open_ = 0;
  mutable std::mutex mutex_;
  std::vector<LoadAnswer> answers_;
  std::vector<std::jthread> threads_;
};

std::int64_t NowMs();

/// A new UUIDv7 of the present wall-clock time.
std::string NewIdempotencyKey();

/// One GET or PUT of a key of the service "bench"; a PUT is binding.
LoadAnswer SendLoadRequest(std::uint16_t port, std::string_view method, const std::string& key,
                           milliseconds timeout, std::string_view marks = {});

/// Longest time without a successful answer for the key within the interval, in ms.
std::int64_t MaxGapMs(std::span<const LoadAnswer> answers, std::string_view key,
                      std::int64_t from_ms, std::int64_t to_ms);

/// All checks of harness/history.h, and that no answer belongs to another request.
Violations CheckHistory(std::span<const RunRecord> runs, std::span<const LoadAnswer> answers);

}  // namespace sassafrasbay::harness
