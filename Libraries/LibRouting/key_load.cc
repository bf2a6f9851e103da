#include "LibRouting/key_load.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace sassafrasbay {
namespace {

/// Time constant of the decay. Hot keys stay hot for some seconds, so that a plan has to follow
/// within about one; less would plan on the noise of some dozen requests.
constexpr double kTimeConstantSeconds = 1.2;

/// Counts below this are forgotten.
constexpr double kForgotten = 0.05;

}  // namespace

void CountRequests(KeyLoad& load, std::uint32_t key, double requests) {
  load.requests_[key] += requests;
}

void RetainKeys(KeyLoad& load, const std::function<bool(std::uint32_t key)>& keeps) {
  std::erase_if(load.requests_, [&](const auto& entry) { return !keeps(entry.first); });
}

void Decay(KeyLoad& load, BootTime now) {
  const double seconds = std::chrono::duration<double>(now - load.decayed_at_).count();
  load.decayed_at_ = now;
  const double factor = std::exp(-seconds / kTimeConstantSeconds);
  for (auto entry = load.requests_.begin(); entry != load.requests_.end();) {
    entry->second *= factor;
    entry = entry->second < kForgotten ? load.requests_.erase(entry) : std::next(entry);
  }
}

std::vector<KeyRangeLoad> PartitionKeyLoad(const KeyLoad& load, std::size_t most) {
  std::vector<std::pair<std::uint32_t, double>> keys(load.requests_.begin(), load.requests_.end());
  std::sort(keys.begin(), keys.end());
  double total = 0;
  for (const auto& [key, requests] : keys) {
    total += requests;
  }
  const double share = total / static_cast<double>(std::max<std::size_t>(most, 1));
  std::vector<KeyRangeLoad> pieces;
  double filled = share;
  for (const auto& [key, requests] : keys) {
    if (pieces.empty() || (filled + requests / 2 > share && pieces.size() < most)) {
      pieces.push_back({key, key, 0});
      filled = 0;
    }
    filled += requests;
    pieces.back().last_ = key;
    // A steady rate r keeps a count of r times the time constant.
    pieces.back().per_second_ += requests / kTimeConstantSeconds;
  }
  return pieces;
}

}  // namespace sassafrasbay
