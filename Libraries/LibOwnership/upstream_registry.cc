#include "LibOwnership/upstream_registry.h"

#include <algorithm>
#include <utility>

namespace sassafrasbay {
namespace {

/// Released keys kept until they are written; more than an upstream can have ranges.
constexpr std::size_t kMaxReleased = 4096;

bool Intersect(const KeySpan& left, const KeySpan& right) {
  return left.first_ <= right.last_ && right.first_ <= left.last_;
}

bool IsOutdated(const UpstreamRegistry& registry, const UpstreamHeartbeat& heartbeat) {
  if (!registry.newest_) {
    return false;
  }
  const UpstreamHeartbeat& newest = *registry.newest_;
  if (heartbeat.born_ms_ != newest.born_ms_) {
    return heartbeat.born_ms_ < newest.born_ms_;
  }
  return heartbeat.instance_ == newest.instance_ && heartbeat.sequence_ <= newest.sequence_;
}

}  // namespace

HeartbeatEffect RecordHeartbeat(UpstreamRegistry& registry, UpstreamHeartbeat heartbeat,
                                BootTime now) {
  if (IsOutdated(registry, heartbeat)) {
    return HeartbeatEffect::kOutdated;
  }
  LocalUpstream& own = registry.local_upstream_;
  const Holder holder{registry.self_, heartbeat.instance_, heartbeat.born_ms_};
  HeartbeatEffect news = HeartbeatEffect::kUnchanged;
  if (own.holder_ != holder) {
    const BootTime granted_until = own.granted_until_;
    own = LocalUpstream{};
    own.holder_ = holder;
    own.granted_until_ = granted_until;
    registry.last_grant_.clear();
    registry.has_granted_ = false;
    registry.draining_since_.reset();
    news = HeartbeatEffect::kNewIncarnation;
  }
  const bool draining = own.draining_ || heartbeat.draining_;
  const bool left = own.has_left_ || registry.early_leaves_.erase(heartbeat.instance_) > 0;
  if (news == HeartbeatEffect::kUnchanged &&
      (draining != own.draining_ || left != own.has_left_ || own.has_exited_ ||
       heartbeat.slots_ != own.slots_ || heartbeat.held_ != registry.newest_->held_ ||
       !heartbeat.released_.empty())) {
    news = HeartbeatEffect::kChanged;
  }
  own.slots_ = std::max<std::uint32_t>(heartbeat.slots_, 1);
  own.draining_ = draining;
  if ((draining || left) && !registry.draining_since_) {
    registry.draining_since_ = now;
  }
  own.has_left_ = left;
  own.has_exited_ = false;
  own.last_heartbeat_ = now;
  // What was granted last may be held although this heartbeat, sent before, doesn't say so.
  own.held_ = heartbeat.held_;
  own.held_.insert(own.held_.end(), registry.last_grant_.begin(), registry.last_grant_.end());
  own.held_is_current_ = registry.has_granted_;
  for (const ReleasedKeys& released : heartbeat.released_) {
    own.released_.push_back(released);
  }
  if (own.released_.size() > kMaxReleased) {
    own.released_.erase(own.released_.begin(), own.released_.end() - kMaxReleased);
  }
  registry.newest_ = std::move(heartbeat);
  return news;
}

bool RecordLeave(UpstreamRegistry& registry, std::string_view instance, BootTime now) {
  if (!registry.newest_ || registry.newest_->instance_ != instance) {
    registry.early_leaves_.emplace(instance);
    return false;
  }
  registry.local_upstream_.has_left_ = true;
  if (!registry.draining_since_) {
    registry.draining_since_ = now;
  }
  return true;
}

bool RecordConnectionRefusal(UpstreamRegistry& registry, BootTime now,
                             milliseconds heartbeat_interval) {
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
  // Held from now on, whatever the heartbeat that is answered said.
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
