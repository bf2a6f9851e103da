#include "owned_units.h"

#include <algorithm>
#include <utility>

#include "LibCore/logging.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "units";
constexpr milliseconds kHandoverTimeout{500};
constexpr milliseconds kHandoverRetryDelay{100};
constexpr milliseconds kRunningPoll{20};
constexpr milliseconds kRecoveryRetryDelay{300};
constexpr milliseconds kCopyRepeatDelay{500};

/// About 3 s with time-outs: a grantor that is silent for longer is ended by its own grantors.
constexpr int kMaxRecoveryAttempts = 6;

/// Shard of the key that an override was split off for; nothing when the unit is a shard.
std::optional<std::uint32_t> ShardOfOverride(const ControlState& state, const UnitId& id) {
  const auto service = state.services_.find(id.service_);
  if (id.unit_ < kFirstOverrideUnit || service == state.services_.end()) {
    return std::nullopt;
  }
  for (const auto& [key_hash, item] : service->second.overrides_) {
    if (item.unit_ == id.unit_) {
      return static_cast<std::uint32_t>(key_hash % service->second.shards_.size());
    }
  }
  return std::nullopt;
}

std::string Describe(const UnitId& unit, Offset token) {
  return unit.service_ + "/" + std::to_string(unit.unit_) + " under token " + std::to_string(token);
}

}  // namespace

OwnedUnits::OwnedUnits(ReactorLoop& loop, SharedState& shared, const StateChart& chart,
                       UpstreamLink& link, TrafficPeers& peers, RequestCopies& copies,
                       RequestTable& table)
    : loop_(loop),
      shared_(shared),
      chart_(chart),
      link_(link),
      peers_(peers),
      copies_(copies),
      table_(table) {}

void OwnedUnits::SetSnapshot(const std::shared_ptr<const RoutingSnapshot>& snapshot) {
  const bool session_changed = snapshot_ && snapshot_->own_session_ != snapshot->own_session_;
  snapshot_ = snapshot;
  if (session_changed) {
    // A new session inherits nothing, not even a unit that both sessions own by the log.
    while (!units_.empty()) {
      Drop(units_.begin()->first, "the session has changed");
    }
    released_.clear();
    early_handovers_.clear();
  }
  DropMissing();
  const Session* own = FindSession(*snapshot_->state_, snapshot_->own_session_);
  if (own != nullptr) {
    const auto service = snapshot_->state_->services_.find(own->join_.service_);
    if (service != snapshot_->state_->services_.end()) {
      ForEachUnit(service->first, service->second,
                  [this](const UnitId& id, const Unit& unit) { Synchronize(id, unit); });
    }
    units_changed_ = units_changed_ || own->grantors_changed_at_ != grantors_changed_at_;
    grantors_changed_at_ = own->grantors_changed_at_;
  }
  if (units_changed_) {
    UnitsChanged();
  }
}

void OwnedUnits::DropMissing() {
  std::vector<UnitId> gone;
  for (const auto& [id, held] : units_) {
    const Unit* unit = FindUnit(*snapshot_->state_, id);
    // A newer token of the same owner continues its tenure unless it has released the unit.
    const bool owner = unit != nullptr && unit->owner_ == snapshot_->own_session_ &&
                       unit->token_ >= held.token_ && !released_.contains(id);
    const bool successor = unit != nullptr && unit->move_ &&
                           unit->move_->to_ == snapshot_->own_session_ &&
                           unit->move_->token_ == held.token_;
    const bool releasing =
        unit != nullptr && unit->owner_ == snapshot_->own_session_ && unit->token_ == held.token_;
    if (snapshot_->own_session_.empty() || (!owner && !successor && !releasing)) {
      gone.push_back(id);
    }
  }
  for (const UnitId& id : gone) {
    Drop(id, "the log names another owner or token");
  }
}

