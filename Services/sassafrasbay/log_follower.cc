#include "log_follower.h"

#include <charconv>

#include "LibControl/record_codec.h"
#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "log";
constexpr milliseconds kReadWait{1000};
constexpr milliseconds kRetryDelay{100};
constexpr std::size_t kRecordsPerRead = 500;

/// False for the first assignment of a unit, and for records that only start a move: its completion
/// or the end of the session changes the owner.
bool ChangesOwner(const PlacementDecision& decision, const Record& record) {
  const bool only_starts = std::holds_alternative<MovesStarted>(record.body_) ||
                           std::holds_alternative<SessionDraining>(record.body_);
  return !only_starts && !decision.from_.empty() && decision.from_ != decision.to_;
}

struct KnownSession {
  SessionId id_;
  std::string node_;
};

/// The session that the record may end; its node isn't known after that.
KnownSession EndingSession(const ControlState& state, const Record& record) {
  KnownSession known;
  if (const auto* lapse = std::get_if<LapseAttested>(&record.body_)) {
    known.id_ = lapse->session_;
  } else if (const auto* end = std::get_if<SessionEnded>(&record.body_)) {
    known.id_ = end->session_;
  }
  const Session* session = FindSession(state, known.id_);
  known.node_ = session != nullptr ? session->join_.node_ : "an unknown node";
  return known;
}

std::string DescribeSession(const ControlState& state, const KnownSession& ended,
                            const SessionId& id) {
  if (id.empty()) {
    return "nobody";
  }
  const Session* session = FindSession(state, id);
  std::string node = id == ended.id_ ? ended.node_ : "an unknown node";
  if (session != nullptr) {
    node = session->join_.node_;
  }
  return node + " (session " + id + ")";
}

void LogDecision(const ControlState& state, const KnownSession& ended,
                 const PlacementDecision& decision) {
  LogInfo("placement", "Unit " + decision.unit_.service_ + "/" +
                           std::to_string(decision.unit_.unit_) + " goes from " +
                           DescribeSession(state, ended, decision.from_) + " to " +
                           DescribeSession(state, ended, decision.to_) + " under token " +
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
  log_.Read(from, kReadWait, kRecordsPerRead, [this](Result<LogBatch> batch) {
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
  counts_moves_ = counts_moves_ || caught_up_;
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
  loop_.StartTimer(kRetryDelay, [this] { ReadNext(); });
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
    LogWarning(kPart, "Skipped the record at offset " + std::to_string(offset) + ": " +
                          ToString(record.error()) + ".");
    SkipRecord(state_, offset);
    return;
  }
  const KnownSession ended = EndingSession(state_, record.value());
  const ApplyResult verdict = Apply(state_, offset, record.value());
  shared_.metrics_.Count("sassafrasbay_log_records_total",
                         verdict.valid_ ? "valid=\"true\"" : "valid=\"false\"");
  for (const PlacementDecision& decision : verdict.decisions_) {
    // Moves that a starting node replays happened before its time.
    if (counts_moves_ && ChangesOwner(decision, record.value())) {
      shared_.metrics_.Count(kMovesMetric, "service=\"" + decision.unit_.service_ + "\"");
    }
    LogDecision(state_, ended, decision);
  }
  hooks_.on_applied_(offset, record.value(), verdict);
}

void LogFollower::StartScan(Offset first) {
  LogWarning(kPart, "Offset " + std::to_string(state_.next_offset_) +
                        " is no longer retained; looking for a checkpoint from offset " +
                        std::to_string(first) + " on.");
  scanning_ = true;
  scan_first_ = first;
  scan_position_ = first;
  scanned_.clear();
}

void LogFollower::Scan(Offset offset, const std::string& bytes) {
  scanned_.emplace_back(offset, bytes);
  const auto record = DecodeRecord(bytes);
  const auto* checkpoint = record ? std::get_if<Checkpoint>(&record.value().body_) : nullptr;
  // A checkpoint is usable when every record after its state is retained.
  if (checkpoint == nullptr || checkpoint->through_offset_ + 1 < scan_first_) {
    return;
  }
  auto state = DecodeState(checkpoint->state_);
  if (!state || state.value().next_offset_ != checkpoint->through_offset_ + 1) {
    LogWarning(kPart, "Ignored an unreadable checkpoint at offset " + std::to_string(offset) + ".");
    return;
  }
  if (state.value().configuration_version_ < state_.configuration_version_) {
    return;  // Configuration never reverts; a newer checkpoint follows.
  }
  state_ = std::move(state.value());
  scanning_ = false;
  LogInfo(kPart, "Loaded the checkpoint at offset " + std::to_string(offset) + ".");
  const auto replayed = std::exchange(scanned_, {});
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
  scanned_.clear();
  hooks_.on_changed_();
  return true;
}

}  // namespace sassafrasbay
