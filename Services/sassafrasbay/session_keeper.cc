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
constexpr milliseconds kTickInterval{20};

/// A gap of more than this between two ticks counts as a pause of this process.
constexpr milliseconds kMinPause{200};

/// Renewal interval of a session without grantors. It is below half the lease duration, so that the
/// lease doesn't lapse when one append is lost.
constexpr milliseconds kRenewalIntervalWithoutGrantors{400};

constexpr milliseconds kLapsedLeaseRenewalInterval{500};

/// Backoff between renewals while a grantor has attested the lapse of this session's lease.
constexpr milliseconds kMinRenewalBackoff{2000};
constexpr milliseconds kMaxRenewalBackoff{60'000};

/// Returns a random duration between three quarters of `delay` and `delay`.
milliseconds WithJitter(milliseconds delay) {
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
  loop_.StartRepeatingTimer(kTickInterval, [this] { Tick(); });
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
  joining_session_ = RandomId();
  SessionJoined join;
  join.session_ = joining_session_;
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
  writer_.Write(
      join, LogWriter::RetryPolicy::kUntilApplied,
      [this, session = joining_session_](Offset, const ApplyResult& result, BootTime sent_at) {
        OnJoinApplied(session, result, sent_at);
      });
}

void SessionKeeper::OnJoinApplied(const SessionId& session, const ApplyResult& result,
                                  BootTime sent_at) {
  joining_session_.clear();
  if (!result.valid_) {
    LogWarning(kPart,
               "The record that joins this node's session was rejected: " + result.reason_ + ".");
    Advance("session_ended");
    return;
  }
  Advance("joined");
  active_session_ = session;
  lease_cell_ = std::make_shared<LeaseCell>();
  lease_ = HolderLease{};
  end_written_ = false;
  renewal_backoff_ = milliseconds(0);
  heartbeat_send_times_.clear();
  ExtendByRecord(lease_, 1, sent_at, MakeLeaseSettings());
  SetLeaseEnd(*lease_cell_, lease_.end_);
  LogInfo(kPart, "Joined as session " + session + ".");
  hooks_.on_session_changed_();
  if (!announcement_) {
    // The upstream was lost after the record was appended and before it was read back.
    OnUpstreamWithdrawn();
  } else if (upstream_drained_) {
    // The drain was requested after the record was appended and before it was read back.
    RequestDrain(false);
  }
}

void SessionKeeper::Tick() {
  const BootTime now = BootClock::now();
  if (now - last_tick_ > kMinPause) {
    LogWarning(kPart,
               "This process was paused for " +
                   std::to_string(std::chrono::floor<milliseconds>(now - last_tick_).count()) +
                   " ms.");
    RestartLeaseTimers(grantor_, now);
  }
  last_tick_ = now;
  if (active_session_.empty()) {
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
  const Session* own_session = FindSession(follower_.State(), active_session_);
  if (own_session == nullptr || end_written_) {
    return;
  }
  const BootTime now = BootClock::now();
  const std::uint64_t sequence = next_sequence_++;
  heartbeat_send_times_[sequence] = now;
  std::erase_if(heartbeat_send_times_, [this, now](const auto& item) {
    return item.second + MakeLeaseSettings().lease_ < now;
  });
  for (const GrantorAssignment& assignment : own_session->grantors_) {
    const Session* grantor = FindSession(follower_.State(), assignment.grantor_);
    if (grantor != nullptr && !assignment.attested_) {
      peers_.Send(grantor->join_.control_address_,
                  Heartbeat{active_session_, own_session->epoch_, sequence});
    }
  }
}

void SessionKeeper::OnHeartbeat(ConnectionId connection, const Heartbeat& heartbeat) {
  if (active_session_.empty() || end_written_) {
    return;
  }
  if (Acknowledge(grantor_, heartbeat, HoldsLease(), BootClock::now())) {
    peers_.Reply(connection, HeartbeatAck{heartbeat.session_, heartbeat.epoch_, heartbeat.sequence_,
                                          active_session_});
  }
}

void SessionKeeper::OnHeartbeatAck(const HeartbeatAck& ack) {
  const Session* own_session = FindSession(follower_.State(), active_session_);
  const auto sent = heartbeat_send_times_.find(ack.sequence_);
  if (own_session == nullptr || end_written_ || sent == heartbeat_send_times_.end()) {
    return;
  }
  if (ExtendByAcknowledgement(lease_, *own_session, ack, sent->second, MakeLeaseSettings())) {
    SetLeaseEnd(*lease_cell_, lease_.end_);
  }
}

void SessionKeeper::AttestLapses(BootTime now) {
  for (const LapseAttested& lapse :
       TakeDueAttestations(grantor_, active_session_, now, MakeLeaseSettings())) {
    LogWarning(kPart, "The lease of session " + lapse.session_ +
                          " has lapsed according to this grantor; attesting it.");
    writer_.Write(lapse, LogWriter::RetryPolicy::kUntilApplied,
                  [](Offset, const ApplyResult&, BootTime) {});
  }
}

void SessionKeeper::RenewIfNeeded(BootTime now) {
  const Session* own_session = FindSession(follower_.State(), active_session_);
  if (own_session == nullptr || end_written_ || now < next_renewal_ || !follower_.IsCaughtUp()) {
    return;
  }
  if (own_session->grantors_.empty()) {
    next_renewal_ = now + kRenewalIntervalWithoutGrantors;
    Renew();
    return;
  }
  if (!IsHeld(lease_, now)) {
    next_renewal_ = now + WithJitter(kLapsedLeaseRenewalInterval);
    LogWarning(kPart, "The lease has lapsed; renewing it through the log.");
    Renew();
    return;
  }
  const bool attested =
      std::any_of(own_session->grantors_.begin(), own_session->grantors_.end(),
                  [](const GrantorAssignment& assignment) { return assignment.attested_; });
  if (attested) {
    // The backoff limits renewals while a grantor is unreachable: it attests again after each one.
    renewal_backoff_ = std::clamp(renewal_backoff_ * 2, kMinRenewalBackoff, kMaxRenewalBackoff);
    next_renewal_ = now + WithJitter(renewal_backoff_);
    Renew();
  }
}

void SessionKeeper::Renew() {
  const std::uint64_t epoch = FindSession(follower_.State(), active_session_)->epoch_ + 1;
  writer_.Write(SessionRenewed{active_session_, epoch}, LogWriter::RetryPolicy::kNever,
                [this, session = active_session_, epoch](Offset, const ApplyResult& result,
                                                         BootTime sent_at) {
                  if (!result.valid_ || session != active_session_ || end_written_) {
                    return;
                  }
                  ExtendByRecord(lease_, epoch, sent_at, MakeLeaseSettings());
                  SetLeaseEnd(*lease_cell_, lease_.end_);
                });
}

void SessionKeeper::OnStateChanged() {
  SynchronizeGrantees(grantor_, follower_.State(), active_session_, BootClock::now());
  if (!active_session_.empty() && FindSession(follower_.State(), active_session_) == nullptr) {
    OnSessionEnded();
  }
}

void SessionKeeper::OnSessionEnded() {
  if (end_written_) {
    LogInfo(kPart, "Session " + active_session_ + " has ended, as requested by this node.");
  } else {
    LogWarning(kPart, "Session " + active_session_ + " has ended.");
  }
  SetLeaseEnd(*lease_cell_, BootTime{});
  active_session_.clear();
  lease_cell_.reset();
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
  // A drained upstream continues to announce itself. The flag keeps its next announcement from
  // starting a new session.
  upstream_drained_ = upstream_drained_ || (!exit && announcement_.has_value());
  if (!already_exiting && (exit || lifecycle_.state_ == "serving")) {
    Advance(exit ? "drain_requested" : "upstream_draining");
  }
  if (drain_started_ != BootTime{}) {
    return;
  }
  drain_started_ = BootClock::now();
  stop_owning_sent_ = false;
  LogInfo(kPart,
          exit ? "Draining before the process exits." : "Draining; the process continues to run.");
  if (!active_session_.empty()) {
    writer_.Write(SessionDraining{active_session_}, LogWriter::RetryPolicy::kUntilApplied,
                  [](Offset, const ApplyResult&, BootTime) {});
  }
}

void SessionKeeper::ContinueDrain() {
  if (drain_started_ == BootTime{}) {
    return;
  }
  // The last quarter of the grace period is reserved for requests that were admitted just before
  // it: no request may start at the upstream after the grace period.
  const bool grace_over =
      BootClock::now() - drain_started_ >= shared_.settings_.drain_grace_ * 3 / 4;
  if (!active_session_.empty() && !OwnsUnits() && !end_written_) {
    EndSession();
  }
  if (!active_session_.empty() && grace_over && !stop_owning_sent_) {
    // Units can't move while the log is unavailable or no other session can own them.
    stop_owning_sent_ = true;
    LogWarning(
        kPart,
        "Units are left after three quarters of the grace period; admitting no further requests.");
    hooks_.on_stop_owning_();
  }
  if (active_session_.empty() || stop_owning_sent_) {
    drain_started_ = BootTime{};
    if (drain_exits_) {
      hooks_.on_drained_();
    }
  }
}

void SessionKeeper::EndSession() {
  if (active_session_.empty() || end_written_) {
    return;
  }
  // From here on this session neither serves requests nor acknowledges heartbeats, whether or not
  // the append succeeds.
  end_written_ = true;
  SetLeaseEnd(*lease_cell_, BootTime{});
  lease_.end_ = BootTime{};
  writer_.Write(SessionEnded{active_session_}, LogWriter::RetryPolicy::kUntilApplied,
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
    owns = owns || unit.owner_ == active_session_;
  });
  return owns;
}

void SessionKeeper::Advance(std::string_view event) {
  if (auto fired = Fire(lifecycle_, event); !fired) {
    LogError(kPart, ToString(fired.error()));
  }
}

LeaseSettings SessionKeeper::MakeLeaseSettings() const {
  return {shared_.settings_.lease_, shared_.settings_.heartbeat_, shared_.settings_.drift_percent_};
}

}  // namespace sassafrasbay
