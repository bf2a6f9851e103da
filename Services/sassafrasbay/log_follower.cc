#include "log_follower.h"

#include <charconv>

#include "LibControl/record_codec.h"
#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "log";
constexpr milliseconds kLongPollTimeout{1000};
constexpr milliseconds kReadRetryBackoff{100};
constexpr std::size_t kRecordsPerRead = 500;

/// Returns whether the decision moves a unit from one owner to another. False for the first
/// assignment of a unit, and for records that only start a move: the owner changes with the
/// completion of the move or the end of the owner's session.
bool ChangesOwner(const PlacementDecision& decision, const Record& record) {
  const bool only_starts = std::holds_alternative<MovesStarted>(record.body_) ||
                           std::holds_alternative<SessionDraining>(record.body_);
  return !only_starts && !decision.from_.empty() && decision.from_ != decision.to_;
}

struct NamedSession {
  SessionId id_;
  std::string node_;
};

/// Returns the session that the record may end, with the name of its node. Called before the record
/// is applied, since the control state no longer has the name afterwards.
NamedSession EndingSession(const ControlState& state, const Record& record) {
  NamedSession named;
  if (const auto* lapse = std::get_if<LapseAttested>(&record.body_)) {
    named.id_ = lapse->session_;
  } else if (const auto* end = std::get_if<SessionEnded>(&record.body_)) {
    named.id_ = end->session_;
  }
  const Session* session = FindSession(state, named.id_);
  named.node_ = session != nullptr ? session->join_.node_ : "an unknown node";
  return named;
}

std::string DescribeSession(const ControlState& state, const NamedSession& ending,
                            const SessionId& id) {
  if (id.empty()) {
    return "nobody";
  }
  const Session* session = FindSession(state, id);
  std::string node = id == ending.id_ ? ending.node_ : "an unknown node";
  if (session != nullptr) {
    node = session->join_.node_;
  }
  return node + " (session " + id + ")";
}

void LogDecision(const ControlState& state, const NamedSession& ending,
                 const PlacementDecision& decision) {
  LogInfo("placement", "Unit " + decision.unit_.service_ + "/" +
                           std::to_string(decision.unit_.unit_) + " moves from " +
                           DescribeSession(state, ending, decision.from_) + " to " +
                           DescribeSession(state, ending, decision.to_) + " under token " +
                           std::to_string(decision.token_) + ": " + decision.reason_ + ".");
}

}  // namespace

LogFollower::LogFollower(ReactorLoop& loop, SharedState& shared, LogClient& log)
    : loop_(loop), shared_(shared), log_(log) {}

void LogFollower::ReadNext() {
  if (stopped_) {
    return;
  }
  const Offset from = scanning_ ? scan_position_ : state_.next_offset_;
  log_.Read(from, kLongPollTimeout, kRecordsPerRead, [this](Result<LogBatch> batch) {
    if (!batch) {
      OnError(batch.error());
      return;
    }
    OnBatch(batch.value());
    ReadNext();
  });
}

void LogFollower::OnBatch(const LogBatch& batch) {
  const bool was_caught_up = caught_up_;
  bool changed = false;
  for (const auto& [offset, bytes] : batch.records_) {
    if (scanning_) {
      scan_position_ = offset + 1;
      Scan(offset, bytes);
    } else if (offset == state_.next_offset_) {
      ApplyBytes(offset, bytes);
    }
    changed = changed || !scanning_;
  }
  caught_up_ = !scanning_ && batch.records_.size() < kRecordsPerRead;
  has_caught_up_once_ = has_caught_up_once_ || caught_up_;
  if (caught_up_ && !was_caught_up) {
    hooks_.on_caught_up_();
  }
  if ((changed || caught_up_ != was_caught_up) && !scanning_) {
    hooks_.on_changed_();
  }
}

