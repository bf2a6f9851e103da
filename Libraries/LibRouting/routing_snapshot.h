#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "LibControl/control_state.h"
#include "LibCore/clock.h"

namespace sassafrasbay {

/// End of one session's lease, nanoseconds of CLOCK_BOOTTIME. Written by the control thread, read
/// by the traffic thread.
struct LeaseCell {
  std::atomic<std::int64_t> end_ns_{0};
};

inline BootTime LeaseEnd(const LeaseCell& cell) {
  return BootTime(std::chrono::nanoseconds(cell.end_ns_.load(std::memory_order_acquire)));
}

inline void SetLeaseEnd(LeaseCell& cell, BootTime end) {
  cell.end_ns_.store(end.time_since_epoch().count(), std::memory_order_release);
}

/// What traffic needs of the control state. Immutable once published by the control thread.
struct RoutingSnapshot {
  std::uint64_t version_ = 0;  ///< Counts up with each publication by this process.
  std::shared_ptr<const ControlState> state_;
  SessionId own_session_;                   ///< Empty while this node owns nothing.
  std::shared_ptr<const LeaseCell> lease_;  ///< Of own_session_; null without one.
};

}  // namespace sassafrasbay
