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

HeartbeatNews NoteHeartbeat(UpstreamRegistry& registry, UpstreamHeartbeat heartbeat, BootTime now) {
  if (IsOutdated(registry, heartbeat)) {
    return HeartbeatNews::kOutdated;
  }
  OwnUpstream& own = registry.own_;
  const Holder holder{registry.self_, heartbeat.instance_, heartbeat.born_ms_};
  HeartbeatNews news = HeartbeatNews::kSame;
  if (own.holder_ != holder) {
    const BootTime granted_until = own.granted_until_;
    own = OwnUpstream{};
    own.holder_ = holder;
    own.granted_until_ = granted_until;
    registry.last_grant_.clear();
    registry.granted_once_ = false;
    registry.drains_since_.reset();
    news = HeartbeatNews::kNewIncarnation;
  }
  const bool draining = own.draining_ || heartbeat.draining_;
  const bool left = own.left_ || registry.left_.erase(heartbeat.instance_) > 0;
  if (news == HeartbeatNews::kSame &&
      (draining != own.draining_ || left != own.left_ || own.gone_ ||
       heartbeat.slots_ != own.slots_ || heartbeat.held_ != registry.newest_->held_ ||
       !heartbeat.released_.empty())) {
    news = HeartbeatNews::kChanged;
  }
  own.slots_ = std::max<std::uint32_t>(heartbeat.slots_, 1);
  own.draining_ = draining;
  if ((draining || left) && !registry.drains_since_) {
    registry.drains_since_ = now;
  }
  own.left_ = left;
  own.gone_ = false;
  own.last_heartbeat_ = now;
  // What was granted last may be held although this heartbeat, sent before, doesn't say so.
  own.held_ = heartbeat.held_;
  own.held_.insert(own.held_.end(), registry.last_grant_.begin(), registry.last_grant_.end());
  own.held_is_current_ = registry.granted_once_;
  for (const ReleasedKeys& released : heartbeat.released_) {
    own.released_.push_back(released);
  }
  if (own.released_.size() > kMaxReleased) {
    own.released_.erase(own.released_.begin(), own.released_.end() - kMaxReleased);
  }
  registry.newest_ = std::move(heartbeat);
  return news;
}

bool NoteLeave(UpstreamRegistry& registry, std::string_view instance, BootTime now) {
  if (!registry.newest_ || registry.newest_->instance_ != instance) {
    registry.left_.emplace(instance);
    return false;
  }
  registry.own_.left_ = true;
  if (!registry.drains_since_) {
    registry.drains_since_ = now;
  }
  return true;
}

bool NoteRefusal(UpstreamRegistry& registry, BootTime now, milliseconds heartbeat_interval) {
  if (registry.own_.gone_ || !registry.own_.holder_ ||
      now - registry.own_.last_heartbeat_ < heartbeat_interval * 3 / 2) {
    return false;
  }
  registry.own_.gone_ = true;
  return true;
}

void NoteGrant(UpstreamRegistry& registry, const HeartbeatAnswer& answer, BootTime now) {
  if (!answer.length_) {
    return;
  }
  registry.granted_once_ = true;
  registry.last_grant_ = answer.ranges_;
  // Held from now on, whatever the heartbeat that is answered said.
  registry.own_.held_.insert(registry.own_.held_.end(), answer.ranges_.begin(),
                             answer.ranges_.end());
  if (!answer.ranges_.empty()) {
    registry.own_.granted_until_ =
        std::max(registry.own_.granted_until_, GrantEnd(now, *answer.length_));
  }
  std::erase_if(registry.own_.released_, [&](const ReleasedKeys& released) {
    return std::any_of(answer.ranges_.begin(), answer.ranges_.end(), [&](const HeldRange& range) {
      return Intersect(range.keys_, released.keys_);
    });
  });
}

}  // namespace sassafrasbay