void LogFollower::OnError(const Error& error) {
  caught_up_ = false;
  shared_.metrics_.Count("sassafrasbay_log_read_errors_total");
  if (error.code_ == Errc::kTruncated) {
    Offset first = 0;
    std::from_chars(error.detail_.data(), error.detail_.data() + error.detail_.size(), first);
    StartScan(first);
    ReadNext();
    return;
  }
  LogWarning(kPart, "Reading failed: " + ToString(error) + ".");
  loop_.StartTimer(kReadRetryBackoff, [this] { ReadNext(); });
}

void LogFollower::ApplyBytes(Offset offset, const std::string& bytes) {
  auto record = DecodeRecord(bytes);
  if (!record) {
    if (record.error().code_ == Errc::kUnsupportedVersion) {
      stopped_ = true;
      LogError(kPart, "Stopped at offset " + std::to_string(offset) +
                          ": the record needs a newer version of this program.");
      return;
    }
    shared_.metrics_.Count("sassafrasbay_log_records_rejected_total");
    LogWarning(kPart, "Skipped the record at offset " + std::to_string(offset) +
                          ", which can't be decoded: " + ToString(record.error()) + ".");
    SkipRecord(state_, offset);
    return;
  }
  const NamedSession ending = EndingSession(state_, record.value());
  const ApplyResult result = Apply(state_, offset, record.value());
  shared_.metrics_.Count("sassafrasbay_log_records_total",
                         result.valid_ ? "valid=\"true\"" : "valid=\"false\"");
  for (const PlacementDecision& decision : result.decisions_) {
    // A starting node replays moves that took place before its start; the counter leaves them out.
    if (has_caught_up_once_ && ChangesOwner(decision, record.value())) {
      shared_.metrics_.Count(kOwnershipMovesMetric, "service=\"" + decision.unit_.service_ + "\"");
    }
    LogDecision(state_, ending, decision);
  }
  hooks_.on_applied_(offset, record.value(), result);
}

void LogFollower::StartScan(Offset first) {
  LogWarning(kPart, "Offset " + std::to_string(state_.next_offset_) +
                        " is no longer retained; searching for a checkpoint from offset " +
                        std::to_string(first) + " on.");
  scanning_ = true;
  scan_first_ = first;
  scan_position_ = first;
  scanned_records_.clear();
}

void LogFollower::Scan(Offset offset, const std::string& bytes) {
  scanned_records_.emplace_back(offset, bytes);
  const auto record = DecodeRecord(bytes);
  const auto* checkpoint = record ? std::get_if<Checkpoint>(&record.value().body_) : nullptr;
  // A checkpoint is usable only when the log still retains every record after its state.
  if (checkpoint == nullptr || checkpoint->through_offset_ + 1 < scan_first_) {
    return;
  }
  auto state = DecodeState(checkpoint->state_);
  if (!state || state.value().next_offset_ != checkpoint->through_offset_ + 1) {
    LogWarning(kPart,
               "Ignored a checkpoint whose state can't be decoded or doesn't end at its "
               "through_offset, at offset " +
                   std::to_string(offset) + ".");
    return;
  }
  if (state.value().configuration_version_ < state_.configuration_version_) {
    // The configuration must never revert to an earlier version. A newer checkpoint follows.
    return;
  }
  state_ = std::move(state.value());
  scanning_ = false;
  LogInfo(kPart, "Loaded the checkpoint at offset " + std::to_string(offset) + ".");
  const auto replayed = std::exchange(scanned_records_, {});
  for (const auto& [position, data] : replayed) {
    if (position == state_.next_offset_) {
      ApplyBytes(position, data);
    }
  }
}

bool LogFollower::AdoptSnapshot(ControlState state) {
  if (state.next_offset_ <= state_.next_offset_ ||
      state.configuration_version_ < state_.configuration_version_) {
    return false;
  }
  LogInfo(kPart,
          "Adopted a peer's snapshot up to offset " + std::to_string(state.next_offset_) + ".");
  state_ = std::move(state);
  scanning_ = false;
  scanned_records_.clear();
  hooks_.on_changed_();
  return true;
}

}  // namespace sassafrasbay
