#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibOwnership/hold_rules.h"
#include "LibOwnership/table_changes.h"

namespace sassafrasbay {

/// State that an upstream reports to the node beside it at regular intervals.
struct UpstreamHeartbeat {
  std::string instance_;
  std::int64_t born_ms_ = 0;    ///< Unix time at which the incarnation started.
  std::uint64_t sequence_ = 0;  ///< Increases with each heartbeat of an incarnation.
  std::string service_;
  std::string address_;  ///< "ip:port".
  std::string data_centre_;
  std::uint32_t slots_ = 1;
  bool draining_ = false;
  milliseconds warmup_remaining_{0};    ///< Time until the upstream serves at full speed.
  bool lists_keys_ = false;             ///< It states which keys it holds and has released.
  std::vector<HeldRange> held_;         ///< Ranges that the upstream holds or still works on.
  std::vector<ReleasedKeys> released_;  ///< Keys of moving ranges that it has stopped serving.
};

/// The answer to a heartbeat, which grants ranges to the upstream for a limited time.
struct HeartbeatAnswer {
  std::vector<HeldRange> ranges_;
  /// Counted from the time at which the heartbeat was sent. An answer without a value renews no
  /// grant.
  std::optional<milliseconds> grant_duration_;
};

}  // namespace sassafrasbay
