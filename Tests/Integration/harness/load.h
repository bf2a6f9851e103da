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

/// The answer to one request of SteadyLoad. Times are CLOCK_BOOTTIME.
struct LoadAnswer {
  AnswerRecord record_;
  std::size_t node_ = 0;  ///< Index of the node that received the request.
  std::int64_t sent_ms_ = 0;
  std::int64_t answered_ms_ = 0;
  bool connected_ = false;  ///< The node accepted the connection.
  bool succeeded_ = false;  ///< Answered with status 200 and the expected body.
};

/// Sends requests for each key at a constant rate until Stop. Three in four requests are
/// idempotent, the others binding. A request for each key is due every 20 ms, to the nodes in turn.
/// Each pair of key and node has a thread of its own, so that a node that doesn't answer delays
/// only its own requests and the key is still sampled through the other nodes.
class SteadyLoad {
 public:
  SteadyLoad(Fleet& fleet, std::span<const std::string> keys);
  ~SteadyLoad();
  SteadyLoad(const SteadyLoad&) = delete;
  SteadyLoad& operator=(const SteadyLoad&) = delete;

  /// Sends no requests until Resume. Returns when no request is in flight.
  void Suspend();
  void Resume() { suspended_ = false; }

  /// Stops sending and waits for the requests in flight.
  void Stop();
  std::vector<LoadAnswer> Answers() const;

 private:
  void Run(std::size_t node, std::uint16_t port, const std::string& key, milliseconds phase,
           milliseconds period);

  std::atomic<bool> stopping_ = false;
  std::atomic<bool> suspended_ = false;
  std::atomic<int> in_flight_ = 0;
  mutable std::mutex mutex_;
  std::vector<LoadAnswer> answers_;
  std::vector<std::jthread> threads_;
};

/// CLOCK_BOOTTIME in ms.
std::int64_t NowMs();

/// Returns a new UUIDv7 with the current wall-clock time.
std::string NewIdempotencyKey();

/// Sends a GET or PUT for a key of the service "bench". A PUT is binding. `stand_in_header` is the
/// value of the header Stand-In, which is not sent when empty.
LoadAnswer SendLoadRequest(std::uint16_t port, std::string_view method, const std::string& key,
                           milliseconds timeout, std::string_view stand_in_header = {});

/// Returns the maximum time without a successful answer for the key between two times, in ms.
std::int64_t MaxGapMs(std::span<const LoadAnswer> answers, std::string_view key,
                      std::int64_t from_ms, std::int64_t to_ms);

/// Runs all checks of harness/history.h, and checks that no answer belongs to another request.
Violations CheckHistory(std::span<const RunRecord> runs, std::span<const LoadAnswer> answers);

}  // namespace sassafrasbay::harness
