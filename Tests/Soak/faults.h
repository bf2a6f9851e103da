#pragma once

#include <random>
#include <string>

#include "Soak/fleet.h"

namespace sassafrasbay::soak {

/// Injects faults at random times, several at once, until it is told to stop.
class Faults {
 public:
  Faults(ReactorLoop& loop, Ledger& ledger, std::mt19937_64& random, Fleet& fleet);

  void Start();
  /// Injects nothing more. Those at work end by themselves within `kLongest`.
  void Stop() { stopped_ = true; }
  int Open() const { return open_; }

  static constexpr milliseconds kLongest{8000};

 private:
  void Next();
  void Inject();
  /// Notes a fault and its end after a random time; unplanned ones excuse what they break.
  void Last(const std::string& what, milliseconds shortest, milliseconds longest, bool planned,
            std::function<void()> end);
  void Kill(std::size_t node);
  void Pause(std::size_t node);
  void Terminate(std::size_t node);
  void AwaitEnd(std::size_t node, BootTime limit);
  void HarmLink(std::size_t node, bool store);
  void Isolate(std::size_t node);
  void HarmStore();
  void CrashTarget(std::size_t node);
  void ReplaceTarget(std::size_t node);
  milliseconds Between(milliseconds shortest, milliseconds longest);
  bool Chance(double probability);

  ReactorLoop& loop_;
  Ledger& ledger_;
  std::mt19937_64& random_;
  Fleet& fleet_;
  BootTime started_;
  bool stopped_ = false;
  bool store_harmed_ = false;
  int open_ = 0;
  int unplanned_ = 0;
};

}  // namespace sassafrasbay::soak
