#pragma once

#include <random>
#include <string>

#include "Soak/fleet.h"

namespace sassafrasbay::soak {

/// Injects random faults at random times until it is stopped. Faults may overlap. The random draws
/// and their order determine the sequence of faults for a seed.
class Faults {
 public:
  Faults(ReactorLoop& loop, Ledger& ledger, std::mt19937_64& random, Fleet& fleet);

  void Start();
  /// Stops injecting faults. Active faults end by themselves within `kMaxFaultDuration`.
  void Stop() { stopped_ = true; }
  int ActiveFaults() const { return active_; }

  static constexpr milliseconds kMaxFaultDuration{8000};

 private:
  void ScheduleNextFault();
  void Inject();
  /// Logs a fault that has just been injected and calls `end` after a random duration. Unless it is
  /// `planned`, the ledger is told of it as a disruption.
  void BeginFault(const std::string& what, milliseconds min_duration, milliseconds max_duration,
                  bool planned, std::function<void()> end);
  void BeginFaultFor(const std::string& what, milliseconds duration, bool planned,
                     std::function<void()> end);
  void ScheduleNextRestore();
  void RestoreStore(milliseconds age, milliseconds duration);
  void Kill(std::size_t node);
  void Pause(std::size_t node);
  void Terminate(std::size_t node);
  void AwaitExit(std::size_t node, BootTime deadline);
  void DisruptLink(std::size_t node, bool store);
  void Isolate(std::size_t node);
  void SilenceConnections();
  void DisruptStore();
  void CrashTarget(std::size_t node);
  void ReplaceTarget(std::size_t node);
  milliseconds RandomDuration(milliseconds min_duration, milliseconds max_duration);
  bool Chance(double probability);

  ReactorLoop& loop_;
  Ledger& ledger_;
  std::mt19937_64& random_;
  std::mt19937_64 restore_random_;  ///< Separate, so that restores don't change the other faults.
  Fleet& fleet_;
  BootTime started_;
  bool stopped_ = false;
  bool store_disrupted_ = false;
  int active_ = 0;
  int active_unplanned_ = 0;
};

}  // namespace sassafrasbay::soak