void OwnedUnits::Synchronize(const UnitId& id, const Unit& unit) {
  const SessionId& own = snapshot_->own_session_;
  if (unit.move_ && unit.move_->to_ == own) {
    const auto early = early_handovers_.find(id);
    if (early != early_handovers_.end()) {
      const Handover handover = std::move(early->second);
      early_handovers_.erase(early);
      TakeOver(handover);
    }
    return;
  }
  if (unit.owner_ != own) {
    return;
  }
  const auto released = released_.find(id);
  if (released != released_.end()) {
    if (unit.token_ <= released->second) {
      return;
    }
    released_.erase(released);
  }
  const auto held = units_.find(id);
  if (held == units_.end()) {
    Acquire(id, unit);
  } else if (held->second.token_ != unit.token_) {
    Keep(id, held->second, unit.token_);
  }
  if (unit.move_ && units_.contains(id)) {
    StartRelease(id, *unit.move_);
  }
}

OwnedUnits::OwnedUnit& OwnedUnits::Open(const UnitId& id, Offset token) {
  OwnedUnit& held = units_[id];
  held = OwnedUnit{};
  held.position_ = StartChart(chart_);
  held.token_ = token;
  held.tenure_ = next_tenure_++;
  held.split_from_ = ShardOfOverride(*snapshot_->state_, id);
  units_changed_ = true;
  return held;
}

void OwnedUnits::Acquire(const UnitId& id, const Unit& unit) {
  OwnedUnit& held = Open(id, unit.token_);
  if (!unit.inherited_from_.empty()) {
    OpenUnit(table_, id, true, WallNow(), TableTerms());
    Advance(id, held, "assigned");
    held.recovery_open_ = true;
    Recover(id);
    return;
  }
  if (!StartFromShard(id, held)) {
    OpenUnit(table_, id, false, WallNow(), TableTerms());
  }
  Advance(id, held, "assigned_new");
}

bool OwnedUnits::StartFromShard(const UnitId& id, OwnedUnit& held) {
  if (!held.split_from_) {
    return false;
  }
  // Ids of the key ran under the shard until now, so the override starts with the shard's table;
  // without that table nothing is known of them.
  const UnitId shard{id.service_, *held.split_from_};
  const auto origin = units_.find(shard);
  OpenUnit(table_, id, origin == units_.end(), WallNow(), TableTerms());
  MergeTable(shard, id);
  if (origin != units_.end()) {
    held.unanswered_until_ = origin->second.unanswered_until_;
    held.awaits_shard_ = origin->second.recovery_open_;
  }
  return true;
}

// An override that was split off during the recovery of its shard has what was known then.
void OwnedUnits::PassOnRecovery(const UnitId& shard) {
  const bool complete = IsComplete(table_, shard, WallNow(), TableTerms());
  for (auto& [id, held] : units_) {
    if (!held.awaits_shard_ || id.service_ != shard.service_ || held.split_from_ != shard.unit_) {
      continue;
    }
    MergeTable(shard, id);
    if (complete) {
      MarkComplete(table_, id);
    }
    held.awaits_shard_ = units_.at(shard).recovery_open_;
  }
}

void OwnedUnits::MergeTable(const UnitId& from, const UnitId& to) {
  std::vector<TableEntry> entries = EntriesOf(from);
  for (TableEntry& entry : entries) {
    entry.unit_ = to;
  }
  AdoptEntries(table_, to, entries, WallNow(), TableTerms());
  const auto source = table_.units_.find(from);
  if (source == table_.units_.end() || !source->second.unknown_until_) {
    return;
  }
  // What is not known of the one unit's ids is not known in the merged table either.
  std::optional<WallTime>& unknown_until = table_.units_.at(to).unknown_until_;
  unknown_until = std::max(unknown_until.value_or(WallTime{}), *source->second.unknown_until_);
}

