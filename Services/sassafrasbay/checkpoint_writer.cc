#include "checkpoint_writer.h"

#include <iterator>

#include "LibControl/record_codec.h"
#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr milliseconds kCheckInterval{500};

/// Longest time between checkpoints while records arrive; a fraction of any plausible retention.
constexpr milliseconds kLongestInterval{600'000};

/// Wait of each further session: longer than an append and its read take.
constexpr milliseconds kFallbackDelay{5000};

}  // namespace

CheckpointWriter::CheckpointWriter(ReactorLoop& loop, SharedState& shared, LogFollower& follower,
                                   LogWriter& writer, SessionKeeper& session)
    : loop_(loop), shared_(shared), follower_(follower), writer_(writer), session_(session) {}

void CheckpointWriter::Start() {
  latest_at_ = BootClock::now();
  loop_.StartRepeatingTimer(kCheckInterval, [this] { Check(); });
}

void CheckpointWriter::OnApplied(const Record& record) {
  const auto* checkpoint = std::get_if<Checkpoint>(&record.body_);
  if (checkpoint != nullptr && checkpoint->through_offset_ >= latest_through_) {
    latest_through_ = checkpoint->through_offset_;
    latest_at_ = BootClock::now();
  }
}

bool CheckpointWriter::IsDue(BootTime now) const {
  const Offset next = follower_.State().next_offset_;
  // The latest checkpoint is itself a record after its state.
  const Offset since = next > latest_through_ + 2 ? next - latest_through_ - 2 : 0;
  return since >= static_cast<Offset>(shared_.settings_.checkpoint_records_) ||
         (since > 0 && now - latest_at_ >= kLongestInterval);
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
  const auto own = state.sessions_.find(session_.ActiveSession());
  const auto rank = std::distance(state.sessions_.begin(), own);
  if (now - due_since_ < kFallbackDelay * rank) {
    return;
  }
  // Not due again before the fallback of the next session would start.
  due_since_ = now + kFallbackDelay;
  LogInfo("log",
          "Writing a checkpoint through offset " + std::to_string(state.next_offset_ - 1) + ".");
  writer_.Write(Checkpoint{state.next_offset_ - 1, EncodeState(state)}, LogWriter::Repeat::kNever,
                [](Offset, const ApplyResult&, BootTime) {});
}

}  // namespace sassafrasbay
