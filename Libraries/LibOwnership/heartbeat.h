#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibOwnership/hold_rules.h"
#include "LibOwnership/table_changes.h"

namespace sassafrasbay {

/// What an upstream says of itself at regular intervals.
struct UpstreamHeartbeat {
  std::string instance_;
  std::int64_t born_ms_ = 0;    ///< Unix time of the incarnation's start.
  std::uint64_t sequence_ = 0;  ///< Rises with each heartbeat of an incarnation.
  std::string service_;
  std::string address_;  ///< "ip:port".
  std::uint32_t slots_ = 1;
  bool draining_ = false;
  milliseconds warmup_remaining_{0};  ///< How much longer it is slow after its start.
  std::vector<HeldRange> held_;
  std::vector<ReleasedKeys> released_;
};

/// The answer to a heartbeat. Without a length the answer renews nothing.
struct HeartbeatAnswer {
  std::vector<HeldRange> ranges_;
  std::optional<milliseconds> grant_duration_;  ///< Counted from when the heartbeat was sent.
};

}  // namespace sassafrasbay
