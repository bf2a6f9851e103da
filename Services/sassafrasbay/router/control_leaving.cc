#include <utility>

#include "LibCore/clock.h"
#include "LibCore/logging.h"
#include "platform/heartbeat_codec.h"
#include "router/control_thread.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "control";

/// Backoff after a registration couldn't be written.
constexpr milliseconds kWriteBackoff{300};

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

}  // namespace

// Requests stop at once, but the leave is acknowledged only when the store has it: the upstream
// sends nothing further, so after a restart of this process nobody else could tell.
void ControlThread::OnLeave(const std::shared_ptr<HttpExchange>& exchange,
                            std::string_view instance) {
  // Without a start time, the leave is that of the incarnation that runs now.
  const std::int64_t born_ms = platform::DecodeLeaveBorn(exchange->Request().body_)
                                   .value_or(WallNow().time_since_epoch().count());
  const BootTime now = BootClock::now();
  const bool current = RecordLeave(registry_, {std::string(instance), born_ms}, now);
  LogInfo(kPart, "upstream=" + std::string(instance) +
                     " leaves current=" + (current ? "true." : "false."));
  Publish();
  ScheduleUpdate();
  const std::optional<LeavingUpstream> leaving = FindLeaving(registry_);
  if (!leaving || leaving->instance_ != instance) {
    // The leave of an earlier incarnation, to which nothing is sent any more.
    exchange->Respond(JsonResponse(kOk, "{}"));
    return;
  }
  pending_leaves_.push_back({exchange, now});
  WriteLeaving();
  AnswerPendingLeaves();
}

void ControlThread::OnLeavingUpstream(const LeavingUpstream& leaving, BootTime since,
                                      std::string_view source) {
  if (!RecordDraining(registry_, leaving, since)) {
    return;
  }
  LogInfo(kPart,
          "upstream=" + leaving.instance_ + " state=draining source=" + std::string(source) + ".");
  Publish();
  ScheduleUpdate();
}

bool ControlThread::IsLeavingRecorded() const {
  const std::optional<LeavingUpstream> leaving = FindLeaving(registry_);
  return !leaving || leaving == recorded_leaving_;
}

// A process that hasn't registered yet writes the leaving with its registration.
void ControlThread::WriteLeaving() {
  if (!registered_at_ || !fleet_topic_.IsOfNewestEra() || leaving_write_pending_ ||
      IsLeavingRecorded() || BootClock::now() < leaving_backoff_until_) {
    return;
  }
  leaving_write_pending_ = true;
  const std::optional<LeavingUpstream> leaving = FindLeaving(registry_);
  AppendOwnRecord(false, [this, leaving](const Result<TopicPosition>& position) {
    leaving_write_pending_ = false;
    const bool is_in_force = position && position.value().era_ == fleet_topic_.End().era_;
    if (!is_in_force) {
      leaving_backoff_until_ = BootClock::now() + kWriteBackoff;
      LogWarning(kPart, "upstream=" + leaving->instance_ + " leaving not recorded reason=\"" +
                            (position ? "the store was restored" : ToString(position.error())) +
                            "\".");
      return;
    }
    recorded_leaving_ = leaving;
    AnswerPendingLeaves();
    AnswerPendingHeartbeats();
  });
}

void ControlThread::AnswerPendingLeaves() {
  const BootTime now = BootClock::now();
  const bool recorded = IsLeavingRecorded();
  std::erase_if(pending_leaves_, [&](const PendingLeave& pending) {
    if (recorded) {
      pending.exchange_->Respond(JsonResponse(kOk, "{}"));
      return true;
    }
    if (now - pending.received_at_ <= kMaxAnswerDelay) {
      return false;
    }
    LogWarning(kPart, "leave not acknowledged reason=\"the store doesn't have it yet\".");
    pending.exchange_->Respond({kUnavailable, {}, "the leave could not be recorded yet\n"});
    return true;
  });
}

}  // namespace sassafrasbay