void OwnedUnits::Recover(const UnitId& id) {
  const Unit* unit = FindUnit(*snapshot_->state_, id);
  OwnedUnit& held = units_.at(id);
  ++held.recovery_attempts_;
  copies_.Recover(
      id, *unit,
      [this, id, tenure = held.tenure_](bool complete, const std::vector<TableEntry>& entries) {
        if (IsCurrent(id, tenure)) {
          OnRecovered(id, complete, entries);
        }
      });
}

void OwnedUnits::OnRecovered(const UnitId& id, bool complete, std::span<const TableEntry> entries) {
  OwnedUnit& held = units_.at(id);
  AdoptEntries(table_, id, entries, WallNow(), TableTerms());
  if (complete) {
    MarkComplete(table_, id);
  }
  LogInfo(kPart, "Recovered " + std::to_string(entries.size()) + " request ids of " +
                     Describe(id, held.token_) + (complete ? ", complete." : ", incomplete."));
  if (held.position_.state_ == "recovering") {
    Advance(id, held, "recovered");
  }
  const Unit* unit = FindUnit(*snapshot_->state_, id);
  const bool inherited = unit != nullptr && !unit->inherited_from_.empty();
  // A grantor that is cut off or paused for a moment still has its copies; the unit serves
  // meanwhile and answers unknown for ids that it can't judge.
  held.recovery_open_ = !complete && inherited && held.recovery_attempts_ < kMaxRecoveryAttempts;
  if (held.recovery_open_) {
    loop_.StartTimer(kRecoveryRetryDelay, [this, id, tenure = held.tenure_] {
      if (IsCurrent(id, tenure)) {
        Recover(id);
      }
    });
  } else if (unit != nullptr && unit->move_ && unit->owner_ == snapshot_->own_session_) {
    StartRelease(id, *unit->move_);
  }
  PassOnRecovery(id);
  UnitsChanged();
}

void OwnedUnits::Keep(const UnitId& id, OwnedUnit& held, Offset token) {
  LogInfo(kPart, "Keeping " + Describe(id, held.token_) + "; its token is now " +
                     std::to_string(token) + ".");
  held.token_ = token;
  held.move_.reset();
  held.announced_ = false;
  units_changed_ = true;
  if (held.position_.state_ == "releasing") {
    Advance(id, held, "kept");
  }
}

void OwnedUnits::StartRelease(const UnitId& id, const PendingMove& move) {
  OwnedUnit& unit = units_.at(id);
  // Handed over before its recovery ends, the table would stay incomplete at the target.
  if (unit.position_.state_ == "releasing" || unit.recovery_open_ || unit.awaits_shard_) {
    return;
  }
  unit.move_ = move;
  Advance(id, unit, "move_started");
  LogInfo(kPart, "Releasing " + Describe(id, unit.token_) + " to " + move.to_ + ".");
  hooks_.on_unavailable_(id);
  TryHandover(id);
}

void OwnedUnits::TryHandover(const UnitId& id) {
  const auto found = units_.find(id);
  if (found == units_.end()) {
    return;
  }
  OwnedUnit& unit = found->second;
  if (unit.position_.state_ != "releasing" || unit.pins_ > 0 || unit.handover_running_) {
    return;
  }
  const BootTime now = BootClock::now();
  if (unit.unanswered_until_ >= now) {
    // A request without an answer may still wait in the upstream's socket until it expires.
    const auto wait = std::chrono::ceil<milliseconds>(unit.unanswered_until_ - now);
    loop_.StartTimer(wait + milliseconds(1), [this, id] { TryHandover(id); });
    return;
  }
  if (hooks_.has_running_(id)) {
    loop_.StartTimer(kRunningPoll, [this, id] { TryHandover(id); });
    return;
  }
  SendHandover(id, unit);
}

