#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "LibControl/control_state.h"

namespace sassafrasbay {

/// What traffic needs of the control state. Immutable once published by the control thread.
struct RoutingSnapshot {
  std::uint64_t version_ = 0;  ///< Counts up with each publication by this process.
  std::shared_ptr<const ControlState> state_;
  SessionId own_session_;  ///< Empty while this node owns nothing.
};

}  // namespace sassafrasbay
