#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "LibControl/control_state.h"
#include "LibCore/clock.h"

namespace sassafrasbay {

/// End of a session's lease in nanoseconds of CLOCK_BOOTTIME. Written by the control thread and
/// read by the traffic thread.
struct LeaseCell {
  std::atomic<std::int64_t> end_ns_{0};
};

inline BootTime LeaseEnd(const LeaseCell& cell) {
  return BootTime(std::chrono::nanoseconds(cell.end_ns_.load(std::memory_order_acquire)));
}

inline void SetLeaseEnd(LeaseCell& cell, BootTime end) {
  cell.end_ns_.store(end.time_since_epoch().count(), std::memory_order_release);
}

/// The part of the control state that the traffic thread needs. Immutable once published by the
/// control thread.
struct RoutingSnapshot {
  std::uint64_t version_ = 0;  ///< Incremented by each publication of this process.
  std::shared_ptr<const ControlState> state_;
  SessionId own_session_;                   ///< Session of this node; empty while it owns nothing.
  std::shared_ptr<const LeaseCell> lease_;  ///< Lease of own_session_; null if there is none.
};

}  // namespace sassafrasbay