void OwnedUnits::SendHandover(const UnitId& id, OwnedUnit& unit) {
  const Session* target = FindSession(*snapshot_->state_, unit.move_->to_);
  if (target == nullptr) {
    return;
  }
  Handover handover;
  handover.unit_ = id;
  handover.token_ = unit.move_->token_;
  handover.complete_ = IsComplete(table_, id, WallNow(), TableTerms());
  handover.entries_ = EntriesOf(id);
  unit.handover_running_ = true;
  // From here on the target may serve, whether or not its confirmation arrives.
  released_[id] = unit.move_->token_;
  peers_.Request(
      target->join_.traffic_address_, std::move(handover), kHandoverTimeout,
      [this, id, token = unit.move_->token_](const Result<TrafficMessage>& reply) {
        const auto found = units_.find(id);
        if (found == units_.end() || !found->second.move_ || found->second.move_->token_ != token) {
          return;
        }
        found->second.handover_running_ = false;
        if (reply) {
          FinishRelease(id, token);
          return;
        }
        LogWarning(kPart, "Hand-over is not confirmed: " + ToString(reply.error()));
        loop_.StartTimer(kHandoverRetryDelay, [this, id] { TryHandover(id); });
      });
}

void OwnedUnits::FinishRelease(const UnitId& id, Offset token) {
  Advance(id, units_.at(id), "released");
  LogInfo(kPart, "Released " + Describe(id, token) + ".");
  CloseUnit(table_, id);
  units_.erase(id);
  UnitsChanged();
}

void OwnedUnits::OnHandover(ConnectionId connection, const Handover& handover) {
  const auto held = units_.find(handover.unit_);
  if (held != units_.end() && held->second.token_ == handover.token_) {
    peers_.Reply(connection, HandoverConfirm{handover.number_});
    return;
  }
  if (!snapshot_ || snapshot_->state_->next_offset_ <= handover.token_) {
    early_handovers_[handover.unit_] = handover;
    peers_.Reply(connection, HandoverConfirm{handover.number_});
    return;
  }
  if (TakeOver(handover)) {
    peers_.Reply(connection, HandoverConfirm{handover.number_});
    UnitsChanged();
  }
}

bool OwnedUnits::TakeOver(const Handover& handover) {
  const UnitId& id = handover.unit_;
  const Unit* unit = FindUnit(*snapshot_->state_, id);
  if (unit == nullptr || !unit->move_ || unit->move_->token_ != handover.token_ ||
      unit->move_->to_ != snapshot_->own_session_) {
    return false;
  }
  released_.erase(id);
  OwnedUnit& held = Open(id, handover.token_);
  OpenUnit(table_, id, !handover.complete_, WallNow(), TableTerms());
  AdoptEntries(table_, id, handover.entries_, WallNow(), TableTerms());
  Advance(id, held, "handed_over");
  LogInfo(kPart, "Took over " + Describe(id, held.token_) + " with " +
                     std::to_string(handover.entries_.size()) + " request ids.");
  control_.moves_taken_over_({CompletedMove{id, handover.token_}});
  return true;
}

OwnedUnits::Availability OwnedUnits::Check(const UnitId& unit) const {
  const auto found = units_.find(unit);
  if (found == units_.end() || found->second.position_.state_ == "releasing") {
    return Availability::kElsewhere;
  }
  if (found->second.position_.state_ != "serving" || !link_.IsGranted(unit, found->second.token_)) {
    return Availability::kStarting;
  }
  return Availability::kServing;
}

Offset OwnedUnits::TokenOf(const UnitId& unit) const {
  const auto found = units_.find(unit);
  return found == units_.end() ? 0 : found->second.token_;
}

std::uint64_t OwnedUnits::Pin(const UnitId& unit) {
  OwnedUnit& held = units_.at(unit);
  ++held.pins_;
  return held.tenure_;
}

bool OwnedUnits::IsCurrent(const UnitId& unit, std::uint64_t tenure) const {
  const auto found = units_.find(unit);
  return found != units_.end() && found->second.tenure_ == tenure;
}

void OwnedUnits::Unpin(const UnitId& unit, std::uint64_t tenure, BootTime unanswered_until) {
  const auto found = units_.find(unit);
  if (found == units_.end() || found->second.tenure_ != tenure || found->second.pins_ == 0) {
    return;
  }
  --found->second.pins_;
  found->second.unanswered_until_ = std::max(found->second.unanswered_until_, unanswered_until);
  TryHandover(unit);
}

