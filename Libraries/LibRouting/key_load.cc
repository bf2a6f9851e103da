#include "LibRouting/key_load.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace sassafrasbay {
namespace {

/// Time constant of the decay. Keys stay hot for some seconds only, so a plan has to follow within
/// about one second; a shorter time constant would plan on the noise of some dozen requests.
constexpr double kTimeConstantSeconds = 1.2;

/// Keys with a lower count are removed.
constexpr double kMinCount = 0.05;

}  // namespace

void CountRequests(KeyLoad& load, std::uint32_t key, double requests) {
  load.requests_[key] += requests;
}

void RetainKeys(KeyLoad& load, const std::function<bool(std::uint32_t key)>& is_retained) {
  std::erase_if(load.requests_, [&](const auto& entry) { return !is_retained(entry.first); });
}

void Decay(KeyLoad& load, BootTime now) {
  const double seconds = std::chrono::duration<double>(now - load.decayed_at_).count();
  load.decayed_at_ = now;
  const double factor = std::exp(-seconds / kTimeConstantSeconds);
  for (auto entry = load.requests_.begin(); entry != load.requests_.end();) {
    entry->second *= factor;
    entry = entry->second < kMinCount ? load.requests_.erase(entry) : std::next(entry);
  }
}

std::vector<KeyRangeLoad> PartitionKeyLoad(const KeyLoad& load, std::size_t max_ranges) {
  std::vector<std::pair<std::uint32_t, double>> keys(load.requests_.begin(), load.requests_.end());
  std::sort(keys.begin(), keys.end());
  double total = 0;
  for (const auto& [key, requests] : keys) {
    total += requests;
  }
  const double target = total / static_cast<double>(std::max<std::size_t>(max_ranges, 1));
  std::vector<KeyRangeLoad> ranges;
  double filled = target;
  for (const auto& [key, requests] : keys) {
    if (ranges.empty() || (filled + requests / 2 > target && ranges.size() < max_ranges)) {
      ranges.push_back({key, key, 0});
      filled = 0;
    }
    filled += requests;
    ranges.back().last_ = key;
    // At a steady rate r the decayed count converges to r times the time constant.
    ranges.back().per_second_ += requests / kTimeConstantSeconds;
  }
  return ranges;
}

}  // namespace sassafrasbay
