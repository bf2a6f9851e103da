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

/// Reads the log, folds its records into the control state, and recovers from truncation by the
/// newest usable checkpoint.
class LogFollower {
 public:
  struct Hooks {
    /// Each record that was applied, with its verdict.
    std::function<void(Offset, const Record&, const ApplyResult&)> on_applied_;
    /// After each batch that changed the state, and after a checkpoint or snapshot was loaded.
    std::function<void()> on_changed_;
    /// After the start, an error or a gap.
    std::function<void()> on_caught_up_ = [] {};
  };

  LogFollower(ReactorLoop& loop, SharedState& shared, LogClient& log);
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  void SetHooks(Hooks hooks) { hooks_ = std::move(hooks); }
  void Start() { ReadNext(); }

  const ControlState& State() const { return state_; }

  /// Whether the latest read succeeded and reached the end of the log as of then.
  bool IsCaughtUp() const { return caught_up_; }

  /// Adopts a peer's snapshot when it is ahead. False when it isn't.
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
  bool counts_moves_ = false;  ///< The log has been read to its end once.
  bool stopped_ = false;
  /// While scanning for a checkpoint: records read so far, from the first retained one.
  bool scanning_ = false;
  Offset scan_position_ = 0;
  Offset scan_first_ = 0;
  std::vector<std::pair<Offset, std::string>> scanned_;
};

}  // namespace sassafrasbay
