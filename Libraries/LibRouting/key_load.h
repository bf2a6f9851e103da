#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "LibCore/clock.h"

namespace sassafrasbay {

/// Exponentially decayed request counts of the keys of one upstream.
struct KeyLoad {
  std::unordered_map<std::uint32_t, double> requests_;  ///< By key.
  BootTime decayed_at_{};
};

/// A range of keys and the request rate for it.
struct KeyRangeLoad {
  std::uint32_t first_ = 0;
  std::uint32_t last_ = 0;
  double per_second_ = 0;  ///< Requests per second.

  friend bool operator==(const KeyRangeLoad&, const KeyRangeLoad&) = default;
};

/// Adds requests to the count of a key.
void CountRequests(KeyLoad& load, std::uint32_t key, double requests = 1);

/// Removes the keys for which `is_retained` returns false, since another upstream owns them now.
void RetainKeys(KeyLoad& load, const std::function<bool(std::uint32_t key)>& is_retained);

/// Decays the counts to `now`. To be called at regular intervals and before PartitionKeyLoad.
void Decay(KeyLoad& load, BootTime now);

/// Splits the keys into at most `max_ranges` ranges of about equal load, ascending by key. A key
/// with more load than that gets a range of its own.
std::vector<KeyRangeLoad> PartitionKeyLoad(const KeyLoad& load, std::size_t max_ranges);

}  // namespace sassafrasbay
