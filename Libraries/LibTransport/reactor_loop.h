#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "LibCore/clock.h"
#include "LibCore/error.h"

namespace sassafrasbay {

/// Bits of the events that a descriptor is watched for.
enum class Readiness : unsigned { kRead = 1, kWrite = 2 };

/// An event loop over an ACE reactor. Only Post and Stop may be called from other threads.
class ReactorLoop {
 public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;  ///< 0 is never a valid id.

  ReactorLoop();
  ~ReactorLoop();
  ReactorLoop(const ReactorLoop&) = delete;
  ReactorLoop& operator=(const ReactorLoop&) = delete;

  /// Runs the loop on the calling thread until Stop is called.
  void Run();
  void Stop();

  /// Queues a task to run on the loop's thread. Thread-safe.
  void Post(Task task);

  TimerId StartTimer(milliseconds delay, Task task);
  TimerId StartRepeatingTimer(milliseconds interval, Task task);
  void CancelTimer(TimerId timer);

  /// Watches a descriptor, level-triggered. `interest` is a combination of Readiness bits; the
  /// callback receives the bits that are ready. A further call for the same descriptor replaces
  /// interest and callback.
  Result<void> Watch(int descriptor, unsigned interest, std::function<void(unsigned)> callback);
  void Unwatch(int descriptor);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sassafrasbay
