#include "router/key_table_writer.h"

#include <algorithm>
#include <utility>

#include "LibCore/logging.h"
#include "LibOwnership/key_table_codec.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "ownership";

/// Backoff after a failed append, so that an unreachable store isn't called at each decision.
constexpr milliseconds kFailureBackoff{300};

/// Backoff after a conflict: the record that another node appended has to be read first.
constexpr milliseconds kConflictBackoff{20};

}  // namespace

KeyTableWriter::KeyTableWriter(
    RecordStore& store, SharedPromises& promises,
    std::function<void(const KeyedRecord&, std::uint64_t era)> on_written)
    : store_(store), promises_(promises), on_written_(std::move(on_written)) {}

void KeyTableWriter::Decide(const KeyTable& table, const TopicPosition& end, OwnershipView view) {
  if (in_flight_ || view.now_ < backoff_until_) {
    return;
  }
  view.moves_first_read_ = moves_first_read_;
  view.moves_cancelled_at_ = moves_cancelled_at_;
  view.last_balance_ = last_balance_;
  view.last_release_ = last_release_;
  std::erase_if(recent_moves_, [&](const RecentMove& recent) {
    return view.now_ - recent.planned_at_ > kRecentMoveRetention;
  });
  view.recent_moves_ = recent_moves_;
  view.promised_until_ = promises_.GivenUntil();
  auto change = DecideOwnershipChange(table, view);
  if (!change) {
    return;
  }
  for (const std::string& owner : change->taken_over_nodes_) {
    if (!promises_.Withhold(owner, end, view.now_)) {
      return;  // A promise was given meanwhile; the next decision respects it.
    }
  }
  LogInfo(kPart, "service=" + table.service_ + " base_version=" + std::to_string(table.version_) +
                     " at=" + ToString(end) + " nodes=" + std::to_string(view.reachable_nodes_) +
                     "/" + std::to_string(view.known_nodes_) + " change=\"" + change->reason_ +
                     "\".");
  if (!change->moves_.empty()) {
    last_balance_ = view.now_;
    for (const PlannedMove& move : change->moves_) {
      recent_moves_.push_back({move, view.now_});
    }
  }
  if (change->is_release_) {
    last_release_ = view.now_;
  }
  in_flight_ = true;
  decided_at_ = view.now_;
  const KeyedRecord record{0, std::string(kTablePrefix) + table.service_,
                           EncodeKeyTable(change->table_)};
  store_.Append(kFleetTopic, {&record, 1}, end.offset_,
                [this, record, era = end.era_,
                 reason = change->reason_](const Result<TopicPosition>& position) {
                  OnAppendResult(reason, record, era, position);
                });
}

void KeyTableWriter::OnAppendResult(const std::string& reason, KeyedRecord record,
                                    std::uint64_t era, const Result<TopicPosition>& position) {
  in_flight_ = false;
  if (position && position.value().era_ == era) {
    record.offset_ = position.value().offset_;
    on_written_(record, era);
    return;
  }
  // The store was restored, and its topic ends where the former one ended when this was decided.
  if (position) {
    backoff_until_ = decided_at_ + kFailureBackoff;
    LogWarning(kPart, "change=\"" + reason + "\" was decided in era " + std::to_string(era) +
                          " and written at " + ToString(position.value()) + "; not in force.");
    return;
  }
  const bool conflict = position.error().code_ == make_error_code(Errc::kConflict);
  backoff_until_ = decided_at_ + (conflict ? kConflictBackoff : kFailureBackoff);
  LogInfo(kPart, "change=\"" + reason + "\" not_written=\"" + ToString(position.error()) + "\".");
}

void KeyTableWriter::OnTableChanged(const KeyTable& before, const KeyTable& after, BootTime now) {
  for (const KeyRange& range : before.ranges_) {
    if (!range.successor_ || range.planned_) {
      continue;
    }
    const KeyRange* same = FindRange(after, range.first_);
    if (same != nullptr && same->owner_ == range.owner_ && !same->successor_) {
      moves_cancelled_at_[range.owner_] = now;
    }
  }
  TrackMoves(after, now, moves_first_read_);
}

}  // namespace sassafrasbay
