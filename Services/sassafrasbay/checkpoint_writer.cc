#include "checkpoint_writer.h"

#include <iterator>

#include "LibControl/record_codec.h"
#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr milliseconds kCheckInterval{500};

/// Maximum interval between checkpoints while records arrive; a fraction of any plausible retention
/// of the log.
constexpr milliseconds kMaxCheckpointInterval{600'000};

/// Additional delay for each session before this one in the order of ids; longer than it takes to
/// append a checkpoint and read it back.
constexpr milliseconds kFallbackDelay{5000};

}  // namespace

CheckpointWriter::CheckpointWriter(ReactorLoop& loop, SharedState& shared, LogFollower& follower,
                                   LogWriter& writer, SessionKeeper& session)
    : loop_(loop), shared_(shared), follower_(follower), writer_(writer), session_(session) {}

void CheckpointWriter::Start() {
  latest_applied_at_ = BootClock::now();
  loop_.StartRepeatingTimer(kCheckInterval, [this] { Check(); });
}

void CheckpointWriter::OnApplied(const Record& record) {
  const auto* checkpoint = std::get_if<Checkpoint>(&record.body_);
  if (checkpoint != nullptr && checkpoint->through_offset_ >= latest_through_offset_) {
    latest_through_offset_ = checkpoint->through_offset_;
    latest_applied_at_ = BootClock::now();
  }
}

bool CheckpointWriter::IsDue(BootTime now) const {
  const Offset next = follower_.State().next_offset_;
  // The latest checkpoint is itself a record after the state that it holds.
  const Offset records_since =
      next > latest_through_offset_ + 2 ? next - latest_through_offset_ - 2 : 0;
  return records_since >= static_cast<Offset>(shared_.settings_.checkpoint_records_) ||
         (records_since > 0 && now - latest_applied_at_ >= kMaxCheckpointInterval);
}

void CheckpointWriter::Check() {
  const BootTime now = BootClock::now();
  if (!IsDue(now) || !session_.HoldsLease() || !follower_.IsCaughtUp()) {
    due_since_ = BootTime{};
    return;
  }
  if (due_since_ == BootTime{}) {
    due_since_ = now;
  }
  const ControlState& state = follower_.State();
  const auto own_session = state.sessions_.find(session_.ActiveSession());
  const auto rank = std::distance(state.sessions_.begin(), own_session);
  if (now - due_since_ < kFallbackDelay * rank) {
    return;
  }
  // Keeps this session from writing another one before the fallback delay of the next session.
  due_since_ = now + kFallbackDelay;
  LogInfo("log",
          "Writing a checkpoint through offset " + std::to_string(state.next_offset_ - 1) + ".");
  writer_.Write(Checkpoint{state.next_offset_ - 1, EncodeState(state)},
                LogWriter::RetryPolicy::kNever, [](Offset, const ApplyResult&, BootTime) {});
}

}  // namespace sassafrasbay
