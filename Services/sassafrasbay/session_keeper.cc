#include "session_keeper.h"

#include <algorithm>
#include <random>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/logging.h"
#include "owned_units.h"

namespace sassafrasbay {
namespace {

constexpr std::string_view kPart = "session";
constexpr milliseconds kTick{20};

/// A gap between ticks that counts as a pause of this process.
constexpr milliseconds kPause{200};

/// Renewal interval of a session without grantors; below half the lease, so that one lost append
/// doesn't end it.
constexpr milliseconds kLoneRenewal{400};

constexpr milliseconds kLapsedRenewal{500};
constexpr milliseconds kFirstRepair{2000};
constexpr milliseconds kLongestRepair{60'000};

milliseconds Jitter(milliseconds delay) {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return milliseconds(
      std::uniform_int_distribution<std::int64_t>(delay.count() * 3 / 4, delay.count())(random));
}

}  // namespace

SessionKeeper::SessionKeeper(ReactorLoop& loop, SharedState& shared, const StateChart& chart,
                             LogFollower& follower, LogWriter& writer, ControlPeers& peers)
    : loop_(loop),
      shared_(shared),
      follower_(follower),
      writer_(writer),
      peers_(peers),
      lifecycle_(StartChart(chart)) {}

void SessionKeeper::Start() {
  last_tick_ = BootClock::now();
  loop_.StartRepeatingTimer(kTick, [this] { Tick(); });
}

void SessionKeeper::OnAnnouncement(const UpstreamAnnouncement& announcement) {
  const bool new_upstream = announcement_ && announcement_->address_ != announcement.address_;
  const bool drain_withdrawn = announcement_ && announcement_->draining_ && !announcement.draining_;
  if (new_upstream || drain_withdrawn) {
    upstream_drained_ = false;
  }
  announcement_ = announcement;
  if (announcement.draining_) {
    if (lifecycle_.state_ == "serving") {
      RequestDrain(false);
    }
    return;
  }
  const bool may_join = lifecycle_.state_ == "starting" || lifecycle_.state_ == "rejoining";
  if (may_join && !upstream_drained_ && follower_.IsCaughtUp()) {
    Join();
  }
}

void SessionKeeper::Join() {
  Advance("upstream_announced");
  joining_ = RandomId();
  SessionJoined join;
  join.session_ = joining_;
  join.based_on_ = follower_.State().next_offset_;
  join.node_ = shared_.settings_.name_;
  join.callers_address_ = ToString(shared_.settings_.advertised_callers_);
  join.traffic_address_ = ToString(shared_.settings_.advertised_traffic_);
  join.control_address_ = ToString(shared_.settings_.advertised_control_);
  join.data_centre_ = shared_.settings_.data_centre_;
  join.region_ = shared_.settings_.region_;
  join.service_ = announcement_->service_;
  join.checks_grants_ = announcement_->checks_grants_;
  join.slots_ = announcement_->slots_;
  join.connections_ = announcement_->connections_;
  join.lease_ms_ = static_cast<std::uint32_t>(shared_.settings_.lease_.count());
  writer_.Write(join, LogWriter::Repeat::kUntilSeen,
                [this, session = joining_](Offset, const ApplyResult& verdict, BootTime sent_at) {
                  OnJoinVerdict(session, verdict, sent_at);
                });
}

void SessionKeeper::OnJoinVerdict(const SessionId& session, const ApplyResult& verdict,
                                  BootTime sent_at) {
  joining_.clear();
  if (!verdict.valid_) {
    LogWarning(kPart, "The log refused the session: " + verdict.reason_ + ".");
    Advance("session_ended");
    return;
  }
  Advance("joined");
  active_ = session;
  cell_ = std::make_shared<LeaseCell>();
  lease_ = HolderLease{};
  end_written_ = false;
  renewal_backoff_ = milliseconds(0);
  heartbeats_sent_.clear();
  ExtendByRecord(lease_, 1, sent_at, Terms());
  SetLeaseEnd(*cell_, lease_.end_);
  LogInfo(kPart, "Joined as session " + session + ".");
  hooks_.on_session_changed_();
  if (!announcement_) {
    // The upstream was lost while the record was on its way.
    OnUpstreamWithdrawn();
  } else if (upstream_drained_) {
    // The drain was requested while the record was on its way.
    RequestDrain(false);
  }
}

void SessionKeeper::Tick() {
  const BootTime now = BootClock::now();
  if (now - last_tick_ > kPause) {
    LogWarning(kPart,
               "This process was paused for " +
                   std::to_string(std::chrono::floor<milliseconds>(now - last_tick_).count()) +
                   " ms.");
    RestartLeaseTimers(grantor_, now);
  }
  last_tick_ = now;
  if (active_.empty()) {
    ContinueDrain();
    return;
  }
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + shared_.settings_.heartbeat_;
    SendHeartbeats();
  }
  AttestLapses(now);
  RenewIfNeeded(now);
  ContinueDrain();
}

void SessionKeeper::SendHeartbeats() {
  const Session* own = FindSession(follower_.State(), active_);
  if (own == nullptr || end_written_) {
    return;
  }
  const BootTime now = BootClock::now();
  const std::uint64_t sequence = next_sequence_++;
  heartbeats_sent_[sequence] = now;
  std::erase_if(heartbeats_sent_,
                [this, now](const auto& item) { return item.second + Terms().lease_ < now; });
  for (const GrantorAssignment& link : own->grantors_) {
    const Session* grantor = FindSession(follower_.State(), link.grantor_);
    if (grantor != nullptr && !link.attested_) {
      peers_.Send(grantor->join_.control_address_, Heartbeat{active_, own->epoch_, sequence});
    }
  }
}

void SessionKeeper::OnHeartbeat(ConnectionId connection, const Heartbeat& heartbeat) {
  if (active_.empty() || end_written_) {
    return;
  }
  if (Acknowledge(grantor_, heartbeat, HoldsLease(), BootClock::now())) {
    peers_.Reply(connection,
                 HeartbeatAck{heartbeat.session_, heartbeat.epoch_, heartbeat.sequence_, active_});
  }
}

void SessionKeeper::OnHeartbeatAck(const HeartbeatAck& ack) {
  const Session* own = FindSession(follower_.State(), active_);
  const auto sent = heartbeats_sent_.find(ack.sequence_);
  if (own == nullptr || end_written_ || sent == heartbeats_sent_.end()) {
    return;
  }
  if (ExtendByAcknowledgement(lease_, *own, ack, sent->second, Terms())) {
    SetLeaseEnd(*cell_, lease_.end_);
  }
}

void SessionKeeper::AttestLapses(BootTime now) {
  for (const LapseAttested& lapse : TakeDueAttestations(grantor_, active_, now, Terms())) {
    LogWarning(kPart, "The lease of session " + lapse.session_ + " has lapsed at this grantor.");
    writer_.Write(lapse, LogWriter::Repeat::kUntilSeen,
                  [](Offset, const ApplyResult&, BootTime) {});
  }
}

void SessionKeeper::RenewIfNeeded(BootTime now) {
  const Session* own = FindSession(follower_.State(), active_);
  if (own == nullptr || end_written_ || now < next_renewal_ || !follower_.IsCaughtUp()) {
    return;
  }
  if (own->grantors_.empty()) {
    next_renewal_ = now + kLoneRenewal;
    Renew();
    return;
  }
  if (!IsHeld(lease_, now)) {
    next_renewal_ = now + Jitter(kLapsedRenewal);
    LogWarning(kPart, "The lease has lapsed; renewing it through the log.");
    Renew();
    return;
  }
  const bool attested = std::any_of(own->grantors_.begin(), own->grantors_.end(),
                                    [](const GrantorAssignment& link) { return link.attested_; });
  if (attested) {
    // Back-off: a grantor that stays cut off would attest again after each renewal.
    renewal_backoff_ = std::clamp(renewal_backoff_ * 2, kFirstRepair, kLongestRepair);
    next_renewal_ = now + Jitter(renewal_backoff_);
    Renew();
  }
}

void SessionKeeper::Renew() {
  const std::uint64_t epoch = FindSession(follower_.State(), active_)->epoch_ + 1;
  writer_.Write(
      SessionRenewed{active_, epoch}, LogWriter::Repeat::kNever,
      [this, session = active_, epoch](Offset, const ApplyResult& verdict, BootTime sent_at) {
        if (!verdict.valid_ || session != active_ || end_written_) {
          return;
        }
        ExtendByRecord(lease_, epoch, sent_at, Terms());
        SetLeaseEnd(*cell_, lease_.end_);
      });
}

void SessionKeeper::OnStateChanged() {
  SynchronizeGrantees(grantor_, follower_.State(), active_, BootClock::now());
  if (!active_.empty() && FindSession(follower_.State(), active_) == nullptr) {
    OnOwnEnd();
  }
}

void SessionKeeper::OnOwnEnd() {
  if (end_written_) {
    LogInfo(kPart, "Session " + active_ + " has ended, as this node asked for.");
  } else {
    LogWarning(kPart, "Session " + active_ + " has ended.");
  }
  SetLeaseEnd(*cell_, BootTime{});
  active_.clear();
  cell_.reset();
  lease_ = HolderLease{};
  grantor_ = GrantorState{};
  Advance("session_ended");
  hooks_.on_session_changed_();
}

void SessionKeeper::OnUpstreamWithdrawn() {
  announcement_.reset();
  upstream_drained_ = false;
  if (lifecycle_.state_ == "serving" || lifecycle_.state_ == "yielding") {
    Advance("upstream_lost");
  }
  EndSession();
}

void SessionKeeper::RequestDrain(bool exit) {
  const bool already_exiting = drain_exits_;
  drain_exits_ = drain_exits_ || exit;
  // A drained upstream goes on announcing itself, so that its next announcement is no reason to
  // join.
  upstream_drained_ = upstream_drained_ || (!exit && announcement_.has_value());
  if (!already_exiting && (exit || lifecycle_.state_ == "serving")) {
    Advance(exit ? "drain_requested" : "upstream_draining");
  }
  if (drain_started_ != BootTime{}) {
    return;
  }
  drain_started_ = BootClock::now();
  stop_owning_sent_ = false;
  LogInfo(kPart, exit ? "Draining to exit." : "Draining for the upstream.");
  if (!active_.empty()) {
    writer_.Write(SessionDraining{active_}, LogWriter::Repeat::kUntilSeen,
                  [](Offset, const ApplyResult&, BootTime) {});
  }
}

void SessionKeeper::ContinueDrain() {
  if (drain_started_ == BootTime{}) {
    return;
  }
  // The last quarter of the grace period is for work that was taken just before: no request may
  // start at the upstream after the period.
  const bool grace_over =
      BootClock::now() - drain_started_ >= shared_.settings_.drain_grace_ * 3 / 4;
  if (!active_.empty() && !OwnsUnits() && !end_written_) {
    EndSession();
  }
  if (!active_.empty() && grace_over && !stop_owning_sent_) {
    // Without the log, or without another session for the units, they can't move.
    stop_owning_sent_ = true;
    LogWarning(kPart, "Units are left after the grace period; taking no further work.");
    hooks_.on_stop_owning_();
  }
  if (active_.empty() || stop_owning_sent_) {
    drain_started_ = BootTime{};
    if (drain_exits_) {
      hooks_.on_drained_();
    }
  }
}

void SessionKeeper::EndSession() {
  if (active_.empty() || end_written_) {
    return;
  }
  // From here on this session neither serves nor acknowledges, whether or not the append succeeds.
  end_written_ = true;
  SetLeaseEnd(*cell_, BootTime{});
  lease_.end_ = BootTime{};
  writer_.Write(SessionEnded{active_}, LogWriter::Repeat::kUntilSeen,
                [](Offset, const ApplyResult&, BootTime) {});
}

bool SessionKeeper::OwnsUnits() const {
  const auto service =
      follower_.State().services_.find(announcement_ ? announcement_->service_ : std::string());
  if (service == follower_.State().services_.end()) {
    return false;
  }
  bool owns = false;
  ForEachUnit(service->first, service->second, [this, &owns](const UnitId&, const Unit& unit) {
    owns = owns || unit.owner_ == active_;
  });
  return owns;
}

void SessionKeeper::Advance(std::string_view event) {
  if (auto fired = Fire(lifecycle_, event); !fired) {
    LogError(kPart, ToString(fired.error()));
  }
}

LeaseSettings SessionKeeper::Terms() const {
  return {shared_.settings_.lease_, shared_.settings_.heartbeat_, shared_.settings_.drift_percent_};
}

}  // namespace sassafrasbay
