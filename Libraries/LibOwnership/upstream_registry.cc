#include "LibOwnership/upstream_registry.h"

#include <algorithm>
#include <utility>

namespace sassafrasbay {
namespace {

/// Maximum number of released ranges that are kept until they are written; higher than the number
/// of ranges an upstream can have.
constexpr std::size_t kMaxReleasedRanges = 4096;

/// Time without a heartbeat after which the current incarnation may have ended. Heartbeats are up
/// to 1.5 s apart.
constexpr milliseconds kHeartbeatOverdue{1600};

bool Intersect(const KeySpan& left, const KeySpan& right) {
  return left.first_ <= right.last_ && right.first_ <= left.last_;
}

bool IsSameIncarnation(const UpstreamHeartbeat& left, const UpstreamHeartbeat& right) {
  return left.instance_ == right.instance_ && left.born_ms_ == right.born_ms_;
}

/// Whether the current incarnation would have sent a heartbeat by now if it ran.
bool IsOverdue(const UpstreamRegistry& registry, BootTime now) {
  const LocalUpstream& upstream = registry.local_upstream_;
  return upstream.has_left_ || upstream.has_exited_ ||
         now - upstream.last_heartbeat_ > kHeartbeatOverdue;
}

Holder HolderOf(const UpstreamRegistry& registry, const UpstreamHeartbeat& heartbeat) {
  return {registry.self_, heartbeat.instance_, heartbeat.born_ms_};
}

// Another writer's heartbeats may look like those of a later incarnation, also several in a row,
// and a delayed one may be of an earlier one. While the current one is heard it keeps its place,
// unless the port names the other one.
HeartbeatEffect Classify(const UpstreamRegistry& registry, const UpstreamHeartbeat& heartbeat,
                         BootTime now, Arbiter arbiter) {
  if (!registry.newest_) {
    return HeartbeatEffect::kNewIncarnation;
  }
  const UpstreamHeartbeat& current = *registry.newest_;
  if (IsSameIncarnation(current, heartbeat)) {
    return heartbeat.sequence_ <= current.sequence_ ? HeartbeatEffect::kOutdated
                                                    : HeartbeatEffect::kUnchanged;
  }
  const bool is_silent = IsOverdue(registry, now);
  const bool port_decides = arbiter == Arbiter::kPort && heartbeat.instance_ != current.instance_;
  if (heartbeat.born_ms_ < current.born_ms_) {
    if (registry.standing_ == Standing::kHeardOnce) {
      return HeartbeatEffect::kNewIncarnation;
    }
    const bool is_replaced = registry.standing_ == Standing::kAnswersAtPort && !is_silent;
    return port_decides && !is_replaced ? HeartbeatEffect::kUnconfirmed
                                        : HeartbeatEffect::kOutdated;
  }
  const bool is_second = registry.challenger_ &&
                         IsSameIncarnation(*registry.challenger_, heartbeat) &&
                         heartbeat.sequence_ > registry.challenger_->sequence_ &&
                         registry.denied_ != HolderOf(registry, heartbeat);
  if (arbiter == Arbiter::kHeartbeats) {
    return is_silent || is_second ? HeartbeatEffect::kNewIncarnation
                                  : HeartbeatEffect::kUnconfirmed;
  }
  const bool may_replace =
      is_silent && (is_second || !port_decides || registry.local_upstream_.has_exited_);
  return may_replace ? HeartbeatEffect::kNewIncarnation : HeartbeatEffect::kUnconfirmed;
}

bool IsNewest(const UpstreamRegistry& registry, const LeavingUpstream& leaving) {
  return registry.newest_ &&
         Covers(leaving, registry.newest_->instance_, registry.newest_->born_ms_);
}

// Keeps what is known of the latest incarnation; of one incarnation, a leave replaces a draining.
void RecordEarlyLeave(UpstreamRegistry& registry, const EarlyLeave& leave) {
  const std::optional<EarlyLeave>& known = registry.early_leave_;
  const std::int64_t born_ms = leave.leaving_.last_born_ms_;
  if (!known || known->leaving_.last_born_ms_ < born_ms ||
      (leave.has_left_ && known->leaving_.last_born_ms_ == born_ms)) {
    registry.early_leave_ = leave;
  }
}

/// Takes the heartbeat for one of the current incarnation, or of a new one by `effect`.
HeartbeatEffect Accept(UpstreamRegistry& registry, UpstreamHeartbeat heartbeat, BootTime now,
                       HeartbeatEffect effect, Standing standing) {
  LocalUpstream& upstream = registry.local_upstream_;
  const bool standing_changed = standing != registry.standing_;
  registry.standing_ = standing;
  registry.challenger_.reset();
  if (effect == HeartbeatEffect::kNewIncarnation) {
    const BootTime granted_until = upstream.granted_until_;
    upstream = LocalUpstream{};
    upstream.holder_ = HolderOf(registry, heartbeat);
    upstream.granted_until_ = upstream.earlier_granted_until_ = granted_until;
    registry.denied_.reset();
    registry.last_grant_.clear();
    registry.has_granted_ = false;
    registry.draining_since_.reset();
  }
  const bool leaves_early =
      registry.early_leave_ &&
      Covers(registry.early_leave_->leaving_, heartbeat.instance_, heartbeat.born_ms_);
  if (leaves_early && !registry.draining_since_) {
    registry.draining_since_ = registry.early_leave_->since_;
  }
  const bool draining = upstream.draining_ || heartbeat.draining_ || leaves_early;
  const bool left = upstream.has_left_ || (leaves_early && registry.early_leave_->has_left_);
  if (effect == HeartbeatEffect::kUnchanged &&
      (standing_changed || draining != upstream.draining_ || left != upstream.has_left_ ||
       upstream.has_exited_ || heartbeat.slots_ != upstream.slots_ ||
       heartbeat.held_ != registry.newest_->held_ || !heartbeat.released_.empty())) {
    effect = HeartbeatEffect::kChanged;
  }
  upstream.slots_ = std::max<std::uint32_t>(heartbeat.slots_, 1);
  upstream.draining_ = draining;
  if ((draining || left) && !registry.draining_since_) {
    registry.draining_since_ = now;
  }
  upstream.has_left_ = left;
  upstream.has_exited_ = false;
  upstream.last_heartbeat_ = now;
  upstream.cold_until_ = now + heartbeat.warmup_remaining_;
  // Ranges of the latest grant may be held although this heartbeat doesn't list them, since it may
  // have been sent before the grant arrived.
  upstream.held_ = heartbeat.held_;
  upstream.held_.insert(upstream.held_.end(), registry.last_grant_.begin(),
                        registry.last_grant_.end());
  upstream.held_is_current_ = registry.has_granted_;
  for (const ReleasedKeys& released : heartbeat.released_) {
    upstream.released_.push_back(released);
  }
  if (upstream.released_.size() > kMaxReleasedRanges) {
    upstream.released_.erase(upstream.released_.begin(),
                             upstream.released_.end() - kMaxReleasedRanges);
  }
  registry.newest_ = std::move(heartbeat);
  return effect;
}

}  // namespace

HeartbeatEffect RecordHeartbeat(UpstreamRegistry& registry, UpstreamHeartbeat heartbeat,
                                BootTime now, Arbiter arbiter) {
  const HeartbeatEffect effect = Classify(registry, heartbeat, now, arbiter);
  if (effect == HeartbeatEffect::kOutdated) {
    return effect;
  }
  if (effect == HeartbeatEffect::kUnconfirmed) {
    // If the upstream has indeed started anew, it is cold before that is known.
    registry.local_upstream_.cold_until_ =
        std::max(registry.local_upstream_.cold_until_, now + heartbeat.warmup_remaining_);
    registry.challenger_ = std::move(heartbeat);
    return effect;
  }
  const bool is_second =
      effect == HeartbeatEffect::kUnchanged ||
      (registry.challenger_ && IsSameIncarnation(*registry.challenger_, heartbeat));
  Standing standing = is_second ? Standing::kHeardAgain : Standing::kHeardOnce;
  if (effect == HeartbeatEffect::kUnchanged) {
    standing = std::max(standing, registry.standing_);
  } else if (registry.local_upstream_.has_exited_) {
    standing = Standing::kFollowsExited;
  }
  return Accept(registry, std::move(heartbeat), now, effect, standing);
}

bool CanPortDecide(const UpstreamRegistry& registry) {
  return registry.challenger_ && registry.newest_ &&
         registry.challenger_->instance_ != registry.newest_->instance_;
}

HeartbeatEffect RecordPortAnswer(UpstreamRegistry& registry, std::string_view instance,
                                 BootTime now) {
  if (!registry.newest_ || instance.empty()) {
    return HeartbeatEffect::kUnchanged;
  }
  if (CanPortDecide(registry)) {
    UpstreamHeartbeat challenger = *std::exchange(registry.challenger_, std::nullopt);
    if (instance == challenger.instance_) {
      return Accept(registry, std::move(challenger), now, HeartbeatEffect::kNewIncarnation,
                    Standing::kAnswersAtPort);
    }
    registry.denied_ = HolderOf(registry, challenger);
  }
  if (instance != registry.newest_->instance_ || registry.standing_ == Standing::kAnswersAtPort) {
    return HeartbeatEffect::kUnchanged;
  }
  registry.standing_ = Standing::kAnswersAtPort;
  return HeartbeatEffect::kChanged;
}

std::int64_t ConfirmedBornMs(const UpstreamRegistry& registry) {
  return registry.standing_ >= Standing::kFollowsExited ? registry.newest_->born_ms_ : 0;
}

bool RecordLeave(UpstreamRegistry& registry, const LeavingUpstream& leaving, BootTime now) {
  if (!IsNewest(registry, leaving)) {
    RecordEarlyLeave(registry, {leaving, now, true});
    return false;
  }
  registry.local_upstream_.has_left_ = true;
  if (!registry.draining_since_) {
    registry.draining_since_ = now;
  }
  return true;
}

bool RecordDraining(UpstreamRegistry& registry, const LeavingUpstream& leaving, BootTime since) {
  if (!IsNewest(registry, leaving)) {
    RecordEarlyLeave(registry, {leaving, since, false});
    return false;
  }
  if (registry.draining_since_) {
    return false;
  }
  registry.local_upstream_.draining_ = true;
  registry.draining_since_ = since;
  return true;
}

std::optional<LeavingUpstream> FindLeaving(const UpstreamRegistry& registry) {
  if (registry.draining_since_) {
    return LeavingUpstream{registry.newest_->instance_, registry.newest_->born_ms_};
  }
  // Of an upstream that hasn't sent a heartbeat to this process.
  const bool is_later =
      registry.early_leave_ && (!registry.newest_ || registry.early_leave_->leaving_.last_born_ms_ >
                                                         registry.newest_->born_ms_);
  return is_later ? std::optional(registry.early_leave_->leaving_) : std::nullopt;
}

// The kernel ends all connections of a process that exits. One that is still open was accepted by a
// process that runs, however long its heartbeats are overdue.
bool IsPortClosed(const PortRefusal& refusal) {
  const std::uint32_t limit =
      std::min(refusal.slots_, refusal.max_connections_.value_or(refusal.slots_));
  return refusal.open_connections_ == 0 &&
         refusal.abandoned_connections_ < std::max<std::uint32_t>(limit, 1);
}

bool RecordClosedPort(UpstreamRegistry& registry, BootTime now, milliseconds heartbeat_interval) {
  if (registry.local_upstream_.has_exited_ || !registry.local_upstream_.holder_ ||
      now - registry.local_upstream_.last_heartbeat_ < heartbeat_interval * 3 / 2) {
    return false;
  }
  registry.local_upstream_.has_exited_ = true;
  return true;
}

void RecordGrant(UpstreamRegistry& registry, const HeartbeatAnswer& answer, BootTime now) {
  if (!answer.grant_duration_) {
    return;
  }
  registry.has_granted_ = true;
  registry.last_grant_ = answer.ranges_;
  // Granted ranges count as held from now on, whatever the answered heartbeat reported.
  registry.local_upstream_.held_.insert(registry.local_upstream_.held_.end(),
                                        answer.ranges_.begin(), answer.ranges_.end());
  if (!answer.ranges_.empty()) {
    registry.local_upstream_.granted_until_ = std::max(registry.local_upstream_.granted_until_,
                                                       GrantExpiry(now, *answer.grant_duration_));
  }
  std::erase_if(registry.local_upstream_.released_, [&](const ReleasedKeys& released) {
    return std::any_of(answer.ranges_.begin(), answer.ranges_.end(), [&](const HeldRange& range) {
      return Intersect(range.keys_, released.keys_);
    });
  });
}

}  // namespace sassafrasbay