void OwnedUnits::OnGranted() {
  for (auto& [id, unit] : units_) {
    // An upstream that was lost and announced itself again had no grants in between; requests of
    // that time are held until the unit is announced once more.
    unit.announced_ = false;
    AnnounceServing(id, unit);
  }
}

void OwnedUnits::Drop(const UnitId& id, std::string_view reason) {
  const auto found = units_.find(id);
  LogInfo(kPart,
          "Dropped " + Describe(id, found->second.token_) + ": " + std::string(reason) + ".");
  if (found->second.position_.state_ != "absent") {
    Advance(id, found->second, "lost");
  }
  const std::optional<std::uint32_t> shard = found->second.split_from_;
  if (shard && FindUnit(*snapshot_->state_, id) == nullptr &&
      units_.contains(UnitId{id.service_, *shard})) {
    // A merged key's ids are the shard's from now on.
    OwnedUnit& merged = units_.at(UnitId{id.service_, *shard});
    merged.unanswered_until_ = std::max(merged.unanswered_until_, found->second.unanswered_until_);
    MergeTable(id, UnitId{id.service_, *shard});
  }
  CloseUnit(table_, id);
  units_.erase(found);
  units_changed_ = true;
  hooks_.on_unavailable_(id);
}

void OwnedUnits::Advance(const UnitId& id, OwnedUnit& unit, std::string_view event) {
  if (auto fired = Fire(unit.position_, event); !fired) {
    LogError(kPart, Describe(id, unit.token_) + ": " + ToString(fired.error()));
  }
}

void OwnedUnits::AnnounceServing(const UnitId& id, OwnedUnit& unit) {
  if (unit.announced_ || unit.position_.state_ != "serving" || !link_.IsGranted(id, unit.token_)) {
    return;
  }
  unit.announced_ = true;
  hooks_.on_serving_(id);
}

void OwnedUnits::UnitsChanged() {
  units_changed_ = false;
  std::map<UnitId, Offset> tokens;
  for (const auto& [id, unit] : units_) {
    tokens.emplace(id, unit.token_);
  }
  link_.SetUnits(std::move(tokens));
  CopyTables();
  for (auto& [id, unit] : units_) {
    AnnounceServing(id, unit);
  }
}

void OwnedUnits::CopyTables() {
  std::vector<std::pair<UnitId, Offset>> covered;
  std::vector<TableEntry> entries;
  for (const auto& [id, unit] : units_) {
    // An incomplete table must not pass for a complete one at the next takeover.
    if (IsComplete(table_, id, WallNow(), TableTerms())) {
      covered.emplace_back(id, unit.token_);
    }
  }
  for (const auto& [id, unit] : units_) {
    const std::vector<TableEntry> of_unit = EntriesOf(id);
    entries.insert(entries.end(), of_unit.begin(), of_unit.end());
  }
  copies_.CopyAll(covered, entries, [this] {
    // A lost copy of the table would leave the grantor without it until the next change.
    if (!copy_repeat_due_) {
      copy_repeat_due_ = true;
      loop_.StartTimer(kCopyRepeatDelay, [this] {
        copy_repeat_due_ = false;
        CopyTables();
      });
    }
  });
}

std::vector<TableEntry> OwnedUnits::EntriesOf(const UnitId& id) const {
  std::vector<TableEntry> entries;
  const auto table = table_.units_.find(id);
  if (table == table_.units_.end()) {
    return entries;
  }
  entries.reserve(table->second.entries_.size());
  for (const auto& [key, entry] : table->second.entries_) {
    entries.push_back(entry);
  }
  return entries;
}

RequestTableTerms OwnedUnits::TableTerms() const {
  return {shared_.settings_.clock_allowance_, shared_.settings_.request_table_retention_};
}

}  // namespace sassafrasbay
