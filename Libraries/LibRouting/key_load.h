#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Requests for each key, decayed.
struct KeyLoad {
  std::unordered_map<std::uint32_t, double> requests_;  ///< By key.
  BootTime decayed_at_{};
};

/// Neighbouring keys and the requests a second for them.
struct KeyRangeLoad {
  std::uint32_t first_ = 0;
  std::uint32_t last_ = 0;
  double per_second_ = 0;

  friend bool operator==(const KeyRangeLoad&, const KeyRangeLoad&) = default;
};

/// Counts that many requests for the key.
void CountRequests(KeyLoad& load, std::uint32_t key, double requests = 1);

/// Forgets the keys that another upstream owns now. `keeps` is called for each key.
void RetainKeys(KeyLoad& load, const std::function<bool(std::uint32_t key)>& keeps);

/// Ages the counts to `now`. To be called at regular intervals, before PartitionKeyLoad.
void Decay(KeyLoad& load, BootTime now);

/// At most `most` pieces of about equal load, ascending by key. A key with more than that is a
/// piece of its own.
std::vector<KeyRangeLoad> PartitionKeyLoad(const KeyLoad& load, std::size_t most);

}  // namespace sassafrasbay
