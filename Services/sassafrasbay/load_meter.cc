#include "load_meter.h"

#include <algorithm>
#include <type_traits>

namespace sassafrasbay {
namespace {

/// Keys counted at a time. A key outside the table replaces the lightest one and inherits its count
/// (space-saving algorithm), so a key with more than 1/256 of the load is always found.
constexpr std::size_t kCountedKeys = 256;

constexpr double kNegligibleRate = 0.01;

template <typename Rates>
auto Heaviest(const Rates& rates, std::size_t count) {
  using Key = std::remove_const_t<typename Rates::value_type::first_type>;
  std::vector<std::pair<Key, double>> sorted(rates.begin(), rates.end());
  const std::size_t kept = std::min(count, sorted.size());
  std::partial_sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(kept),
                    sorted.end(),
                    [](const auto& left, const auto& right) { return left.second > right.second; });
  sorted.resize(kept);
  return sorted;
}

}  // namespace

void CountRequest(LoadMeter& meter, const UnitId& unit, std::uint64_t key_hash) {
  meter.units_[unit] += 1;
  const auto found = std::find_if(meter.keys_.begin(), meter.keys_.end(),
                                  [key_hash](const auto& item) { return item.first == key_hash; });
  if (found != meter.keys_.end()) {
    found->second += 1;
    return;
  }
  if (meter.keys_.size() < kCountedKeys) {
    meter.keys_.emplace_back(key_hash, 1);
    return;
  }
  const auto lightest =
      std::min_element(meter.keys_.begin(), meter.keys_.end(),
                       [](const auto& l, const auto& r) { return l.second < r.second; });
  *lightest = {key_hash, lightest->second + 1};
}

void EndInterval(LoadMeter& meter, double seconds) {
  // Counts of the interval and the decayed rate share one number: after an interval of constant
  // rate r the value v satisfies v = (v + r * seconds) / 2, so the rate is v / seconds.
  for (auto& [unit, value] : meter.units_) {
    value /= 2;
  }
  for (auto& [key, value] : meter.keys_) {
    value /= 2;
  }
  std::erase_if(meter.units_,
                [seconds](const auto& item) { return item.second < kNegligibleRate * seconds; });
  std::erase_if(meter.keys_,
                [seconds](const auto& item) { return item.second < kNegligibleRate * seconds; });
}

std::vector<std::pair<std::uint64_t, double>> HeaviestKeys(const LoadMeter& meter,
                                                           std::size_t count) {
  return Heaviest(meter.keys_, count);
}

std::vector<std::pair<UnitId, double>> HeaviestUnits(const LoadMeter& meter, std::size_t count) {
  return Heaviest(meter.units_, count);
}

}  // namespace sassafrasbay
