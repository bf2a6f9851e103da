#include "LibOwnership/leaving_upstreams.h"

namespace sassafrasbay {

void RecordReport(LeavingUpstreams& upstreams, const Holder& holder, bool leaving, BootTime now) {
  // A process that has just started doesn't know its upstream yet.
  if (holder.instance_.empty()) {
    return;
  }
  const auto known = upstreams.by_node_.find(holder.node_);
  if (known != upstreams.by_node_.end() && known->second.holder_ == holder) {
    return;
  }
  // A late report of an earlier incarnation, after one that is known to have followed it.
  if (known != upstreams.by_node_.end() && holder.born_ms_ < known->second.holder_.born_ms_) {
    return;
  }
  if (leaving) {
    upstreams.by_node_.insert_or_assign(holder.node_, LeavingUpstreams::Entry{holder, now});
  } else if (known != upstreams.by_node_.end()) {
    upstreams.by_node_.erase(known);
  }
}

const LeavingUpstreams::Entry* FindLeaving(const LeavingUpstreams& upstreams,
                                           std::string_view node) {
  const auto found = upstreams.by_node_.find(node);
  return found == upstreams.by_node_.end() ? nullptr : &found->second;
}

bool HasDrained(const LeavingUpstreams& upstreams, const Holder& holder, milliseconds limit,
                BootTime now) {
  const LeavingUpstreams::Entry* entry = FindLeaving(upstreams, holder.node_);
  return entry != nullptr && entry->holder_ == holder && now - entry->since_ > limit;
}

}  // namespace sassafrasbay
