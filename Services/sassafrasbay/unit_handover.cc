#include <utility>

#include "LibCore/logging.h"
#include "owned_units.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "units";
constexpr milliseconds kHandoverTimeout{500};
constexpr milliseconds kHandoverRetryDelay{100};
constexpr milliseconds kRunningRequestsPollInterval{20};

}  // namespace

void OwnedUnits::StartRelease(const UnitId& id, const PendingMove& move) {
  OwnedUnit& unit = units_.at(id);
  // If the unit were handed over before its recovery ends, its table would stay incomplete at the
  // target.
  if (unit.position_.state_ == "releasing" || unit.recovery_pending_ ||
      unit.awaits_shard_recovery_) {
    return;
  }
  unit.move_ = move;
  Advance(id, unit, "move_started");
  LogInfo(kPart, "Releasing unit " + Describe(id, unit.token_) + " to session " + move.to_ + ".");
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
    // A request that got no answer may still be waiting in the upstream's socket. The upstream may
    // run it until it expires.
    const auto wait = std::chrono::ceil<milliseconds>(unit.unanswered_until_ - now);
    loop_.StartTimer(wait + milliseconds(1), [this, id] { TryHandover(id); });
    return;
  }
  if (hooks_.has_running_requests_(id)) {
    loop_.StartTimer(kRunningRequestsPollInterval, [this, id] { TryHandover(id); });
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
  // From here on the target may serve the unit, even when its confirmation is lost.
  handed_over_tokens_[id] = unit.move_->token_;
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
        LogWarning(kPart, "Hand-over of a unit was not confirmed by its target and is retried: " +
                              ToString(reply.error()));
        loop_.StartTimer(kHandoverRetryDelay, [this, id] { TryHandover(id); });
      });
}

void OwnedUnits::FinishRelease(const UnitId& id, Offset token) {
  Advance(id, units_.at(id), "released");
  LogInfo(kPart, "Released unit " + Describe(id, token) + ".");
  CloseUnit(table_, id);
  units_.erase(id);
  ApplyUnitChanges();
}

void OwnedUnits::OnHandover(ConnectionId connection, const Handover& handover) {
  const auto held = units_.find(handover.unit_);
  if (held != units_.end() && held->second.token_ == handover.token_) {
    peers_.Reply(connection, HandoverAck{handover.number_});
    return;
  }
  if (!snapshot_ || snapshot_->state_->next_offset_ <= handover.token_) {
    early_handovers_[handover.unit_] = handover;
    peers_.Reply(connection, HandoverAck{handover.number_});
    return;
  }
  if (TakeOver(handover)) {
    peers_.Reply(connection, HandoverAck{handover.number_});
    ApplyUnitChanges();
  }
}

bool OwnedUnits::TakeOver(const Handover& handover) {
  const UnitId& id = handover.unit_;
  const Unit* unit = FindUnit(*snapshot_->state_, id);
  if (unit == nullptr || !unit->move_ || unit->move_->token_ != handover.token_ ||
      unit->move_->to_ != snapshot_->own_session_) {
    return false;
  }
  handed_over_tokens_.erase(id);
  OwnedUnit& held = AddUnit(id, handover.token_);
  OpenUnit(table_, id, !handover.complete_, WallNow(), TableTerms());
  AdoptEntries(table_, id, handover.entries_, WallNow(), TableTerms());
  Advance(id, held, "handed_over");
  LogInfo(kPart, "Took over unit " + Describe(id, held.token_) + " with " +
                     std::to_string(handover.entries_.size()) + " request ids.");
  control_.moves_completed_({CompletedMove{id, handover.token_}});
  return true;
}

}  // namespace sassafrasbay
