#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "LibControl/control_state.h"
#include "LibControl/records.h"
#include "LibTransport/log_client.h"
#include "LibTransport/reactor_loop.h"
#include "shared_state.h"

namespace sassafrasbay {

/// Reads the log and applies its records to the control state. When the next record is no longer
/// retained, recovers from the first usable checkpoint that it reads.
class LogFollower {
 public:
  struct Hooks {
    /// Called for each applied record; the result says whether the record was valid.
    std::function<void(Offset, const Record&, const ApplyResult&)> on_applied_;
    /// Called after each batch that changed the state or the result of IsCaughtUp(), and after a
    /// checkpoint or snapshot was loaded.
    std::function<void()> on_changed_;
    /// Called when the end of the log is reached after the start, an error or a gap.
    std::function<void()> on_caught_up_ = [] {};
  };

  LogFollower(ReactorLoop& loop, SharedState& shared, LogClient& log);
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  void SetHooks(Hooks hooks) { hooks_ = std::move(hooks); }
  void Start() { ReadNext(); }

  const ControlState& State() const { return state_; }

  /// Whether the latest read succeeded and reached the end of the log at the time of the read.
  bool IsCaughtUp() const { return caught_up_; }

  /// Replaces the state by a peer's snapshot when the snapshot is ahead; otherwise returns false.
  bool AdoptSnapshot(ControlState state);

 private:
  void ReadNext();
  void OnBatch(const LogBatch& batch);
  void OnError(const Error& error);
  void ApplyBytes(Offset offset, const std::string& bytes);
  void StartScan(Offset first);
  void Scan(Offset offset, const std::string& bytes);

  ReactorLoop& loop_;
  SharedState& shared_;
  LogClient& log_;
  Hooks hooks_;
  ControlState state_;
  bool caught_up_ = false;
  bool has_caught_up_once_ = false;  ///< Owner changes are counted since then.
  bool stopped_ = false;
  /// Set while the follower looks for a usable checkpoint, from the first retained record on.
  bool scanning_ = false;
  Offset scan_position_ = 0;
  Offset scan_first_ = 0;
  /// The records read during the scan; those after the checkpoint's state are applied once it is
  /// loaded.
  std::vector<std::pair<Offset, std::string>> scanned_records_;
};

}  // namespace sassafrasbay
